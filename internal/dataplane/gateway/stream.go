package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// streamResponse is the response of one stream, whichever runners it comes from. The request's goroutine owns it.
type streamResponse struct {
	request *request
	lastID  string                   // of the last event that was forwarded
	control *http.ResponseController // nil: the response's head is not out yet
	guard   *stallGuard              // of the attempt under way; nil: none
}

// writeGrace is how much longer than the request's deadline a client may take to accept the response's bytes.
const writeGrace = time.Second

// started reports whether the response's head is out.
func (s *streamResponse) started() bool { return s.control != nil }

// start writes the response's head: that of the first runner, which it keeps.
func (s *streamResponse) start(head upstream.Head) {
	if s.started() {
		return
	}
	r := s.request
	s.control = http.NewResponseController(r.writer)
	_ = s.control.SetWriteDeadline(r.deadline.Add(writeGrace)) // a writer without deadlines has none to exceed
	copyHeader(r.writer.Header(), head.Header)
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
}

// forward forwards a runner's events as they come.
func (s *streamResponse) forward(chosen *balance.Attempt, exchange *upstream.Exchange, head upstream.Head) (attemptOutcome, error) {
	r := s.request
	reader := upstream.NewEventReader(exchange.Body)
	for {
		event, id, err := reader.Next()
		switch {
		case err == nil:
			chosen.Progress()
			s.guard.progress()
			if s.isDuplicate(id) {
				continue
			}
			s.start(head)
			if !s.writeEvent(event) {
				exchange.Abort()
				chosen.Cancel()
				return outcomeFinal, reject(CodeClientLeft)
			}
			if id != "" {
				s.lastID = id
			}
		case errors.Is(err, upstream.ErrIncompleteEvent) && head.Framed:
			s.start(head)
			s.writeEvent(event) // where the client is gone, the next read ends the attempt
		case errors.Is(err, io.EOF) && head.Framed:
			exchange.Finish()
			chosen.Done()
			s.start(head)
			return outcomeEnded, r.chart.advance(Completed)
		default:
			exchange.Abort()
			return s.brokenOff(chosen, err)
		}
	}
}

// isDuplicate reports whether an event of a second run was forwarded already: IDs that are numbers only go up.
func (s *streamResponse) isDuplicate(id string) bool {
	if s.lastID == "" || id == "" {
		return false
	}
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(s.lastID, 10, 64)
	return err == nil && next <= last
}

// writeEvent forwards an event at once and reports whether the client took it.
func (s *streamResponse) writeEvent(event []byte) bool {
	if _, err := s.request.writer.Write(event); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// brokenOff classifies a stream that its runner broke off.
func (s *streamResponse) brokenOff(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	outcome, failure := s.request.responseLost(chosen, err)
	if s.started() && outcome == outcomeUnknown {
		return outcome, reject(CodeResponseCut)
	}
	return outcome, failure
}

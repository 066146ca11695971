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

// streamResponse is the response to a streaming request. If the stream is resumed, its events come from several runners. It
// is owned by the request's goroutine.
type streamResponse struct {
	request    *request
	lastID     string                   // ID of the last event forwarded; before that, the client's Last-Event-ID
	controller *http.ResponseController // nil: the response's head has not been written yet
	guard      *stallGuard              // of the current attempt; nil: it has no stall time-out
}

// writeGrace is how long past the request's deadline writes to the client may continue.
const writeGrace = time.Second

// started reports whether the response's head has been written.
func (s *streamResponse) started() bool { return s.controller != nil }

// start writes the response's head unless it has been written. Later runners' heads are not forwarded.
func (s *streamResponse) start(head upstream.Head) {
	if s.started() {
		return
	}
	r := s.request
	s.controller = http.NewResponseController(r.writer)
	_ = s.controller.SetWriteDeadline(r.deadline.Add(writeGrace)) // an error means that the writer does not support deadlines
	copyHeader(r.writer.Header(), head.Header)
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
}

// forward forwards a runner's events as they arrive.
func (s *streamResponse) forward(attempt *balance.Attempt, exchange *upstream.Exchange, head upstream.Head) (attemptOutcome, error) {
	r := s.request
	reader := upstream.NewEventReader(exchange.Body)
	for {
		event, id, err := reader.Next()
		switch {
		case err == nil:
			attempt.Progress()
			s.guard.progress()
			if s.isDuplicate(id) {
				continue
			}
			s.start(head)
			if !s.writeEvent(event) {
				exchange.Abort()
				attempt.Cancel()
				return outcomeFinal, reject(CodeClientDisconnected)
			}
			if id != "" {
				s.lastID = id
			}
		case errors.Is(err, upstream.ErrIncompleteEvent) && head.Framed:
			s.start(head)
			s.writeEvent(event) // a write error is ignored: the next read returns io.EOF and ends the attempt
		case errors.Is(err, io.EOF) && head.Framed:
			exchange.Finish()
			attempt.Done()
			s.start(head)
			return outcomeCompleted, r.chart.advance(Completed)
		default:
			exchange.Abort()
			return s.handleStreamError(attempt, err)
		}
	}
}

// isDuplicate reports whether an event has already been forwarded from an earlier run. Numeric IDs increase within a stream.
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

// writeEvent writes and flushes an event and reports whether both succeeded.
func (s *streamResponse) writeEvent(event []byte) bool {
	if _, err := s.request.writer.Write(event); err != nil {
		return false
	}
	return s.controller.Flush() == nil
}

// handleStreamError classifies an attempt whose stream ended early.
func (s *streamResponse) handleStreamError(attempt *balance.Attempt, err error) (attemptOutcome, error) {
	outcome, failure := s.request.handleResponseLost(attempt, err)
	if s.started() && outcome == outcomeUnknown {
		return outcome, reject(CodeResponseTruncated)
	}
	return outcome, failure
}

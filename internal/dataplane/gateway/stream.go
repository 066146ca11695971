package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// streamAnswer is the answer of one stream, whichever runners it comes from.
type streamResponse struct {
	request *request
	lastID  string // of the last event that was handed over
	events  int
	control *http.ResponseController
	guard   *stallGuard
}

// begun reports whether the answer's head is out.
func (s *streamResponse) started() bool { return s.control != nil }

// begin writes the answer's head: that of the first runner, which it keeps.
func (s *streamResponse) start(head upstream.Head) {
	if s.started() {
		return
	}
	r := s.request
	s.control = http.NewResponseController(r.writer)
	s.control.SetWriteDeadline(r.deadline.Add(time.Second))
	copyHeader(r.writer.Header(), head.Header)
	r.responseStarted = true
	r.writer.WriteHeader(head.Status)
}

// carry passes a runner's events on as they come.
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
				return outcomeFinal, failClientLeft
			}
			s.events++
			if id != "" {
				s.lastID = id
			}
		case errors.Is(err, upstream.ErrLeftover) && head.Framed:
			s.start(head)
			s.writeEvent(event)
		case errors.Is(err, io.EOF) && head.Framed:
			exchange.Finish()
			chosen.Done()
			s.start(head)
			return outcomeEnded, r.progress.advance(Completed)
		default:
			exchange.Abort()
			return s.brokenOff(chosen, err)
		}
	}
}

// isOld reports whether an event of a second run was handed over already.
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

func (s *streamResponse) writeEvent(event []byte) bool {
	if _, err := s.request.writer.Write(event); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// cut judges a stream that its runner broke off.
func (s *streamResponse) brokenOff(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	outcome, failure := s.request.responseLost(chosen, err)
	if s.started() && outcome == outcomeUnknown {
		return outcome, failResponseCut
	}
	return outcome, failure
}

// silenceGuard ends an attempt whose runner says nothing for far longer than it should, so that the stream
// can be taken up at another one.
type stallGuard struct {
	runner *balance.Runner
	cancel context.CancelFunc
	timer  *time.Timer
}

// silenceCheck is how often a stream without events looks at its runner.
const stallCheckInterval = 200 * time.Millisecond

func newStallGuard(runner *balance.Runner, cancel context.CancelFunc) *stallGuard {
	g := &stallGuard{runner: runner, cancel: cancel}
	g.timer = time.AfterFunc(stallCheckInterval, g.check)
	return g
}

func (g *stallGuard) check() {
	if g.runner.Stalled() {
		g.cancel()
		return
	}
	g.timer.Reset(stallCheckInterval)
}

// progress notes an event. A nil guard does nothing.
func (g *stallGuard) progress() {
	if g != nil {
		g.timer.Reset(stallCheckInterval)
	}
}

func (g *stallGuard) stop() { g.timer.Stop() }

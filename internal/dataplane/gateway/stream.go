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
type streamAnswer struct {
	request *request
	lastID  string // of the last event that was handed over
	events  int
	control *http.ResponseController
	guard   *silenceGuard
}

// begun reports whether the answer's head is out.
func (s *streamAnswer) begun() bool { return s.control != nil }

// begin writes the answer's head: that of the first runner, which it keeps.
func (s *streamAnswer) begin(head upstream.Head) {
	if s.begun() {
		return
	}
	r := s.request
	s.control = http.NewResponseController(r.writer)
	s.control.SetWriteDeadline(r.until.Add(time.Second))
	copyHeader(r.writer.Header(), head.Header)
	r.begun = true
	r.writer.WriteHeader(head.Status)
}

// carry passes a runner's events on as they come.
func (s *streamAnswer) carry(chosen *balance.Attempt, exchange *upstream.Exchange, head upstream.Head) (outcomeKind, error) {
	r := s.request
	reader := upstream.NewEventReader(exchange.Body)
	for {
		event, id, err := reader.Next()
		switch {
		case err == nil:
			chosen.Progress()
			s.guard.progress()
			if s.isOld(id) {
				continue
			}
			s.begin(head)
			if !s.write(event) {
				exchange.Abort()
				chosen.Cancel()
				return stop, failClient
			}
			s.events++
			if id != "" {
				s.lastID = id
			}
		case errors.Is(err, upstream.ErrLeftover) && head.Framed:
			s.begin(head)
			s.write(event)
		case errors.Is(err, io.EOF) && head.Framed:
			exchange.Finish()
			chosen.Done()
			s.begin(head)
			return answered, r.journey.advance(Done)
		default:
			exchange.Abort()
			return s.cut(chosen, err)
		}
	}
}

// isOld reports whether an event of a second run was handed over already.
func (s *streamAnswer) isOld(id string) bool {
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

func (s *streamAnswer) write(event []byte) bool {
	if _, err := s.request.writer.Write(event); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// cut judges a stream that its runner broke off.
func (s *streamAnswer) cut(chosen *balance.Attempt, err error) (outcomeKind, error) {
	outcome, failure := s.request.lost(chosen, err)
	if s.begun() && outcome == mayHaveRun {
		return outcome, failBroken
	}
	return outcome, failure
}

// silenceGuard ends an attempt whose runner says nothing for far longer than it should, so that the stream
// can be taken up at another one.
type silenceGuard struct {
	runner *balance.Runner
	cancel context.CancelFunc
	timer  *time.Timer
}

// silenceCheck is how often a stream without events looks at its runner.
const silenceCheck = 200 * time.Millisecond

func newSilenceGuard(runner *balance.Runner, cancel context.CancelFunc) *silenceGuard {
	g := &silenceGuard{runner: runner, cancel: cancel}
	g.timer = time.AfterFunc(silenceCheck, g.check)
	return g
}

func (g *silenceGuard) check() {
	if g.runner.Silent() {
		g.cancel()
		return
	}
	g.timer.Reset(silenceCheck)
}

// progress notes an event. A nil guard does nothing.
func (g *silenceGuard) progress() {
	if g != nil {
		g.timer.Reset(silenceCheck)
	}
}

func (g *silenceGuard) stop() { g.timer.Stop() }

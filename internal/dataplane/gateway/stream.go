package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
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
	lacksID    bool                     // the last event forwarded has no ID, so that the stream cannot be resumed after it
	controller *http.ResponseController // nil: the response's head has not been written yet
	takeover   *takeover                // of the present attempt; nil: no other runner may take over
	successor  *successor               // continues the stream in the next attempt; nil: none
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

// watch lets another runner take over if the runner of an attempt stalls, up to maxTries requests.
func (s *streamResponse) watch(attempt *balance.Attempt, cancel context.CancelCauseFunc, maxTries int) {
	s.takeover = nil
	if s.request.route.Idempotent() && maxTries > 0 {
		s.takeover = newTakeover(s, attempt, cancel, maxTries)
	}
}

// markSent records that the request of the present attempt has been sent. It does nothing if the response is no stream.
func (s *streamResponse) markSent() {
	if s != nil {
		s.takeover.markSent()
	}
}

// endWatch ends what watch began, and adds the requests that were sent to other runners to the request's attempts.
func (s *streamResponse) endWatch(outcome attemptOutcome) {
	if s.takeover == nil {
		return
	}
	isLost := outcome == outcomeNotExecuted || outcome == outcomeUnknown || outcome == outcomeRetryGranted
	next, result := s.takeover.end(isLost)
	s.successor = next
	r := s.request
	r.sentAttempts += result.sent
	r.mayHaveRun = r.mayHaveRun || result.mayHaveRun
	maps.Copy(r.tried, result.tried)
}

// hasSuccessor reports whether another runner has taken the stream over. It is false for a response that is no stream.
func (s *streamResponse) hasSuccessor() bool { return s != nil && s.successor != nil }

// takeSuccessor returns the attempt that continues the stream, if there is one, and forgets it.
func (s *streamResponse) takeSuccessor() *successor {
	if s == nil {
		return nil
	}
	next := s.successor
	s.successor = nil
	return next
}

// forward forwards a runner's events as they arrive.
func (s *streamResponse) forward(attempt *balance.Attempt, exchange *upstream.Exchange, head upstream.Head, events *upstream.EventReader) (attemptOutcome, error) {
	r := s.request
	for {
		event, id, err := events.Next()
		if err == nil && !s.takeover.beginEvent() {
			err = errRunnerStalled // another runner has taken over; this event comes from that one
		}
		switch {
		case err == nil:
			attempt.Progress()
			if !s.forwardEvent(event, id, head) {
				exchange.Abort()
				attempt.Cancel()
				return outcomeFinal, reject(CodeClientDisconnected)
			}
			s.takeover.endEvent(s.lastID, s.canResume())
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

// forwardEvent writes an event unless it has been forwarded from an earlier run. It reports whether the client still reads.
func (s *streamResponse) forwardEvent(event []byte, id string, head upstream.Head) bool {
	if s.isDuplicate(id) {
		return true
	}
	s.start(head)
	if !s.writeEvent(event) {
		return false
	}
	if s.lacksID = id == ""; !s.lacksID {
		s.lastID = id
	}
	return true
}

// canResume reports whether another run can continue the stream after the last event forwarded. It is true for a response that is
// no stream.
func (s *streamResponse) canResume() bool { return s == nil || !s.lacksID }

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
	if s.started() && (outcome == outcomeUnknown || s.request.isEndedByShutdown()) {
		return outcome, reject(CodeResponseTruncated)
	}
	return outcome, failure
}

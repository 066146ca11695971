package gateway

import (
	"errors"
	"io"
	"time"

	"yarrowridge/internal/dataplane/balance"
)

// InterruptionCause is why a response broke off after its head had been sent, or without any answer, though its client was
// still connected. Dashboards refer to the causes, so a released cause never changes.
type InterruptionCause string

// Causes of interruptions.
const (
	CauseRunnerBrokeOff InterruptionCause = "runner-broke-off" // the runner closed the connection within the response
	CauseRunnerStalled  InterruptionCause = "runner-stalled"   // the gateway ended the attempt because its runner had stalled
	CauseRunnerFailed   InterruptionCause = "runner-failed"    // the connection failed, or the response was malformed
	CauseNoRunner       InterruptionCause = "no-runner"        // no runner was left that could resume the stream
	CauseDeadline       InterruptionCause = "deadline"         // the request's deadline passed
	CauseShutdown       InterruptionCause = "shutdown"         // the router's grace period ended
)

// interruption describes the latest attempt whose response was lost.
type interruption struct {
	cause   InterruptionCause
	runner  *balance.Runner // nil: no attempt's response was lost
	silence time.Duration   // for which the runner had sent nothing to this router
}

// newInterruption describes an attempt whose response was lost by err.
func newInterruption(runner *balance.Runner, err error) interruption {
	cause := CauseRunnerFailed
	switch {
	case errors.Is(err, errRunnerStalled):
		cause = CauseRunnerStalled
	case errors.Is(err, io.ErrUnexpectedEOF):
		cause = CauseRunnerBrokeOff
	}
	return interruption{cause: cause, runner: runner, silence: runner.Silence()}
}

// causeOf returns why a request that ended with a rejection was interrupted.
func (r *request) causeOf(rejection *Rejection) InterruptionCause {
	switch {
	case r.isEndedByShutdown():
		return CauseShutdown
	case rejection.Code == CodeDeadline:
		return CauseDeadline
	case r.lost.runner == nil:
		return CauseNoRunner
	}
	return r.lost.cause
}

// reportInterruption counts and logs a request whose connection is closed without a complete response although its client is
// still connected.
func (r *request) reportInterruption(rejection *Rejection) {
	cause := r.causeOf(rejection)
	r.gateway.counts.addInterruption(cause)
	log := r.gateway.Log.With("request_id", r.meta.AttemptID, "cause", string(cause), "attempts", r.sentAttempts,
		"age", time.Since(r.received).Round(time.Millisecond), "draining", r.gateway.drainingFor().Round(time.Millisecond))
	if r.lost.runner != nil {
		log = log.With("peer", r.lost.runner.Info().ID, "silence", r.lost.silence.Round(time.Millisecond))
	}
	log.Warn("Response broken off.")
}

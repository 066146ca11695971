package gateway

import (
	"errors"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// handleSendError classifies an attempt whose request was not sent completely. The outcome is outcomeNotSent only if package
// upstream reports that no byte was sent. Otherwise the runner may have run the request.
func (r *request) handleSendError(attempt *balance.Attempt, err error) (attemptOutcome, error) {
	if !isSent(err) {
		return r.handleNotSent(attempt, err)
	}
	if err := r.markSent(); err != nil {
		attempt.Cancel()
		return outcomeFinal, err
	}
	return r.handleResponseLost(attempt, err)
}

// handleNotSent ends an attempt of which no byte was sent.
func (r *request) handleNotSent(attempt *balance.Attempt, err error) (attemptOutcome, error) {
	r.tried[attempt.Runner().Index] = true
	switch {
	case r.hasEnded():
		attempt.Cancel()
		return outcomeFinal, r.finalError(reject(CodeNoRunner))
	case errors.Is(err, upstream.ErrConnectionLimit):
		attempt.Rejected()
	default:
		attempt.Failed()
	}
	if err := r.chart.advance(Admitted); err != nil {
		return outcomeFinal, err
	}
	return outcomeNotSent, reject(CodeNoRunner)
}

// handleResponseLost ends an attempt whose response is lost. The runner may have run the request.
func (r *request) handleResponseLost(attempt *balance.Attempt, err error) (attemptOutcome, error) {
	r.tried[attempt.Runner().Index] = true
	r.mayHaveRun = true
	r.lost = newInterruption(attempt.Runner(), err)
	switch {
	case r.hasEnded():
		attempt.Abandon()
		return outcomeFinal, r.finalError(reject(CodeRunnerLost))
	case r.remaining() <= 0:
		attempt.Abandon()
		return outcomeFinal, reject(CodeDeadline)
	}
	attempt.Failed()
	r.gateway.Log.Debug("Response from runner lost.", "peer", attempt.Runner().Info().Address, "error", err.Error())
	return outcomeUnknown, reject(CodeRunnerLost)
}

// handleRunnerRejection ends an attempt whose request the runner promised not to have run.
func (r *request) handleRunnerRejection(attempt *balance.Attempt, exchange *upstream.Exchange, meta ResponseMeta) (attemptOutcome, error) {
	r.tried[attempt.Runner().Index] = true
	r.chart.notExecuted = true
	r.endRejected(attempt, exchange, meta)
	return outcomeNotExecuted, reject(CodeRunnersFull)
}

// rejectNoRunner returns the rejection of a request for which no runner is available.
func (r *request) rejectNoRunner() error {
	if r.mayHaveRun {
		return reject(CodeRunnerLost)
	}
	return reject(CodeNoRunner)
}

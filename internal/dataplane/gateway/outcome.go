package gateway

import (
	"errors"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
)

// sendFailed classifies an attempt whose request was not sent completely. Only upstream's word that no byte left makes it
// outcomeNotSent; everything else may have run.
func (r *request) sendFailed(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	var failure *upstream.SendError
	if errors.As(err, &failure) && !failure.Sent {
		return r.notSent(chosen, err)
	}
	if err := r.markSent(); err != nil {
		chosen.Cancel()
		return outcomeFinal, err
	}
	return r.responseLost(chosen, err)
}

// notSent ends an attempt of which no byte left.
func (r *request) notSent(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	r.tried[chosen.Runner().Index] = true
	switch {
	case r.client.Context().Err() != nil:
		chosen.Cancel()
		return outcomeFinal, reject(CodeClientLeft)
	case errors.Is(err, upstream.ErrConnectionLimit):
		chosen.Rejected()
	default:
		chosen.Failed()
	}
	if err := r.chart.advance(Admitted); err != nil {
		return outcomeFinal, err
	}
	return outcomeNotSent, reject(CodeNoRunner)
}

// responseLost ends an attempt whose response is lost: the runner may have run the request.
func (r *request) responseLost(chosen *balance.Attempt, err error) (attemptOutcome, error) {
	r.tried[chosen.Runner().Index] = true
	r.mayHaveRun = true
	switch {
	case r.client.Context().Err() != nil:
		chosen.Abandon()
		return outcomeFinal, reject(CodeClientLeft)
	case r.remaining() <= 0:
		chosen.Abandon()
		return outcomeFinal, reject(CodeDeadline)
	}
	chosen.Failed()
	r.gateway.Log.Debug("Runner lost a request.", "peer", chosen.Runner().Info().Address, "error", err.Error())
	return outcomeUnknown, reject(CodeRunnerLost)
}

// rejectedByRunner ends an attempt that the runner promised not to have run.
func (r *request) rejectedByRunner(chosen *balance.Attempt, exchange *upstream.Exchange, meta ResponseMeta) (attemptOutcome, error) {
	r.tried[chosen.Runner().Index] = true
	if meta.OtherRunner {
		r.gateway.Balancer.AddressReused(chosen.Runner())
		chosen.Cancel()
	} else {
		chosen.Rejected()
	}
	r.chart.notExecuted = true
	discard(exchange)
	return outcomeNotExecuted, reject(CodeRunnersFull)
}

// noRunner says why the request ends for want of a runner.
func (r *request) noRunner() error {
	if r.sentAttempts > 0 && !r.chart.notExecuted {
		return reject(CodeRunnerLost)
	}
	return reject(CodeNoRunner)
}

package balance

import (
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/routing"
)

// Estimates returns, for each ready runner that serves the model, the output tokens queued ahead of a new request and
// the measured output rate. A batching runner processes the requests in flight alongside a new one, not before it, so
// only the measured wait for the first token counts as queued, converted to tokens at the output rate.
func (b *Balancer) Estimates(service, model string) []allow.Estimate {
	now := time.Now()
	var estimates []allow.Estimate
	for _, runner := range b.Runners(service) {
		runner.mu.Lock()
		usable, ejected := runner.usable(model, now)
		if usable && !ejected && runner.info.State == routing.RunnerReady {
			rate := runner.outputRate()
			wait := runner.decayedWait(now) / 1000
			estimates = append(estimates, allow.Estimate{Queued: wait * max(rate, 1), Rate: rate})
		}
		runner.mu.Unlock()
	}
	return estimates
}

// outputRate is the measured output of the runner in events per second over all streams of this router, 0 until a
// stream has sent two events. The caller holds r.mu.
func (r *Runner) outputRate() float64 {
	if r.eventGapMs <= 0 {
		return 0
	}
	return 1000 / r.eventGapMs * float64(max(1, len(r.inFlight)))
}

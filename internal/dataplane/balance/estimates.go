package balance

import (
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/model/routing"
)

// Estimates gives, for each runner that could serve the model, the output ahead of a newcomer and the measured
// rate of its output. A runner that batches gives what it owes beside a newcomer, not before it: ahead is
// only what the measured wait for a first token is worth at its rate.
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

// outputRate is the measured output of the runner in events a second over all streams of this router; 0
// where no stream has given two events yet. The caller holds r.mu.
func (r *Runner) outputRate() float64 {
	if r.eventGapMs <= 0 {
		return 0
	}
	return 1000 / r.eventGapMs * float64(max(1, len(r.inFlight)))
}

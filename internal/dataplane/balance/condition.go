package balance

import (
	"slices"
	"time"

	"yarrowridge/internal/model/routing"
)

// fleetBarred is the share of failures of all routers from which on a runner is a last resort.
const fleetEjectionShare = 0.5

// usable reports whether the runner may be sent a request at all, and whether only as a last resort. The
// caller holds the lock.
func (r *Runner) usable(model string, now time.Time) (usable, barred bool) {
	if r.info.State != routing.RunnerReady && r.info.State != routing.RunnerSilent {
		return false, false
	}
	if !servesModel(&r.info, model) {
		return false, false
	}
	barred = r.info.State == routing.RunnerSilent || now.Before(r.ejectedUntil) || r.stalled(now) || r.fleetFailureShareNow(now) >= fleetEjectionShare ||
		r.failuresInRow > 0 && len(r.inFlight) > 0 // after its failure one request tries whether it serves again
	return true, barred
}

// servesModel reports whether a runner serves the model; "": any.
func servesModel(info *routing.Runner, model string) bool {
	return model == "" || len(info.Models) == 0 || slices.ContainsFunc(info.Models, func(m routing.RunnerModel) bool { return m.Name == model })
}

// fleetFresh is how long the word on failing runners holds: without a core there is no newer one, and a runner
// must not be left alone for as long as that lasts.
const fleetReportTTL = 2 * time.Second

// failingElsewhere is the share of attempts that failed lately for all routers. The caller holds the lock.
func (r *Runner) fleetFailureShareNow(now time.Time) float64 {
	if now.After(r.fleetFailureUntil) {
		return 0
	}
	return r.fleetFailureShare
}

// Failing takes the runners that fail for all routers together, with the share of attempts that fail.
func (b *Balancer) SetFailureShares(shares map[string]float64) {
	until := time.Now().Add(fleetReportTTL)
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			runner.mu.Lock()
			runner.fleetFailureShare, runner.fleetFailureUntil = shares[runner.info.ID], until
			runner.mu.Unlock()
		}
	}
}

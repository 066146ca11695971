package balance

import (
	"slices"
	"time"

	"yarrowridge/internal/model/routing"
)

// Outlier ejection: a runner that fails gets no new requests for a while, twice as long after each failure in a row. Then
// one request at a time tries whether it serves again. Ejected runners remain a last resort.
const (
	minEjection        = 300 * time.Millisecond // after the first failure
	maxEjection        = 5 * time.Second
	maxEjectionDoubles = 8   // so that the shift does not overflow
	fleetEjectionShare = 0.5 // of attempts that fail for all routers, from which on a runner is ejected
)

// fleetReportTTL is how long a report of what all routers measured counts: without a core there is no newer one, and a
// runner must not be left alone for as long as that lasts.
const fleetReportTTL = 2 * time.Second

// usable reports whether the runner may be sent a request at all, and whether only as a last resort. The caller holds r.mu.
func (r *Runner) usable(model string, now time.Time) (usable, ejected bool) {
	if r.info.State != routing.RunnerReady && r.info.State != routing.RunnerSilent {
		return false, false
	}
	if !servesModel(&r.info, model) {
		return false, false
	}
	ejected = r.info.State == routing.RunnerSilent || now.Before(r.ejectedUntil) || r.stalled(now) ||
		r.fleetFailureShareNow(now) >= fleetEjectionShare ||
		r.failuresInRow > 0 && len(r.inFlight) > 0 // after its failure one request tries whether it serves again
	return true, ejected
}

// servesModel reports whether a runner serves the model; "": any.
func servesModel(info *routing.Runner, model string) bool {
	return model == "" || len(info.Models) == 0 || slices.ContainsFunc(info.Models, func(m routing.RunnerModel) bool { return m.Name == model })
}

// eject ejects the runner after one more failure. The caller holds r.mu.
func (r *Runner) eject(now time.Time) {
	r.failuresInRow++
	ejection := min(maxEjection, minEjection<<min(r.failuresInRow-1, maxEjectionDoubles))
	if until := now.Add(ejection); until.After(r.ejectedUntil) {
		r.ejectedUntil = until
	}
}

// fleetFailureShareNow is the share of attempts that failed lately for all routers. The caller holds r.mu.
func (r *Runner) fleetFailureShareNow(now time.Time) float64 {
	if now.After(r.fleetFailureUntil) {
		return 0
	}
	return r.fleetFailureShare
}

// SetFailureRates takes the runners that fail for all routers together, by ID, with the share of attempts that fail. It
// counts for fleetReportTTL; a runner that is not named does not fail. It may be called concurrently with Choose.
func (b *Balancer) SetFailureRates(shares map[string]float64) {
	until := time.Now().Add(fleetReportTTL)
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			runner.mu.Lock()
			runner.fleetFailureShare, runner.fleetFailureUntil = shares[runner.info.ID], until
			runner.mu.Unlock()
		}
	}
}

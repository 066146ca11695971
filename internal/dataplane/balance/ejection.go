package balance

import (
	"slices"
	"time"

	"yarrowridge/internal/model/routing"
)

// Outlier ejection: a runner that fails receives no new requests for a period that doubles with each consecutive
// failure. After that, one request at a time probes whether it has recovered. Ejected runners remain a last resort.
const (
	minEjection          = 300 * time.Millisecond // after the first failure
	maxEjection          = 5 * time.Second
	maxEjectionDoublings = 8   // keeps the shift from overflowing
	fleetEjectionRate    = 0.5 // fleet-wide failure rate at and above which a runner is ejected
)

// fleetReportTTL is how long a fleet-wide report is valid. Without a core there are no newer reports, and a runner must
// not stay ejected for the whole outage.
const fleetReportTTL = 2 * time.Second

// usable reports whether the runner may receive requests for the model, and whether only as a last resort. The caller
// holds r.mu.
func (r *Runner) usable(model string, now time.Time) (usable, ejected bool) {
	if r.info.State != routing.RunnerReady && r.info.State != routing.RunnerTimedOut {
		return false, false
	}
	if !servesModel(&r.info, model) {
		return false, false
	}
	ejected = r.info.State == routing.RunnerTimedOut || now.Before(r.ejectedUntil) || r.stalled(now) ||
		r.currentFleetFailureRate(now) >= fleetEjectionRate ||
		r.failuresInRow > 0 && len(r.inFlight) > 0 // after a failure, one request at a time probes the runner
	return true, ejected
}

// servesModel reports whether a runner serves the model. An empty model matches every runner, and a runner that lists
// no models serves all of them.
func servesModel(info *routing.Runner, model string) bool {
	return model == "" || len(info.Models) == 0 || slices.ContainsFunc(info.Models, func(m routing.RunnerModel) bool { return m.Name == model })
}

// eject counts a failure and extends the ejection of the runner. The caller holds r.mu.
func (r *Runner) eject(now time.Time) {
	r.failuresInRow++
	ejection := min(maxEjection, minEjection<<min(r.failuresInRow-1, maxEjectionDoublings))
	if until := now.Add(ejection); until.After(r.ejectedUntil) {
		r.ejectedUntil = until
	}
}

// currentFleetFailureRate is the recent share of failed attempts over all routers, 0 if the last report has expired.
// The caller holds r.mu.
func (r *Runner) currentFleetFailureRate(now time.Time) float64 {
	if now.After(r.fleetFailureExpiry) {
		return 0
	}
	return r.fleetFailureRate
}

// SetFailureRates stores the fleet-wide failure rates of runners, by ID, for fleetReportTTL. Runners that are not
// listed have a rate of 0. It may be called concurrently with Choose.
func (b *Balancer) SetFailureRates(rates map[string]float64) {
	until := time.Now().Add(fleetReportTTL)
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			runner.mu.Lock()
			runner.fleetFailureRate, runner.fleetFailureExpiry = rates[runner.info.ID], until
			runner.mu.Unlock()
		}
	}
}

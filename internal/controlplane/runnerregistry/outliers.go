package runnerregistry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// How the attempts of all routers at a runner are judged.
const (
	attemptHalfLife = time.Second // of the weight of an attempt
	minFailures     = 1.0         // weighted failures from which on a runner may be an outlier
	minFailureRatio = 0.2         // of the weighted attempts
	minKeptAttempts = 0.05        // weighted attempts below which a runner is forgotten
)

// OutlierDetector adds up the attempts that routers made at runners. In a large fleet each router meets a runner seldom:
// alone, each would lose a request of its own before it knows that the runner fails. The zero value is ready; its methods
// may be called concurrently.
type OutlierDetector struct {
	mu       sync.Mutex
	attempts decayingSums // the count is attempts, the amount is failures among them
}

// Record adds one router's counts.
func (d *OutlierDetector) Record(stats []coreapi.RunnerStats, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, runner := range stats {
		d.attempts.add(runner.ID, attemptHalfLife, max(runner.Attempts, runner.Failures), runner.Failures, now)
	}
}

// Failing lists the runners that fail now, sorted by ID.
func (d *OutlierDetector) Failing(now time.Time) []coreapi.FailingRunner {
	d.mu.Lock()
	defer d.mu.Unlock()
	var failing []coreapi.FailingRunner
	for id, sum := range d.attempts {
		sum.decayTo(now)
		if sum.count < minKeptAttempts {
			delete(d.attempts, id)
			continue
		}
		if ratio := sum.mean(); sum.amount >= minFailures && ratio >= minFailureRatio {
			failing = append(failing, coreapi.FailingRunner{ID: id, FailureRatio: ratio})
		}
	}
	slices.SortFunc(failing, func(a, b coreapi.FailingRunner) int { return cmp.Compare(a.ID, b.ID) })
	return failing
}

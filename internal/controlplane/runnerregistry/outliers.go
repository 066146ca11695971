package runnerregistry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// When a runner counts as failing.
const (
	attemptHalfLife    = time.Second // half-life of the weight of an attempt
	minFailures        = 1.0         // weighted failures that a failing runner has at least
	minFailureRatio    = 0.2         // weighted failures per weighted attempt that a failing runner has at least
	minTrackedAttempts = 0.05        // a runner with fewer weighted attempts is no longer tracked
)

// OutlierDetector aggregates the attempts that all routers made at runners. In a large fleet each router rarely uses a given
// runner: on its own, every router would lose a request before it detects that the runner fails. The zero value is ready for
// use; its methods are safe for concurrent use.
type OutlierDetector struct {
	mu       sync.Mutex
	attempts decayingSums // per runner: the number of attempts, and how many of them failed
}

// Record adds the counts reported by one router.
func (d *OutlierDetector) Record(stats []coreapi.RunnerStats, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, runner := range stats {
		d.attempts.add(runner.ID, attemptHalfLife, max(runner.Attempts, runner.Failures), runner.Failures, now)
	}
}

// Failing returns the runners that are failing at the time now, sorted by ID.
func (d *OutlierDetector) Failing(now time.Time) []coreapi.FailingRunner {
	d.mu.Lock()
	defer d.mu.Unlock()
	var failing []coreapi.FailingRunner
	for id, sum := range d.attempts {
		sum.decayTo(now)
		if sum.count < minTrackedAttempts {
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

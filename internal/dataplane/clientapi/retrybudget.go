package clientapi

import (
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/model/fleetconfig"
)

// RetryBudget limits retries. Each first attempt at a service earns a fraction of a retry (the retry ratio). Unused retries
// accumulate only up to this router's share of the fleet's minimum. So over any period the retries of all routers are at most
// that fraction of the first attempts in the period plus the minimum, even right after a drop in traffic. Its methods may be
// called concurrently.
type RetryBudget struct {
	mu        sync.Mutex
	byService map[string]*attemptCounts
	metrics   *metrics.Metrics
}

// attemptCounts holds the earned retries and the recent attempts of one service.
type attemptCounts struct {
	earned         float64     // retries that may be made
	first, retries []time.Time // times of the attempts within countWindow, oldest first
}

// NewRetryBudget returns a budget without earned retries.
func NewRetryBudget(counters *metrics.Metrics) *RetryBudget {
	return &RetryBudget{byService: map[string]*attemptCounts{}, metrics: counters}
}

// countWindow is the period that Counts covers.
const countWindow = 10 * time.Second

// countsOf returns the counts of a service after dropping attempts older than countWindow. The caller holds the mutex.
func (b *RetryBudget) countsOf(service string) *attemptCounts {
	counts := b.byService[service]
	if counts == nil {
		counts = &attemptCounts{}
		b.byService[service] = counts
	}
	cutoff := time.Now().Add(-countWindow)
	for len(counts.first) > 0 && !counts.first[0].After(cutoff) {
		counts.first = counts.first[1:]
	}
	for len(counts.retries) > 0 && !counts.retries[0].After(cutoff) {
		counts.retries = counts.retries[1:]
	}
	return counts
}

// CountFirstAttempt records a first attempt at a service. minRetries is this router's share of the fleet's minimum.
func (b *RetryBudget) CountFirstAttempt(service fleetconfig.Service, minRetries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	counts.first = append(counts.first, time.Now())
	b.metrics.FirstAttempts.WithLabelValues(service.Name).Inc()
	counts.earned = min(float64(minRetries), counts.earned+service.RetryRatio)
}

// Counts returns how many first attempts and retries there were in the last ten seconds.
func (b *RetryBudget) Counts(service string) (first, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service)
	return len(counts.first), len(counts.retries)
}

// Allow reports whether a retry may be made now, and if so records it.
func (b *RetryBudget) Allow(service fleetconfig.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	decision := "no"
	if counts.earned >= 1-1e-9 || faultinjection.Disabled("second") {
		counts.earned--
		counts.retries = append(counts.retries, time.Now())
		decision = "yes"
	}
	b.metrics.RetryDecisions.WithLabelValues(service.Name, decision).Inc()
	return decision == "yes"
}

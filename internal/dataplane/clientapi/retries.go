package clientapi

import (
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/model/fleetconfig"
)

// RetryBudget bounds second tries. Each first try to a service earns a share of a second one; what is
// earned is kept up to this router's part of the fleet's small allowance and no further. So in any
// span of time the second tries of all routers are at most that share of the first ones within it,
// and the allowance, also when traffic has just fallen away.
type RetryBudget struct {
	mu        sync.Mutex
	byService map[string]*tryCounts
	metrics   *metrics.Metrics
}

// tryCounts are the tries to one service.
type tryCounts struct {
	allowed      float64 // second tries that may be made
	first, again []time.Time
}

// NewRetryBudget makes the budget.
func NewRetryBudget(counters *metrics.Metrics) *RetryBudget {
	return &RetryBudget{byService: map[string]*tryCounts{}, metrics: counters}
}

// countSpan is the span that Counts looks back.
const countSpan = 10 * time.Second

// countsOf finds the counts of a service, without what is too old to count.
func (b *RetryBudget) countsOf(service string) *tryCounts {
	counts := b.byService[service]
	if counts == nil {
		counts = &tryCounts{}
		b.byService[service] = counts
	}
	old := time.Now().Add(-countSpan)
	for len(counts.first) > 0 && !counts.first[0].After(old) {
		counts.first = counts.first[1:]
	}
	for len(counts.again) > 0 && !counts.again[0].After(old) {
		counts.again = counts.again[1:]
	}
	return counts
}

// CountFirst counts a first try. part is what this router has of the fleet's spare tries.
func (b *RetryBudget) CountFirst(service fleetconfig.Service, part int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	counts.first = append(counts.first, time.Now())
	b.metrics.FirstAttempts.WithLabelValues(service.Name).Inc()
	counts.allowed = min(float64(part), counts.allowed+service.RetryRatio)
}

// Counts is how many first and second tries the last ten seconds saw.
func (b *RetryBudget) Counts(service string) (first, again int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service)
	return len(counts.first), len(counts.again)
}

// Allow reports whether a second try may be made now, and counts it.
func (b *RetryBudget) Allow(service fleetconfig.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.countsOf(service.Name)
	let := "no"
	if counts.allowed >= 1-1e-9 || faultinjection.Disabled("second") {
		counts.allowed--
		counts.again = append(counts.again, time.Now())
		let = "yes"
	}
	b.metrics.RetryDecisions.WithLabelValues(service.Name, let).Inc()
	return let == "yes"
}

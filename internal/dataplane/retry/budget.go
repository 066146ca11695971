// Package retry bounds retries at the services of a fleet, so that retries never multiply a fault.
package retry

import (
	"sync"
)

// Policy bounds the retries at one service.
type Policy struct {
	Ratio float64 // retries that each first attempt earns
	Burst int     // the most earned retries that this router may keep: its share of the fleet's allowance
}

// Budget holds the retries that this router may make, for each service. Each first attempt earns a fraction of a retry; what
// is earned is kept up to Spare and no further. Invariant: in any span of time the retries of all routers are at most Ratio
// times the first attempts within it, plus the allowance. Its methods may be called concurrently; mu guards the map.
type Budget struct {
	mu       sync.Mutex
	services map[string]float64
}

// New makes an empty budget.
func New() *Budget { return &Budget{services: map[string]float64{}} }

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(service string, rule Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[service] = min(float64(rule.Burst), b.services[service]+rule.Ratio)
}

// roundingSlack guards the comparison against sums of fractions that miss a whole number by rounding.
const roundingSlack = 1e-9

// Take reports whether a retry may be made now, and counts it.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services[service] < 1-roundingSlack {
		return false
	}
	b.services[service]--
	return true
}

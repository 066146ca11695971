// Package retry limits retries per service, so that retries cannot amplify a failure.
package retry

import (
	"sync"
)

// Policy limits the retries at one service.
type Policy struct {
	Ratio float64 // retries earned per first attempt
	Burst int     // maximum unspent retries of this router: its share of the fleet's allowance
}

// Budget is a token bucket of retries for each service: each first attempt adds Ratio retries, up to Burst. Invariant:
// in any period the retries of all routers are at most Ratio times the first attempts in that period, plus the
// allowance. Its methods may be called concurrently; mu guards the map.
type Budget struct {
	mu       sync.Mutex
	balances map[string]float64 // unspent retries by service
}

// New creates a budget with no retries earned.
func New() *Budget { return &Budget{balances: map[string]float64{}} }

// RecordFirstAttempt adds the retries that a first attempt earns.
func (b *Budget) RecordFirstAttempt(service string, policy Policy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[service] = min(float64(policy.Burst), b.balances[service]+policy.Ratio)
}

// roundingTolerance compensates for rounding in sums of fractions, which may fall just short of a whole number.
const roundingTolerance = 1e-9

// Take reports whether a retry is permitted, and deducts it if so.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balances[service] < 1-roundingTolerance {
		return false
	}
	b.balances[service]--
	return true
}

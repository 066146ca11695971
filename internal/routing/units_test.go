package routing

import (
	"testing"
	"time"
)

// What any window may see, with what may be held on top after two losses within it, never exceeds the limit
// and what it may be exceeded by.
func TestQuotaKeepsTheLimit(t *testing.T) {
	for _, tenant := range []Tenant{{Rate: 0.1, Burst: 0}, {Rate: 1, Burst: 1}, {Rate: 20, Burst: 20}, {Rate: 300, Burst: 40}} {
		rule := QuotaRule{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}
		quota := rule.For(&tenant)
		limit := (tenant.Rate*5+tenant.Burst)*1.1 + 20
		periods := int((rule.Window + quota.Period/2) / quota.Period)
		if most := float64(quota.Requests*periods + 2*quota.Tolerance); most > limit {
			t.Errorf("%+v: %g requests in a window, at most %g", tenant, most, limit)
		}
		if plain := (QuotaRule{Window: rule.Window}).For(&tenant); plain.Requests > quota.Requests {
			t.Errorf("%+v: %d units with a tolerance, %d without", tenant, quota.Requests, plain.Requests)
		}
	}
}

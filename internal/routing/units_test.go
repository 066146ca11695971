package routing

import (
	"testing"
	"time"
)

// A tenant's quota never lets more through in the window than its limit, nor loses more than a request in each
// period by rounding. What may be drawn on top while units cool, in all periods of a window together, keeps the
// overshoot.
func TestQuota(t *testing.T) {
	cases := []struct {
		tenant Tenant
		rule   QuotaRule
		limit  float64
	}{
		{Tenant{Rate: 20, Burst: 20}, QuotaRule{Window: 5 * time.Second}, 120},
		{Tenant{Rate: 20, Burst: 20}, QuotaRule{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}, 120},
		{Tenant{Rate: 1.1, Burst: 0.5}, QuotaRule{Window: 5 * time.Second, Allowance: 1}, 6},
		{Tenant{Rate: 0.6}, QuotaRule{Window: 5 * time.Second}, 3},
	}
	for _, c := range cases {
		got := c.rule.For(&c.tenant)
		periods := float64(c.rule.Window) / float64(got.Period)
		if whole := float64(got.Requests) * periods; whole > c.limit+0.01 || whole <= c.limit-periods {
			t.Errorf("%+v %+v: %v in the window, %v expected", c.tenant, c.rule, whole, c.limit)
		}
		if most := c.limit*c.rule.Overshoot + c.rule.Allowance; float64(got.Tolerance) > most {
			t.Errorf("%+v: tolerance %d in a window, %v at the most expected", c.rule, got.Tolerance, most)
		}
	}
	if got := (QuotaRule{Window: time.Second}).For(&Tenant{Rate: 0.01}); got.Requests != 1 {
		t.Errorf("the smallest quota has %d units, 1 expected", got.Requests)
	}
}

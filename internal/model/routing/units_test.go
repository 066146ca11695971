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
		if whole := float64(got.Units) * periods; whole > c.limit+0.01 || whole <= c.limit-periods {
			t.Errorf("%+v %+v: %v in the window, %v expected", c.tenant, c.rule, whole, c.limit)
		}
		if most := c.limit*c.rule.Overshoot + c.rule.Allowance; float64(got.Tolerance) > most {
			t.Errorf("%+v: tolerance %d in a window, %v at the most expected", c.rule, got.Tolerance, most)
		}
	}
	if got := (QuotaRule{Window: time.Second}).For(&Tenant{Rate: 0.01}); got.Units != 1 {
		t.Errorf("the smallest quota has %d units, 1 expected", got.Units)
	}
}

// Where tokens are counted, a request costs what it tells or what the tenant is charged without, and the quota is that of
// the whole window: one request may cost a large part of a third.
func TestTokenQuota(t *testing.T) {
	rule := QuotaRule{Window: 8 * time.Second, Overshoot: 0.1, Allowance: 190_000}
	byTokens := Tenant{Name: "a", Rate: 60_000, Burst: 60_000, Unit: CountTokens, UncachedTokens: 200}
	if got := rule.For(&byTokens); got.Units != 540_000 || got.Period != rule.Window || got.Tolerance > 54_000+190_000 {
		t.Errorf("%+v for 540000 tokens in 8s", got)
	}
	byRequests := Tenant{Name: "a", Rate: 60_000, Burst: 60_000, UncachedTokens: 200}
	for _, c := range []struct {
		tenant Tenant
		told   bool
		cost   int
	}{{byTokens, true, 17_000}, {byTokens, false, 200}, {byRequests, true, 1}, {byRequests, false, 1}} {
		if got := c.tenant.Cost(17_000, c.told); got != c.cost {
			t.Errorf("a request costs %d, %d expected (unit %d, told %v)", got, c.cost, c.tenant.Unit, c.told)
		}
	}
	if byTokens.QuotaName() == byRequests.QuotaName() {
		t.Error("units spent as tokens and as requests are counted together")
	}
}

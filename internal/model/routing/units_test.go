package routing

import (
	"testing"
	"time"
)

// A tenant's quota never permits more units in the window than its limit, and rounding loses at most one unit per period.
// The tolerance in a window is at most the permitted overshoot.
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
		if inWindow := float64(got.Units) * periods; inWindow > c.limit+0.01 || inWindow <= c.limit-periods {
			t.Errorf("%+v %+v: got %v units in the window, want %v", c.tenant, c.rule, inWindow, c.limit)
		}
		if maxTolerance := c.limit*c.rule.Overshoot + c.rule.Allowance; float64(got.Tolerance) > maxTolerance {
			t.Errorf("%+v: got tolerance %d, want at most %v", c.rule, got.Tolerance, maxTolerance)
		}
	}
	if got := (QuotaRule{Window: time.Second}).For(&Tenant{Rate: 0.01}); got.Units != 1 {
		t.Errorf("smallest quota: got %d units, want 1", got.Units)
	}
}

// If tokens are counted, a request costs its stated tokens, or UncachedTokens if it states none, and the period of the quota
// is the full window, because one request may cost a large part of a third.
func TestTokenQuota(t *testing.T) {
	rule := QuotaRule{Window: 8 * time.Second, Overshoot: 0.1, Allowance: 190_000}
	byTokens := Tenant{Name: "a", Rate: 60_000, Burst: 60_000, Unit: CountTokens, UncachedTokens: 200}
	if got := rule.For(&byTokens); got.Units != 540_000 || got.Period != rule.Window || got.Tolerance > 54_000+190_000 {
		t.Errorf("got %+v, want 540000 tokens in 8s", got)
	}
	byRequests := Tenant{Name: "a", Rate: 60_000, Burst: 60_000, UncachedTokens: 200}
	for _, c := range []struct {
		tenant Tenant
		known  bool
		cost   int
	}{{byTokens, true, 17_000}, {byTokens, false, 200}, {byRequests, true, 1}, {byRequests, false, 1}} {
		if got := c.tenant.Cost(17_000, c.known); got != c.cost {
			t.Errorf("got cost %d, want %d (unit %d, tokens known: %v)", got, c.cost, c.tenant.Unit, c.known)
		}
	}
	if byTokens.QuotaName() == byRequests.QuotaName() {
		t.Error("got the same quota name for tokens and for requests, want two")
	}
}

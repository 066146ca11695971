package routing

import (
	"testing"
	"time"
)

// A tenant's units are its limit over the window and a part of what the limit may be exceeded by, never
// more than may run.
func TestUnits(t *testing.T) {
	tenant := Tenant{Rate: 20, Burst: 20}
	cases := []struct {
		rule  QuotaRule
		units int
	}{
		{QuotaRule{Window: 5 * time.Second}, 120},
		{QuotaRule{Window: 5 * time.Second, Overshoot: 0.1, Allowance: 20}, 136},
		{QuotaRule{Window: 5 * time.Second, Allowance: 1}, 120},
	}
	for _, c := range cases {
		if got := tenant.Units(c.rule); got != c.units {
			t.Errorf("%+v: %d units, %d expected", c.rule, got, c.units)
		}
	}
	if got := (&Tenant{Rate: 0.01}).Units(QuotaRule{Window: time.Second}); got != 1 {
		t.Errorf("the smallest quota has %d units, 1 expected", got)
	}
}

package quotapool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestScarcity(t *testing.T) {
	for _, c := range []struct {
		name    string
		demand  Demand
		routers int
		want    bool
	}{
		{"met, and enough is left", Demand{Quota: 1000, Free: 900}, 2, false},
		{"not met", Demand{Unmet: true, Quota: 1000, Free: 900}, 2, true},
		{"little is left of a large quota", Demand{Quota: 1000, Free: 1}, 2, false},
		{"less than half is left of a small quota", Demand{Quota: 10, Free: 4}, 10, true},
		{"half is left of a small quota", Demand{Quota: 10, Free: 5}, 10, false},
		{"less than an eighth is left of an uneven quota", Demand{UnevenCosts: true, Quota: 1000, Free: 124}, 2, true},
		{"an eighth is left of an uneven quota", Demand{UnevenCosts: true, Quota: 1000, Free: 125}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var scarcity Scarcity
				c.demand.Tenant, c.demand.Units = "t", 1
				scarcity.Record(c.demand, c.routers)
				if got := slices.Contains(scarcity.Tenants(), "t"); got != c.want {
					t.Errorf("got scarce: %t, want %t", got, c.want)
				}
				time.Sleep(scarceTTL)
				if got := scarcity.Tenants(); len(got) != 0 {
					t.Errorf("got %v after %s, want none", got, scarceTTL)
				}
			})
		})
	}
}

func TestScarceTenantsAreSorted(t *testing.T) {
	var scarcity Scarcity
	for _, tenant := range []string{"c", "a", "b"} {
		scarcity.Record(Demand{Tenant: tenant, Units: 1, Unmet: true}, 1)
	}
	if got, want := scarcity.Tenants(), []string{"a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// The version of the list of scarce tenants changes only if the list changes.
func TestScarceListVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var scarcity Scarcity
		record := func(tenant string) { scarcity.Record(Demand{Tenant: tenant, Units: 1, Unmet: true}, 1) }
		record("a")
		_, first := scarcity.Snapshot()
		if first == 0 {
			t.Error("got version 0, want another version")
		}
		time.Sleep(snapshotMaxAge)
		record("a")
		if _, again := scarcity.Snapshot(); again != first {
			t.Errorf("got version %d for the same list, want %d", again, first)
		}
		record("b")
		time.Sleep(snapshotMaxAge)
		tenants, next := scarcity.Snapshot()
		if next == first || !slices.Equal(tenants, []string{"a", "b"}) {
			t.Errorf("got %v with version %d, want a and b with a version other than %d", tenants, next, first)
		}
	})
}

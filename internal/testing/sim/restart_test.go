package sim_test

import (
	"testing"
	"time"
)

// newKilledFleet returns a fleet with a configuration and all processes killed at the same time, and the cores that were its
// primary and its first backup.
func newKilledFleet(t *testing.T, seed uint64, routers int) (f *fleet, primary, backup *coreProc) {
	f = newFleet(t, seed, routers)
	f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
	if p := f.operator().put(1, 0, ""); p.code != 200 {
		t.Fatalf("the first write was answered with code %d", p.code)
	}
	time.Sleep(3 * time.Second)
	primary = f.primary()
	view := primary.srv.State().View
	for _, c := range f.cores {
		if c.addr == view.Addr(view.FirstBackup) {
			backup = c
		}
	}
	for _, c := range f.cores {
		f.crashCore(c)
	}
	for _, r := range f.routers {
		f.crashRouter(r)
	}
	return f, primary, backup
}

// expectWithin polls ok every millisecond until it returns true. The test fails if that takes longer than the limit, and stops
// after 5 s.
func (f *fleet) expectWithin(limit time.Duration, what string, ok func() bool) {
	start := time.Now()
	for !ok() {
		if time.Since(start) > 5*time.Second {
			f.t.Fatalf("condition not met within 5s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(start); took > limit {
		f.t.Errorf("%s: after %s, want at most %s", what, took, limit)
	}
}

// allRoutersServe reports whether every router is available.
func (f *fleet) allRoutersServe() bool {
	for _, r := range f.routers {
		if r.member.UnavailableReason() != "" {
			return false
		}
	}
	return true
}

// After a restart of all cores, with or without the former backup, a primary is ready after a few round trips: no step waits
// for a periodic timer.
func TestPrimaryIsReadySoon(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, _ := newKilledFleet(t, seed, 1)
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.expectWithin(60*time.Millisecond, "a primary is ready", func() bool { return f.primary() != nil })
	})
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, backup := newKilledFleet(t, seed, 1)
		for _, c := range f.cores {
			if c != backup {
				f.startCore(c)
			}
		}
		f.expectWithin(120*time.Millisecond, "a primary is ready without its former backup", func() bool { return f.primary() != nil })
	})
}

// Routers that started before the cores serve as soon as the primary is ready, even if another core is unreachable: neither
// their first heartbeat nor their search for a primary waits for a timeout or a periodic timer.
func TestRoutersFollowThePrimary(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, primary, backup := newKilledFleet(t, seed, 8)
		for _, c := range f.cores {
			if c != primary && c != backup {
				f.w.Split([]string{c.addr}, f.addrsExcept(c))
				break
			}
		}
		for _, r := range f.routers {
			f.startRouter(r)
		}
		time.Sleep(time.Duration(100+f.chance(300)) * time.Millisecond)
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.expectWithin(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		f.expectWithin(100*time.Millisecond, "all routers are available", f.allRoutersServe)
	})
}

// A router that starts while a primary is ready serves after a few round trips.
func TestRouterServesSoon(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, _ := newKilledFleet(t, seed, 8)
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.expectWithin(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		for _, r := range f.routers {
			f.startRouter(r)
		}
		f.expectWithin(100*time.Millisecond, "all routers are available", f.allRoutersServe)
	})
}

package sim_test

import (
	"testing"
	"time"
)

// newKilledFleet is a fleet with a configuration whose processes have all been killed at one moment.
func newKilledFleet(t *testing.T, seed uint64, routers int) (f *fleet, lead, back *coreProc) {
	f = newFleet(t, seed, routers)
	f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
	if p := f.operator().put(1, 0, ""); p.code != 200 {
		t.Fatalf("the first write was answered %d", p.code)
	}
	time.Sleep(3 * time.Second)
	lead = f.primary()
	view := lead.srv.State().View
	for _, c := range f.cores {
		if c.addr == view.Addr(view.FirstBackup) {
			back = c
		}
	}
	for _, c := range f.cores {
		f.crashCore(c)
	}
	for _, r := range f.routers {
		f.crashRouter(r)
	}
	return f, lead, back
}

// expectWithin is the time until something holds, looked at often; it fails where that is more than the limit.
func (f *fleet) expectWithin(limit time.Duration, what string, ok func() bool) {
	begun := time.Now()
	for !ok() {
		if time.Since(begun) > 5*time.Second {
			f.t.Fatalf("not within 5s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took > limit {
		f.t.Errorf("%s: after %s, %s at most expected", what, took, limit)
	}
}

func (f *fleet) allRoutersServe() bool {
	for _, r := range f.routers {
		if r.member.UnavailableReason() != "" {
			return false
		}
	}
	return true
}

// A core whose processes have all started again has its primary after some round trips, with and without the
// backup: no step waits for a tick.
func TestPrimaryIsReadySoon(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, _ := newKilledFleet(t, seed, 1)
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.expectWithin(60*time.Millisecond, "a primary", func() bool { return f.primary() != nil })
	})
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, back := newKilledFleet(t, seed, 1)
		for _, c := range f.cores {
			if c != back {
				f.startCore(c)
			}
		}
		f.expectWithin(120*time.Millisecond, "a primary without its former backup", func() bool { return f.primary() != nil })
	})
}

// Routers that have started before the core serve as soon as the primary is ready, also while another machine of the
// core is dark: neither their first heartbeat nor their search for a primary waits for its time.
func TestRoutersFollowThePrimary(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, lead, back := newKilledFleet(t, seed, 8)
		for _, c := range f.cores {
			if c != lead && c != back {
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
		f.expectWithin(5*time.Second, "a primary", func() bool { return f.primary() != nil })
		f.expectWithin(100*time.Millisecond, "all routers serve", f.allRoutersServe)
	})
}

// A router that starts while a primary is ready serves after some round trips.
func TestRouterServesSoon(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _, _ := newKilledFleet(t, seed, 8)
		for _, c := range f.cores {
			f.startCore(c)
		}
		f.expectWithin(5*time.Second, "a primary", func() bool { return f.primary() != nil })
		for _, r := range f.routers {
			f.startRouter(r)
		}
		f.expectWithin(100*time.Millisecond, "all routers serve", f.allRoutersServe)
	})
}

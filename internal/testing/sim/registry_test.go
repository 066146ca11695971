package sim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// heartbeatSender is a runner that sends its heartbeats to one core, whichever is primary.
type heartbeatSender struct {
	f      *fleet
	client *coreclient.Client
	mu     sync.Mutex
	runner routing.Runner
	muted  bool
}

func (f *fleet) heartbeatSender(i int) *heartbeatSender {
	c := f.cores[i%5]
	n, _ := f.w.Net(fmt.Sprintf("10.0.7.%d:1", i+1))
	ec := daemon.Context{Context: f.ctx, Name: "beater", Log: f.log, Net: n}
	b := &heartbeatSender{f: f, client: coreclient.NewClient(ec, wire.NewCaller(n), []string{c.addr}), runner: routing.Runner{
		ID: fmt.Sprintf("life%02d", i), Service: "s", Address: fmt.Sprintf("10.0.8.%d:1", i+1), Zone: c.zone, State: routing.RunnerReady, Slots: 4}}
	go runloop.Run(f.ctx, nil, 500*time.Millisecond, func(struct{}) {}, func() { b.heartbeat() })
	return b
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (b *heartbeatSender) heartbeat() bool {
	b.mu.Lock()
	if b.muted {
		b.mu.Unlock()
		return false
	}
	b.runner.Sequence++
	runner := b.runner
	b.mu.Unlock()
	ctx, end := context.WithTimeout(b.f.ctx, 6*time.Second)
	defer end()
	return b.client.SendRunnerHeartbeat(ctx, runner) == nil
}

// sendState sets the state and sends heartbeats until it is acknowledged.
func (b *heartbeatSender) sendState(state routing.RunnerState) {
	b.mu.Lock()
	b.runner.State = state
	b.mu.Unlock()
	for !b.heartbeat() {
		if !runloop.Sleep(b.f.ctx, 50*time.Millisecond) {
			return
		}
	}
}

func (b *heartbeatSender) setMuted(mute bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.muted = mute
}

// allRoutersKnow reports whether every router that is up knows a runner in this state; "" stands for not at all.
func (f *fleet) allRoutersKnow(regs map[string]*registry.Registry, id string, state routing.RunnerState) bool {
	for _, r := range f.routers {
		found := routing.RunnerState("")
		for _, runner := range regs[r.name].List() {
			if runner.ID == id {
				found = runner.State
			}
		}
		if r.up && found != state {
			return false
		}
	}
	return true
}

func newRegistryFleet(t *testing.T, seed uint64, routers int) (*fleet, map[string]*registry.Registry) {
	regs := map[string]*registry.Registry{}
	f := newFleetWith(t, seed, routers, func(f *fleet) {
		f.options = func(r *routerProc) []cluster.Option {
			regs[r.name] = registry.New(nil)
			return []cluster.Option{cluster.WithRegistry(regs[r.name])}
		}
	})
	f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
	return f, regs
}

// Runners send heartbeats to any core. Every router knows them, learns of one that drains within 1.5 s of its
// acknowledgement though the primary falls right then, of one that fell silent, of its return, and of one
// that left; a new router knows them too, and what is over is forgotten.
func TestRunnersAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, regs := newRegistryFleet(t, seed, 9)
		var all []*heartbeatSender
		for i := range 12 {
			all = append(all, f.heartbeatSender(i))
		}
		everyoneReady := func() bool {
			for _, b := range all {
				if !f.allRoutersKnow(regs, b.runner.ID, routing.RunnerReady) {
					return false
				}
			}
			return true
		}
		f.within(3*time.Second, "all runners are known", everyoneReady)
		time.Sleep(time.Duration(f.chance(8000)) * time.Millisecond)
		drains := func(b *heartbeatSender, what string, crash bool) {
			b.sendState(routing.RunnerDraining)
			p := f.primary()
			if crash && p != nil {
				f.crashCore(p)
			}
			took := f.within(1500*time.Millisecond, what, func() bool { return f.allRoutersKnow(regs, b.runner.ID, routing.RunnerDraining) })
			t.Logf("%s: %s", what, took)
			if crash {
				f.settle()
			}
		}
		drains(all[0], "draining is known", false)
		drains(all[1], "draining is known, though the primary fell", true)
		f.within(3*time.Second, "the others stay ready", func() bool {
			for _, b := range all[2:] {
				if !f.allRoutersKnow(regs, b.runner.ID, routing.RunnerReady) {
					return false
				}
			}
			return true
		})
		// Many at the same moment, while a router does not answer.
		f.w.Split([]string{f.routers[8].addr}, append(f.founders, f.routers[0].addr, f.routers[1].addr))
		begun := time.Now()
		var many sync.WaitGroup
		for _, b := range all[2:10] {
			many.Go(func() { b.sendState(routing.RunnerDraining) })
		}
		many.Wait()
		if took := time.Since(begun); took > time.Second {
			t.Errorf("eight changes at once were acknowledged after %s", took)
		}
		f.settle()
		for _, b := range all[:10] {
			f.within(1500*time.Millisecond, "all that drain are known", func() bool { return f.allRoutersKnow(regs, b.runner.ID, routing.RunnerDraining) })
		}
		// Silence and return, once the new primary has heard all.
		time.Sleep(3 * time.Second)
		all[10].setMuted(true)
		time.Sleep(3 * time.Second)
		if !f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) {
			t.Error("a runner unheard for 3 s is not ready any more")
		}
		f.within(2500*time.Millisecond, "the silent one is known", func() bool { return f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerSilent) })
		all[10].setMuted(false)
		f.within(1500*time.Millisecond, "its return is known", func() bool { return f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) })
		// Leaving is final, also for a late word and for a router that starts anew.
		all[11].sendState(routing.RunnerGone)
		all[11].setMuted(true)
		f.within(1500*time.Millisecond, "the one that left is known", func() bool { return f.allRoutersKnow(regs, all[11].runner.ID, routing.RunnerGone) })
		all[11].runner.Sequence += 10
		all[11].setMuted(false)
		all[11].sendState(routing.RunnerReady)
		all[11].setMuted(true)
		f.crashRouter(f.routers[4])
		f.startRouter(f.routers[4])
		f.within(3*time.Second, "the new router knows them", func() bool {
			return f.allRoutersKnow(regs, all[11].runner.ID, routing.RunnerGone) && f.allRoutersKnow(regs, all[0].runner.ID, routing.RunnerDraining)
		})
		// What is over is forgotten, what lives is not.
		all[0].setMuted(true)
		time.Sleep(80 * time.Second)
		for _, b := range []*heartbeatSender{all[0], all[11]} {
			if !f.allRoutersKnow(regs, b.runner.ID, "") {
				t.Errorf("%s is still known", b.runner.ID)
			}
		}
		if !f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) || !f.allRoutersKnow(regs, all[1].runner.ID, routing.RunnerDraining) {
			t.Error("a living runner is not known any more")
		}
	})
}

// A runner that dies together with the primary was never heard by the next one. Routers drop it with the first
// whole list, five seconds into the next primary's time.
func TestRunnerDiesWithThePrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, regs := newRegistryFleet(t, seed, 5)
		dies, lives := f.heartbeatSender(0), f.heartbeatSender(1)
		both := func() bool {
			return f.allRoutersKnow(regs, dies.runner.ID, routing.RunnerReady) && f.allRoutersKnow(regs, lives.runner.ID, routing.RunnerReady)
		}
		f.within(3*time.Second, "both are known", both)
		time.Sleep(time.Duration(3000+f.chance(8000)) * time.Millisecond)
		dies.setMuted(true)
		f.crashCore(f.primary())
		took := f.within(10*time.Second, "the dead one is not ready any more", func() bool {
			if !f.allRoutersKnow(regs, lives.runner.ID, routing.RunnerReady) {
				t.Fatal("the living runner is not known as ready")
			}
			return f.allRoutersKnow(regs, dies.runner.ID, "") || f.allRoutersKnow(regs, dies.runner.ID, routing.RunnerSilent)
		})
		t.Logf("not ready after %s", took)
	})
}

// Primaries fall one after the other. No router loses a runner that lives, whole lists notwithstanding,
// and one that died meanwhile is dropped in the end.
func TestLivingRunnersStayThroughChanges(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, regs := newRegistryFleet(t, seed, 5)
		var all []*heartbeatSender
		for i := range 6 {
			all = append(all, f.heartbeatSender(i))
		}
		known := func() bool {
			for _, b := range all[1:] {
				if !f.allRoutersKnow(regs, b.runner.ID, routing.RunnerReady) {
					return false
				}
			}
			return true
		}
		f.within(3*time.Second, "all runners are known", known)
		all[0].setMuted(true)
		for range 4 {
			f.crashCore(f.primary())
			for end := time.Now().Add(time.Duration(2000+f.chance(8000)) * time.Millisecond); time.Now().Before(end); {
				if !known() {
					t.Fatal("a living runner is not known as ready")
				}
				time.Sleep(50 * time.Millisecond)
			}
			f.settle()
		}
		f.within(80*time.Second, "the dead one is dropped", func() bool { return f.allRoutersKnow(regs, all[0].runner.ID, "") })
		if !known() {
			t.Error("a living runner is not known as ready")
		}
	})
}

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

// heartbeatSender simulates a runner that sends all its heartbeats to the same core, whether that is the primary or not.
type heartbeatSender struct {
	f      *fleet
	client *coreclient.Client
	mu     sync.Mutex
	runner routing.Runner
	muted  bool
}

// heartbeatSender starts the simulated runner with number i.
func (f *fleet) heartbeatSender(i int) *heartbeatSender {
	c := f.cores[i%5]
	n, _ := f.w.Net(fmt.Sprintf("10.0.7.%d:1", i+1))
	ec := daemon.Context{Context: f.ctx, Name: "beater", Log: f.log, Net: n}
	b := &heartbeatSender{f: f, client: coreclient.NewClient(ec, wire.NewCaller(n), []string{c.addr}), runner: routing.Runner{
		ID: fmt.Sprintf("life%02d", i), Service: "s", Address: fmt.Sprintf("10.0.8.%d:1", i+1), Zone: c.zone, State: routing.RunnerReady, Slots: 4}}
	go runloop.Run(f.ctx, nil, 500*time.Millisecond, func(struct{}) {}, func() { b.heartbeat() })
	return b
}

// heartbeat sends one heartbeat unless the sender is muted, and reports whether it was acknowledged.
func (b *heartbeatSender) heartbeat() bool {
	b.mu.Lock()
	if b.muted {
		b.mu.Unlock()
		return false
	}
	b.runner.Sequence++
	runner := b.runner
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(b.f.ctx, 6*time.Second)
	defer cancel()
	return b.client.SendRunnerHeartbeat(ctx, runner) == nil
}

// sendState changes the runner's state and sends heartbeats until one is acknowledged.
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

// setMuted stops or resumes the heartbeats.
func (b *heartbeatSender) setMuted(muted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.muted = muted
}

// allRoutersKnow reports whether the registry of every running router has the runner in this state. An empty state means that
// the runner is absent.
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

// newRegistryFleet starts a fleet whose routers have registries, which are returned by router name.
func newRegistryFleet(t *testing.T, seed uint64, routers int) (*fleet, map[string]*registry.Registry) {
	regs := map[string]*registry.Registry{}
	f := newFleetWith(t, seed, routers, func(f *fleet) {
		f.options = func(r *routerProc) []cluster.Option {
			regs[r.name] = registry.New(nil)
			return []cluster.Option{cluster.WithRegistry(regs[r.name])}
		}
	})
	f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
	return f, regs
}

// Runners send heartbeats to any core, and every router learns of them. A runner's change to draining reaches all routers
// within 1.5 s of its acknowledgement, even if the primary crashes right then. Every router also learns when a runner stops
// sending heartbeats, resumes them or leaves. A restarted router learns all of it too, and runners that are gone are removed
// eventually.
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
		f.within(3*time.Second, "every router knows all runners", everyoneReady)
		time.Sleep(time.Duration(f.chance(8000)) * time.Millisecond)
		drain := func(b *heartbeatSender, what string, crash bool) {
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
		drain(all[0], "every router knows that the runner drains", false)
		drain(all[1], "every router knows that the runner drains, after a crash of the primary", true)
		f.within(3*time.Second, "the other runners are ready", func() bool {
			for _, b := range all[2:] {
				if !f.allRoutersKnow(regs, b.runner.ID, routing.RunnerReady) {
					return false
				}
			}
			return true
		})
		// Many changes at the same time while a router is unreachable.
		f.w.Split([]string{f.routers[8].addr}, append(f.founders, f.routers[0].addr, f.routers[1].addr))
		start := time.Now()
		var many sync.WaitGroup
		for _, b := range all[2:10] {
			many.Go(func() { b.sendState(routing.RunnerDraining) })
		}
		many.Wait()
		if took := time.Since(start); took > time.Second {
			t.Errorf("eight concurrent changes were acknowledged after %s, want at most 1s", took)
		}
		f.settle()
		for _, b := range all[:10] {
			f.within(1500*time.Millisecond, "every router knows all draining runners", func() bool { return f.allRoutersKnow(regs, b.runner.ID, routing.RunnerDraining) })
		}
		// A runner stops its heartbeats and resumes them, after the new primary has received heartbeats of all runners.
		time.Sleep(3 * time.Second)
		all[10].setMuted(true)
		time.Sleep(3 * time.Second)
		if !f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) {
			t.Error("a runner is not ready after 3 s without a heartbeat")
		}
		f.within(2500*time.Millisecond, "every router knows that the runner has timed out", func() bool { return f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerTimedOut) })
		all[10].setMuted(false)
		f.within(1500*time.Millisecond, "every router knows that the runner is back", func() bool { return f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) })
		// Leaving is final, even after a late heartbeat, and a restarted router learns of it.
		all[11].sendState(routing.RunnerGone)
		all[11].setMuted(true)
		f.within(1500*time.Millisecond, "every router knows that the runner has left", func() bool { return f.allRoutersKnow(regs, all[11].runner.ID, routing.RunnerGone) })
		all[11].runner.Sequence += 10
		all[11].setMuted(false)
		all[11].sendState(routing.RunnerReady)
		all[11].setMuted(true)
		f.crashRouter(f.routers[4])
		f.startRouter(f.routers[4])
		f.within(3*time.Second, "the restarted router knows the runners that left or drain", func() bool {
			return f.allRoutersKnow(regs, all[11].runner.ID, routing.RunnerGone) && f.allRoutersKnow(regs, all[0].runner.ID, routing.RunnerDraining)
		})
		// Runners that left or stopped are removed, the others are not.
		all[0].setMuted(true)
		time.Sleep(80 * time.Second)
		for _, b := range []*heartbeatSender{all[0], all[11]} {
			if !f.allRoutersKnow(regs, b.runner.ID, "") {
				t.Errorf("%s has not been removed", b.runner.ID)
			}
		}
		if !f.allRoutersKnow(regs, all[10].runner.ID, routing.RunnerReady) || !f.allRoutersKnow(regs, all[1].runner.ID, routing.RunnerDraining) {
			t.Error("a live runner has been removed")
		}
	})
}

// A runner dies together with the primary, so the next primary never receives a heartbeat of it. Routers drop it on the first
// full list of runners, five seconds after the next primary has started.
func TestRunnerDiesWithThePrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, regs := newRegistryFleet(t, seed, 5)
		dying, live := f.heartbeatSender(0), f.heartbeatSender(1)
		both := func() bool {
			return f.allRoutersKnow(regs, dying.runner.ID, routing.RunnerReady) && f.allRoutersKnow(regs, live.runner.ID, routing.RunnerReady)
		}
		f.within(3*time.Second, "every router knows both runners", both)
		time.Sleep(time.Duration(3000+f.chance(8000)) * time.Millisecond)
		dying.setMuted(true)
		f.crashCore(f.primary())
		took := f.within(10*time.Second, "the dead runner is not ready", func() bool {
			if !f.allRoutersKnow(regs, live.runner.ID, routing.RunnerReady) {
				t.Fatal("the live runner is not known as ready")
			}
			return f.allRoutersKnow(regs, dying.runner.ID, "") || f.allRoutersKnow(regs, dying.runner.ID, routing.RunnerTimedOut)
		})
		t.Logf("the dead runner was dropped after %s", took)
	})
}

// The primary crashes several times in a row. No router drops a live runner, even though new primaries send full lists, and a
// runner that died meanwhile is removed eventually.
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
		f.within(3*time.Second, "every router knows all runners", known)
		all[0].setMuted(true)
		for range 4 {
			f.crashCore(f.primary())
			for end := time.Now().Add(time.Duration(2000+f.chance(8000)) * time.Millisecond); time.Now().Before(end); {
				if !known() {
					t.Fatal("a live runner is not known as ready")
				}
				time.Sleep(50 * time.Millisecond)
			}
			f.settle()
		}
		f.within(80*time.Second, "the dead runner is removed", func() bool { return f.allRoutersKnow(regs, all[0].runner.ID, "") })
		if !known() {
			t.Error("a live runner is not known as ready")
		}
	})
}

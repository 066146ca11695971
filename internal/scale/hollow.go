// Package scale measures what the control plane costs at a given number of routers and runners. The cores are real
// processes. Routers and runners are hollow: they speak the real messages over loopback TCP and serve nobody.
package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/node"
	"yarrowridge/internal/registry"
	"yarrowridge/internal/routing"
	"yarrowridge/internal/wire"
)

// hollowRouter is a router's share in the fleet's control, without a clients' listener.
type hollowRouter struct {
	hub      *node.Hub
	registry *registry.Registry
	turns    atomic.Uint64 // of its quota moves

	mu    sync.Mutex
	taken map[uint64]time.Time // when it took each configuration
}

// startRouter starts a hollow router that ends with the context.
func startRouter(ctx env.Ctx, seeds []string) (*hollowRouter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &hollowRouter{registry: registry.New(nil), taken: map[uint64]time.Time{}}
	address := listener.Addr().String()
	r.hub = node.NewHub(ctx, address, address, seeds, nil, node.Document(r.take), node.Runners(r.registry))
	go wire.Serve(ctx, listener, r.hub.Serve)
	go r.hub.Run()
	return r, nil
}

// take notes when a configuration came. It is not read: one process stands for many routers.
func (r *hollowRouter) take(sequence uint64, _ []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken[sequence] = time.Now()
	return nil
}

// tookAt tells when a configuration, or the first newer one, was taken.
func (r *hollowRouter) tookAt(sequence uint64) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for taken, when := range r.taken {
		if taken >= sequence && (!ok || when.Before(at)) {
			at, ok = when, true
		}
	}
	return at, ok
}

// stateOf is what the router knows of a runner; "" where it knows none.
func (r *hollowRouter) stateOf(id string) routing.RunnerState {
	list := r.registry.List()
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= id })
	if i == len(list) || list[i].ID != id {
		return ""
	}
	return list[i].State
}

// move draws one unit of a tenant's quota, or gives one back.
func (r *hollowRouter) move(ctx context.Context, tenant string, give bool) error {
	in := core.QuotaMove{Tenant: tenant, Holder: core.Holder(r.hub.Me()), Turn: r.turns.Add(1), Units: 1, Give: give}
	return r.hub.Core.Call(ctx, "core.move", &in, &core.QuotaMoveResult{}, true)
}

// hollowFleet is the hollow part of a run.
type hollowFleet struct {
	ctx      env.Ctx
	routers  []*hollowRouter
	clients  []*core.Client // as of the cores that pass runners' heartbeats on
	operator *core.Client

	mu      sync.Mutex
	runners []routing.Runner
	longest time.Duration // between two acknowledged heartbeats of one runner
	failed  atomic.Int64  // calls that got no good answer
}

// quietLog drops everything: a hollow fleet's routers would fill the log with the same lines.
func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// zone names a zone.
func zone(i int) string { return fmt.Sprintf("zone%02d", i+1) }

// newHollowFleet starts the routers, spread over the zones.
func newHollowFleet(ctx context.Context, routers, zones int, seeds []string) (*hollowFleet, error) {
	base := env.Ctx{Context: ctx, Log: quietLog(), Net: wire.TCP{}}
	f := &hollowFleet{ctx: base}
	for i := range routers {
		own := base
		own.Name, own.Zone, own.Born = fmt.Sprintf("router%04d", i+1), zone(i%zones), rand.Uint64()
		r, err := startRouter(own, seeds)
		if err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	for range seeds {
		f.clients = append(f.clients, core.NewClient(base, wire.NewCaller(base.Net), seeds))
	}
	f.operator = core.NewClient(base, wire.NewCaller(base.Net), seeds)
	return f, nil
}

// startRunners starts runners that send heartbeats until the context ends, spread evenly over the time between two.
func (f *hollowFleet) startRunners(ctx context.Context, count, zones, models int, every time.Duration) {
	for i := range count {
		f.runners = append(f.runners, routing.Runner{ID: fmt.Sprintf("runner-%04d-a1b2c3", i+1), Service: "models",
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i%zones, i/250, i%250+1), Zone: zone(i % zones), State: routing.RunnerReady,
			Slots: 64, Phase: "serving", Models: []routing.RunnerModel{{Name: fmt.Sprintf("model-%02d", i%models), Revision: 3}}})
	}
	for i := range f.runners {
		go f.beat(ctx, i, every, every*time.Duration(i)/time.Duration(count))
	}
}

// beat sends one runner's heartbeats. One that is not acknowledged in time is followed by the next.
func (f *hollowFleet) beat(ctx context.Context, i int, every, offset time.Duration) {
	if !env.Wait(ctx, offset) {
		return
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	acknowledged := time.Now()
	for ctx.Err() == nil {
		if f.beatOnce(ctx, i) == nil {
			f.noteGap(time.Since(acknowledged))
			acknowledged = time.Now()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// beatOnce sends one heartbeat of a runner.
func (f *hollowFleet) beatOnce(ctx context.Context, i int) error {
	f.mu.Lock()
	f.runners[i].Sequence++
	runner := f.runners[i]
	f.mu.Unlock()
	one, end := context.WithTimeout(ctx, 3*time.Second)
	defer end()
	err := f.clients[i%len(f.clients)].SendRunnerHeartbeat(one, runner)
	if err != nil && ctx.Err() == nil {
		f.failed.Add(1)
	}
	return err
}

func (f *hollowFleet) noteGap(gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, gap)
}

// takeLongestGap is the longest time between two acknowledged heartbeats of one runner since it was last asked for.
func (f *hollowFleet) takeLongestGap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := f.longest
	f.longest = 0
	return longest
}

// turnState has a runner say another state and sends a heartbeat with it at once.
func (f *hollowFleet) turnState(ctx context.Context, i int, state routing.RunnerState) error {
	f.mu.Lock()
	f.runners[i].State = state
	f.mu.Unlock()
	return f.beatOnce(ctx, i)
}

// put has the operator put a configuration, whatever the current one is, and tells its sequence.
func (f *hollowFleet) put(ctx context.Context, raw []byte) (uint64, error) {
	var out core.WriteResponse
	if err := f.operator.Call(ctx, "core.write", &core.WriteRequest{AnyVersion: true, Raw: raw}, &out, true); err != nil {
		return 0, err
	}
	if out.Code != 200 {
		return 0, fmt.Errorf("scale: configuration refused with %d: %v", out.Code, out.Errors)
	}
	return out.Version, nil
}

// drawEvery has routers move quota units at a rate until the context ends: each a unit out, the next one back.
func (f *hollowFleet) drawEvery(ctx context.Context, every time.Duration, tenants int) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go f.moveOnce(ctx, i, tenants)
		}
	}
}

func (f *hollowFleet) moveOnce(ctx context.Context, i, tenants int) {
	one, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	r := f.routers[i/2%len(f.routers)]
	if r.move(one, tenant(i/2%tenants), i%2 == 1) != nil && ctx.Err() == nil {
		f.failed.Add(1)
	}
}

// holdUnits has every router hold a unit of each of the first tenants, as all do that serve them.
func (f *hollowFleet) holdUnits(ctx context.Context, tenants int) error {
	for _, r := range f.routers {
		for i := range tenants {
			if err := r.move(ctx, tenant(i), false); err != nil {
				return err
			}
		}
	}
	return nil
}

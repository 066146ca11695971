package sim_test

import (
	"context"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// The answer to a heartbeat contains the view only if the router does not know it.
func TestViewIsSentOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		o := f.operator()
		heartbeat := func(known uint64) coreapi.HeartbeatResponse {
			ctx, end := context.WithTimeout(f.ctx, 5*time.Second)
			defer end()
			var response coreapi.HeartbeatResponse
			in := coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "n", Zone: "h", Addr: o.addr, Run: 7}, ViewEpoch: known}
			if err := o.cli.Call(ctx, "core.beat", &in, &response, true); err != nil {
				t.Fatal(err)
			}
			return response
		}
		first := heartbeat(0).View
		if first.Epoch == 0 || first.Addr(first.Primary) == "" {
			t.Fatalf("a router that knows no view got view %+v", first)
		}
		if again := heartbeat(first.Epoch).View; again.Epoch != 0 || len(again.Members) != 0 {
			t.Errorf("a router got a view that it knows already: %+v", again)
		}
		if older := heartbeat(first.Epoch + 1).View; older.Epoch != first.Epoch {
			t.Errorf("a router with another view got view %+v", older)
		}
	})
}

// Routers receive a new configuration from each other. A router fetches it from the primary only if it is not relayed to
// it; a heartbeat that announces the configuration must not make all routers fetch it. The test is not parallel, because
// traffic is counted for the whole process.
func TestRelaysComeFirst(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 40)
		f.within(5*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
		time.Sleep(5 * time.Second) // every router knows the others
		o := f.operator()
		if p := o.put(1, 0, ""); p.code != 200 {
			t.Fatalf("the first write got status %d", p.code)
		}
		time.Sleep(2 * time.Second)
		before := wire.TrafficByKind()["core.layout"]
		for number := range 10 {
			if p := o.put(number+2, 0, ""); p.code != 200 {
				t.Fatalf("a write got status %d", p.code)
			}
			time.Sleep(time.Duration(100+f.chance(400)) * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if n := wire.TrafficByKind()["core.layout"].Minus(before).CallsSent.Frames; n > 4 {
			t.Errorf("%d fetches from the primary for 10 configurations at 40 routers", n)
		}
	})
}

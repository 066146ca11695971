package sim_test

import (
	"context"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// The answer to a heartbeat holds the view only where the router does not know it.
func TestViewIsToldOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		heartbeat := func(known uint64) coreapi.HeartbeatResponse {
			ctx, end := context.WithTimeout(f.ctx, 5*time.Second)
			defer end()
			var told coreapi.HeartbeatResponse
			in := coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "n", Zone: "h", Addr: o.addr, Run: 7}, ViewEpoch: known}
			if err := o.cli.Call(ctx, "core.beat", &in, &told, true); err != nil {
				t.Fatal(err)
			}
			return told
		}
		first := heartbeat(0).View
		if first.Epoch == 0 || first.Addr(first.Primary) == "" {
			t.Fatalf("a router that knows no view was told %+v", first)
		}
		if again := heartbeat(first.Epoch).View; again.Epoch != 0 || len(again.Members) != 0 {
			t.Errorf("a view that was known was told again: %+v", again)
		}
		if older := heartbeat(first.Epoch + 1).View; older.Epoch != first.Epoch {
			t.Errorf("a router with another view was told %+v", older)
		}
	})
}

// A new configuration reaches routers by relays. They do not all fetch it from the primary as well, as soon as a heartbeat
// has told them of it; one that relays do not reach fetches it. It runs beside no other test: traffic is counted over
// the whole process.
func TestRelaysComeFirst(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 40)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		time.Sleep(5 * time.Second) // every router knows the others
		o := f.operator()
		if p := o.put(1, 0, ""); p.code != 200 {
			t.Fatalf("the first write was answered %d", p.code)
		}
		time.Sleep(2 * time.Second)
		before := wire.TrafficByKind()["core.layout"]
		for mark := range 10 {
			if p := o.put(mark+2, 0, ""); p.code != 200 {
				t.Fatalf("a write was answered %d", p.code)
			}
			time.Sleep(time.Duration(100+f.chance(400)) * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if n := wire.TrafficByKind()["core.layout"].Minus(before).CallsSent.Frames; n > 4 {
			t.Errorf("%d fetches from the primary for 10 configurations at 40 routers", n)
		}
	})
}

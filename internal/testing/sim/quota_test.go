package sim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// A heartbeat of a run that has ended, which comes after the next run at its address has drawn units, sets nothing of
// them cooling: the living run spends them, and nobody else may have them.
func TestLateHeartbeatOfAnEndedRun(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, _ := newDocumentFleet(t, seed, 3)
		o := f.operator()
		if err := o.cli.Call(f.ctx, "core.write", &coreapi.WriteRequest{AnyVersion: true, Raw: []byte("5\na 10")}, &coreapi.WriteResponse{}, true); err != nil {
			t.Fatal(err)
		}
		f.within(2*time.Second, "every router is there", f.everyRouterAt(5))
		r := f.routers[0]
		late := coreapi.HeartbeatRequest{Node: r.hub.Self(), AgeMs: 60_000}
		f.crashRouter(r)
		time.Sleep(time.Second)
		f.startRouter(r)
		f.within(5*time.Second, "the new run is there", f.everyRouterAt(5))

		draw := func(holder string, turn uint64) int {
			var moved coreapi.QuotaTransferResult
			if err := o.cli.Call(f.ctx, "core.move", &coreapi.QuotaTransfer{Tenant: "a", Holder: holder, Sequence: turn, Units: 25}, &moved, true); err != nil {
				t.Fatal(err)
			}
			return moved.Held
		}
		living := coreapi.Holder(r.hub.Self())
		held := 0
		for turn := range uint64(30) {
			held = draw(living, turn+1)
		}
		if held != 10 {
			t.Fatalf("the living run holds %d of 10 units", held)
		}
		err := o.cli.Call(f.ctx, "core.beat", &late, &coreapi.HeartbeatResponse{}, true)
		if !wire.HasCode(err, coreapi.CodeRunEnded) {
			t.Errorf("the late beat was answered with %v", err)
		}
		time.Sleep(5 * time.Second)
		if other := draw("other", 1); other > 0 {
			t.Errorf("another holder got %d units that a living run holds", other)
		}
	})
}

// A router is cut off from a runner while a request is on its way. The client leaves, the router gives the request up, and
// its unit is free again after the window. The runner gets the request after the cut all the same, beside as many as the
// quota allows by then.
func TestQuotaOfRequestsHeldBackByACut(t *testing.T) {
	t.Parallel()
	const units, window = 3, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		metered := fmt.Sprintf(`,"metered":{"funded":true,"keys":["%s"],"quota":{"units":%d,"window_s":%d}}`, key("metered"), units, int(window.Seconds()))
		w := newWhole(t, 1, 1, plainLay(metered), model(64, 10*time.Millisecond))
		number := uint64(0)
		send := func(ctx context.Context) got {
			number++
			return w.send(ctx, w.full[0], ask{n: number, tenant: "metered", path: "/ask", body: prompt(5)})
		}
		time.Sleep(time.Second) // until the router has acquired units
		if first := send(w.ctx); first.status != 200 {
			t.Fatalf("got %d %s before the cut, want 200", first.status, first.code)
		}
		w.w.Cut(w.full[0].addr, w.runners[0].addr)
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		send(ctx)
		cancel()
		time.Sleep(window + window/2)
		w.w.Heal()
		for range units {
			if response := send(w.ctx); response.status != 200 {
				t.Errorf("got %d %s after the cut, want 200", response.status, response.code)
			}
		}
		time.Sleep(time.Second)
		if got := w.rolling("metered", window); got > units {
			t.Errorf("got %d requests in a window, want at most %d", got, units)
		}
	})
}

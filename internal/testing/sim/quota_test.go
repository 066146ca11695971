package sim_test

import (
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// A beat of a run that has ended, which comes after the next run at its address has drawn units, sets nothing of
// them cooling: the living run spends them, and nobody else may have them.
func TestLateBeatOfAnEndedRun(t *testing.T) {
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

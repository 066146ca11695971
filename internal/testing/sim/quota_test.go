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

// replacedRun is a fleet in which a router has restarted, and its current run holds all units of a tenant's quota.
type replacedRun struct {
	*fleet
	t        *testing.T
	operator *operator
	router   *routerProc
	late     coreapi.HeartbeatRequest // heartbeat of the ended run that arrives late
}

func newReplacedRun(t *testing.T, seed uint64) *replacedRun {
	const units = 10
	f, _ := newDocumentFleet(t, seed, 3)
	r := &replacedRun{fleet: f, t: t, operator: f.operator(), router: f.routers[0]}
	write := &coreapi.WriteRequest{AnyVersion: true, Raw: fmt.Appendf(nil, "5\na %d", units)}
	if err := r.operator.cli.Call(f.ctx, "core.write", write, &coreapi.WriteResponse{}, true); err != nil {
		t.Fatal(err)
	}
	f.within(2*time.Second, "every router has the configuration", f.everyRouterAt(5))
	r.late = coreapi.HeartbeatRequest{Node: r.router.member.Self(), AgeMs: 60_000}
	f.crashRouter(r.router)
	time.Sleep(time.Second)
	f.startRouter(r.router)
	f.within(5*time.Second, "the new run of the router has the configuration", f.everyRouterAt(5))

	current := coreapi.Holder(r.router.member.Self())
	held := 0
	for sequence := range uint64(30) {
		held = r.acquire(current, sequence+1)
	}
	if held != units {
		t.Fatalf("got %d units held by the current run, want all %d", held, units)
	}
	return r
}

// acquire requests units for a holder and returns how many it holds then.
func (r *replacedRun) acquire(holder string, sequence uint64) int {
	r.t.Helper()
	var result coreapi.QuotaTransferResult
	transfer := &coreapi.QuotaTransfer{Tenant: "a", Holder: holder, Sequence: sequence, Units: 25}
	if err := r.operator.cli.Call(r.ctx, "core.move", transfer, &result, true); err != nil {
		r.t.Fatal(err)
	}
	return result.HeldUnits
}

// sendLateHeartbeat sends the heartbeat of the ended run.
func (r *replacedRun) sendLateHeartbeat() error {
	return r.operator.cli.Call(r.ctx, "core.beat", &r.late, &coreapi.HeartbeatResponse{}, true)
}

// wantNothingFree waits for longer than units cool down, and fails the test if another holder gets units then that the
// current run holds.
func (r *replacedRun) wantNothingFree() {
	r.t.Helper()
	time.Sleep(5 * time.Second)
	if units := r.acquire("other", 1); units > 0 {
		r.t.Errorf("got %d units for another holder, want none of those that the current run holds", units)
	}
}

// A heartbeat of an ended run arrives after the next run at its address has acquired units. It must not start their cool-down:
// the current run still spends them, so no other holder may get them.
func TestLateHeartbeatOfAnEndedRun(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		r := newReplacedRun(t, seed)
		if err := r.sendLateHeartbeat(); !wire.HasCode(err, coreapi.CodeRunEnded) {
			t.Errorf("got error %v for the late heartbeat, want %s", err, coreapi.CodeRunEnded)
		}
		r.wantNothingFree()
	})
}

// A late heartbeat of an ended run must not release the units of the next run at its address, even if that run is partitioned
// from the cores and still spends them. A new primary has never received a heartbeat of that run.
func TestLateHeartbeatWhileTheLivingRunIsCutOff(t *testing.T) {
	for _, primaryChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("new primary %t", primaryChanges), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				r := newReplacedRun(t, seed)
				for _, core := range r.cores {
					r.w.Cut(core.addr, r.router.addr)
					r.w.Cut(r.router.addr, core.addr)
				}
				if primaryChanges {
					r.crashCore(r.primary())
					r.within(5*time.Second, "another core is primary", func() bool { return r.primary() != nil })
				}
				_ = r.sendLateHeartbeat() // may be accepted or rejected
				r.wantNothingFree()
			})
		})
	}
}

// A router is partitioned from a runner while a request is in flight. The client disconnects, the router cancels the request,
// and its unit is free again after the window. Once the partition ends, the runner still receives the delayed request, in
// addition to as many new ones as the quota allows by then.
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
			t.Fatalf("got %d %s before the partition, want 200", first.status, first.code)
		}
		w.w.Cut(w.full[0].addr, w.runners[0].addr)
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		send(ctx)
		cancel()
		time.Sleep(window + window/2)
		w.w.Heal()
		for range units {
			if response := send(w.ctx); response.status != 200 {
				t.Errorf("got %d %s after the partition, want 200", response.status, response.code)
			}
		}
		time.Sleep(time.Second)
		if got := w.rolling("metered", window); got > units {
			t.Errorf("got %d requests in a window, want at most %d", got, units)
		}
	})
}

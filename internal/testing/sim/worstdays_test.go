package sim_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// The primary is partitioned from the other cores for 20 s, in one or both directions, while all other processes reach it. Once
// its lease has expired it rejects reads, writes, heartbeats, runners that leave, quota transfers and claims. The other cores
// continue without it.
func TestPrimaryCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"both", "hears nobody", "heard by nobody"} {
		t.Run(way, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 2)
				f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
				o, h := f.operator(), &history{}
				h.add(o.put(1, 0, "first"))
				old := f.primary()
				for _, c := range f.cores {
					if c != old && way != "hears nobody" {
						f.w.Cut(old.addr, c.addr)
					}
					if c != old && way != "heard by nobody" {
						f.w.Cut(c.addr, old.addr)
					}
				}
				start := time.Now()
				direct := newDirectCaller(f)
				for time.Since(start) < 20*time.Second {
					h.add(o.put(len(h.writes)+1, 0, fmt.Sprint("order-", len(h.writes))))
					o.read(h)
					if time.Since(start) > 2*time.Second { // its lease has expired, by its own clock and by those of all voters
						direct.expectRejections(t, old.addr, len(h.writes))
					}
					time.Sleep(200 * time.Millisecond)
				}
				acknowledged := 0
				for _, p := range h.writes {
					if p.code == 200 {
						acknowledged++
					}
				}
				if acknowledged < len(h.writes)*8/10 {
					t.Errorf("%d of %d writes were acknowledged by the other cores, want at least 80%%", acknowledged, len(h.writes))
				}
				f.settle()
				f.check(h)
			})
		})
	}
}

// directCaller calls a given core, whether it is the primary or not.
type directCaller struct {
	ctx    context.Context
	caller *wire.Caller
}

func newDirectCaller(f *fleet) *directCaller {
	network, _ := f.w.Net(fmt.Sprintf("10.0.9.%d:1", lastID.Add(1)))
	return &directCaller{f.ctx, wire.NewCaller(network)}
}

// expectRejections makes each kind of call that only a primary may answer, and expects a rejection.
func (d *directCaller) expectRejections(t *testing.T, addr string, number int) {
	t.Helper()
	runner := routing.Runner{ID: "i-1", Service: "s", Address: "10.9.0.1:80", State: routing.RunnerGone, Sequence: 9}
	for kind, request := range map[string]msgp.Marshaler{
		"core.layout": &coreapi.ConfigRequest{},
		"core.write":  &coreapi.WriteRequest{ID: fmt.Sprint("near-", number), AnyVersion: true, Raw: numberedConfig(100000 + number)},
		"core.beat":   &coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "r99", Addr: "10.0.1.99:1", Run: 1}},
		"core.runner": &coreapi.RunnerHeartbeat{Runner: runner},
		"core.move":   &coreapi.QuotaTransfer{},
		"core.take":   &coreapi.ClaimRequest{Key: fmt.Sprint("t/", number), Claim: coreapi.Claim{Claimant: "c"}},
	} {
		ctx, cancel := context.WithTimeout(d.ctx, 900*time.Millisecond)
		err := d.caller.Call(ctx, addr, kind, request, nil)
		cancel()
		if !wire.HasCode(err, coreapi.CodeNotReady) && !wire.HasCode(err, coreapi.CodeNotPrimary) {
			t.Errorf("%s returned %v, want a rejection as not ready or not primary", kind, err)
		}
	}
}

// The acknowledgement of a write is lost, and then its primary. The write is repeated to the current primary, also after many
// other writes and after a restart of all processes, and acknowledged with the same version each time. A different write on the
// same base version is rejected.
func TestRepeatedWriteIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, h := f.operator(), &history{}
		base := o.put(1, 0, "first")
		h.add(base)
		acknowledged := o.write(&coreapi.WriteRequest{ID: "order", BaseVersion: base.version, Raw: numberedConfig(2)})
		h.add(acknowledged)
		if acknowledged.code != 200 {
			t.Fatalf("the write was answered with code %d", acknowledged.code)
		}
		repeat := func(when string) {
			t.Helper()
			repeated := f.operator().write(&coreapi.WriteRequest{ID: "order", BaseVersion: base.version, Raw: numberedConfig(2)})
			if repeated.code != 200 || repeated.version != acknowledged.version {
				t.Errorf("%s the repeated write was answered with code %d at version %d, want 200 at version %d", when, repeated.code, repeated.version, acknowledged.version)
			}
			if rival := f.operator().write(&coreapi.WriteRequest{ID: "rival", BaseVersion: base.version, Raw: numberedConfig(3)}); rival.code != 412 {
				t.Errorf("%s another write on the same base version was answered with code %d, want 412", when, rival.code)
			}
		}
		repeat("Immediately")
		lost := f.primary()
		f.loseDisk(lost)
		f.within(6*time.Second, "another core is primary", func() bool { return f.primary() != nil })
		f.startCore(lost)
		repeat("After the loss of its primary")
		for i := range 300 {
			h.add(o.put(10+i, 0, ""))
		}
		repeat("After 300 writes")
		for _, c := range f.cores {
			f.crashCore(c)
		}
		f.settle()
		repeat("After a restart of all processes")
		f.check(h)
	})
}

// A member crashes while it compacts its files, misses 500 writes and restarts. Then the primary's disk is lost. Every later
// primary has the newest configuration, also the restarted member, which has caught up.
func TestMemberAwayForManyChanges(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"backup", "primary"} {
		t.Run(role, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 3, 1)
				o, h := f.operator(), &history{}
				for i := range 70 { // enough to compact its files once
					h.add(o.put(1+i, 0, ""))
				}
				restarted := f.primary()
				if role == "backup" {
					restarted = f.coreByID(restarted.srv.View().Backups()[0])
				}
				restarted.disk.FailRemovals(true) // file removals fail from now on, so that the crash leaves a partial compaction
				for i := range 70 {
					h.add(o.put(100+i, 0, ""))
				}
				f.crashCore(restarted)
				restarted.disk.FailRemovals(false)
				f.within(6*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
				var newest writeRecord
				for i := range 500 {
					newest = o.put(1000+i, 0, "")
					h.add(newest)
				}
				f.startCore(restarted)
				f.within(5*time.Second, "all cores are members again", func() bool { return f.hasAllMembers(1) })
				primary := f.primary()
				f.loseDisk(primary)
				f.startCore(primary)
				f.expectReadBack(h, newest)
				f.within(8*time.Second, "all cores are members", func() bool { return f.hasAllMembers(1) })
				f.makePrimary(restarted)
				f.expectReadBack(h, newest)
				f.check(h)
			})
		})
	}
}

// makePrimary makes a member the primary: it crashes other backups until the member is the backup, and has the primary step
// down then.
func (f *fleet) makePrimary(next *coreProc) {
	f.t.Helper()
	for range 12 {
		f.within(8*time.Second, "all cores are members", func() bool { return f.hasAllMembers(1) })
		primary := f.primary()
		backup := f.coreByID(primary.srv.View().Backups()[0])
		switch {
		case primary == next:
			return
		case backup == next:
			primary.srv.StepDown()
			f.within(4*time.Second, "another core is primary", func() bool { return f.primary() != nil })
		default:
			f.crashCore(backup)
			f.within(4*time.Second, "another core is backup", func() bool {
				p := f.primary()
				return p != nil && f.findCore(p.srv.View().Backups()[0]) != nil
			})
			f.startCore(backup)
		}
	}
	f.t.Errorf("%s did not become primary", next.addr)
}

// findCore returns the running core with an ID, or nil.
func (f *fleet) findCore(id string) *coreProc {
	for _, c := range f.cores {
		if c.up && c.srv.State().ID == id {
			return c
		}
	}
	return nil
}

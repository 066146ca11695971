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

// The primary is cut off from the other cores for 20 s, one way or both, while all others reach it: from the end of its lease on
// it answers no read, takes no change, no heartbeat and no leaving, and deals no quota units. The rest goes on without it.
func TestPrimaryCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"both", "hears nobody", "heard by nobody"} {
		t.Run(way, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newFleet(t, seed, 2)
				f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
				o, b := f.operator(), &history{}
				b.add(o.put(1, 0, "first"))
				old := f.primary()
				for _, c := range f.cores {
					if c != old && way != "hears nobody" {
						f.w.Cut(old.addr, c.addr)
					}
					if c != old && way != "heard by nobody" {
						f.w.Cut(c.addr, old.addr)
					}
				}
				begun := time.Now()
				near := newDirectCaller(f)
				for time.Since(begun) < 20*time.Second {
					b.add(o.put(len(b.writes)+1, 0, fmt.Sprint("order-", len(b.writes))))
					o.read(b)
					if time.Since(begun) > 2*time.Second { // its lease is over, at its own clock and at all voters
						near.expectRefusals(t, old.addr, len(b.writes))
					}
					time.Sleep(200 * time.Millisecond)
				}
				acknowledged := 0
				for _, p := range b.writes {
					if p.code == 200 {
						acknowledged++
					}
				}
				if acknowledged < len(b.writes)*8/10 {
					t.Errorf("%d of %d changes were acknowledged by the rest of the core", acknowledged, len(b.writes))
				}
				f.settle()
				f.check(b)
			})
		})
	}
}

// directCaller calls one core, whether it is the primary or not.
type directCaller struct {
	ctx    context.Context
	caller *wire.Caller
}

func newDirectCaller(f *fleet) *directCaller {
	network, _ := f.w.Net(fmt.Sprintf("10.0.9.%d:1", lastID.Add(1)))
	return &directCaller{f.ctx, wire.NewCaller(network)}
}

// expectRefusals makes each kind of call that only a primary may answer.
func (d *directCaller) expectRefusals(t *testing.T, addr string, number int) {
	t.Helper()
	runner := routing.Runner{ID: "i-1", Service: "s", Address: "10.9.0.1:80", State: routing.RunnerGone, Sequence: 9}
	for kind, request := range map[string]msgp.Marshaler{
		"core.layout": &coreapi.ConfigRequest{},
		"core.write":  &coreapi.WriteRequest{ID: fmt.Sprint("near-", number), AnyVersion: true, Raw: testConfig(100000 + number)},
		"core.beat":   &coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "r99", Addr: "10.0.1.99:1", Run: 1}},
		"core.runner": &coreapi.RunnerHeartbeat{Runner: runner},
		"core.move":   &coreapi.QuotaTransfer{},
		"core.take":   &coreapi.ClaimRequest{Key: fmt.Sprint("t/", number), Claim: coreapi.Claim{Claimant: "c"}},
	} {
		ctx, cancel := context.WithTimeout(d.ctx, 900*time.Millisecond)
		err := d.caller.Call(ctx, addr, kind, request, nil)
		cancel()
		if !wire.HasCode(err, coreapi.CodeNotReady) && !wire.HasCode(err, coreapi.CodeNotPrimary) {
			t.Errorf("%s was answered %v", kind, err)
		}
	}
}

// The acknowledgement of a change is lost, and its primary with it: sent again to whoever leads now, after many other changes
// too, and after all processes were killed, it is acknowledged under the same number. Another change for the base loses.
func TestRepeatedWriteIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, b := f.operator(), &history{}
		base := o.put(1, 0, "first")
		b.add(base)
		taken := o.write(&coreapi.WriteRequest{ID: "order", BaseVersion: base.version, Raw: testConfig(2)})
		b.add(taken)
		if taken.code != 200 {
			t.Fatalf("the order was answered %d", taken.code)
		}
		again := func(when string) {
			t.Helper()
			repeat := f.operator().write(&coreapi.WriteRequest{ID: "order", BaseVersion: base.version, Raw: testConfig(2)})
			if repeat.code != 200 || repeat.version != taken.version {
				t.Errorf("%s the order was answered %d at %d, first it was %d", when, repeat.code, repeat.version, taken.version)
			}
			if rival := f.operator().write(&coreapi.WriteRequest{ID: "rival", BaseVersion: base.version, Raw: testConfig(3)}); rival.code != 412 {
				t.Errorf("%s a rival on the same base was answered %d", when, rival.code)
			}
		}
		again("At once")
		lost := f.primary()
		f.loseDisk(lost)
		f.within(6*time.Second, "another primary", func() bool { return f.primary() != nil })
		f.startCore(lost)
		again("After the loss of its primary")
		for i := range 300 {
			b.add(o.put(10+i, 0, ""))
		}
		again("After 300 changes")
		for _, c := range f.cores {
			f.crashCore(c)
		}
		f.settle()
		again("After the loss of all processes")
		f.check(b)
	})
}

// A member is away for 500 changes, dies in the middle of folding its files when it is back, and then the primary's disk is lost.
// Whoever leads has the newest configuration, and the member that was away catches up.
func TestMemberAwayForManyChanges(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"backup", "primary"} {
		t.Run(role, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 3, 1)
				o, b := f.operator(), &history{}
				for i := range 70 { // so that it has folded once
					b.add(o.put(1+i, 0, ""))
				}
				away := f.primary()
				if role == "backup" {
					away = f.coreByID(away.srv.View().Backups()[0])
				}
				away.disk.Keep(true) // nothing is removed any more: its files are half folded when it dies
				for i := range 70 {
					b.add(o.put(100+i, 0, ""))
				}
				f.crashCore(away)
				away.disk.Keep(false)
				f.within(6*time.Second, "a primary", func() bool { return f.primary() != nil })
				var newest writeRecord
				for i := range 500 {
					newest = o.put(1000+i, 0, "")
					b.add(newest)
				}
				f.startCore(away)
				f.within(5*time.Second, "it is a member again", func() bool { return f.hasAllMembers(1) })
				primary := f.primary()
				f.loseDisk(primary)
				f.startCore(primary)
				f.expectReadBack(b, newest)
				f.within(8*time.Second, "all cores are members", func() bool { return f.hasAllMembers(1) })
				f.makePrimary(away)
				f.expectReadBack(b, newest)
				f.check(b)
			})
		})
	}
}

// makePrimary has a member lead: backups are killed until it is one, then the primary stops as planned.
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
			f.within(4*time.Second, "another primary", func() bool { return f.primary() != nil })
		default:
			f.crashCore(backup)
			f.within(4*time.Second, "another backup", func() bool {
				p := f.primary()
				return p != nil && f.findCore(p.srv.View().Backups()[0]) != nil
			})
			f.startCore(backup)
		}
	}
	f.t.Errorf("%s does not get to lead", next.addr)
}

// findCore is the running core with an identity, or nil.
func (f *fleet) findCore(id string) *coreProc {
	for _, c := range f.cores {
		if c.up && c.srv.State().ID == id {
			return c
		}
	}
	return nil
}

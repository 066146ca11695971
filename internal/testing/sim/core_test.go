package sim_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/testing/sim"
)

// Faults of every kind, at random, under operators who race: no acknowledged configuration is lost, no
// rejected one is ever obeyed, no router goes back, and service returns in time.
func TestCoreUnderRandomFaults(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 6)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		b := &history{}
		stop := time.Now().Add(60 * time.Second)
		for i := range 3 {
			o := f.operator()
			go func() {
				for n := 1; time.Now().Before(stop); n++ {
					mark := i*1000 + n
					id := ""
					if n%2 == 0 {
						id = fmt.Sprintf("w-%d", mark)
					}
					b.add(o.put(mark, 0, id))
					time.Sleep(time.Duration(30+f.chance(200)) * time.Millisecond)
				}
			}()
		}
		for range 4 {
			o := f.operator()
			go func() {
				for time.Now().Before(stop) {
					o.read(b)
					time.Sleep(time.Duration(5+f.chance(30)) * time.Millisecond)
				}
			}()
		}
		for time.Now().Before(stop) {
			f.fault()
			time.Sleep(time.Duration(200+f.chance(2500)) * time.Millisecond)
		}
		f.settle()
		time.Sleep(7 * time.Second) // operators' last calls end
		f.settle()
		o := f.operator()
		p := o.put(99999, 0, "last")
		if p.code != 200 {
			t.Fatalf("a calm fleet answered %d", p.code)
		}
		b.add(p)
		f.within(2*time.Second, "every router obeys the acknowledged layout", func() bool {
			for _, r := range f.routers {
				if lay := r.member.Config(); lay == nil || lay.Version < p.version {
					return false
				}
			}
			return true
		})
		time.Sleep(100 * time.Millisecond)
		f.check(b)
		ok := 0
		for _, q := range b.writes {
			if q.code == 200 {
				ok++
			}
		}
		t.Logf("%d writes, %d acknowledged", len(b.writes), ok)
		if ok < 20 {
			t.Errorf("only %d of %d writes were acknowledged", ok, len(b.writes))
		}
	})
}

// fault brings about one fault, or heals what stands.
func (f *fleet) fault() {
	c := f.cores[f.chance(len(f.cores))]
	if p := f.primary(); p != nil && f.chance(2) == 0 {
		c = p
	}
	var rest []string
	for _, o := range f.cores {
		if o != c {
			rest = append(rest, o.addr)
		}
	}
	for _, r := range f.routers {
		rest = append(rest, r.addr)
	}
	rest = append(rest, f.extraAddrs...)
	switch f.chance(11) {
	case 0, 1:
		f.crashCore(c)
	case 2: // everything of the core at once
		for _, o := range f.cores {
			f.crashCore(o)
		}
		time.Sleep(time.Duration(f.chance(500)) * time.Millisecond)
		f.settle()
	case 3:
		f.w.Split([]string{c.addr}, rest)
	case 4: // one way only
		for _, a := range rest {
			if f.chance(2) == 0 {
				f.w.Cut(c.addr, a)
			} else {
				f.w.Cut(a, c.addr)
			}
		}
	case 5: // the core in two parts
		cut := 1 + f.chance(4)
		var a, b []string
		for i, k := range f.perm() {
			if i < cut {
				a = append(a, f.cores[k].addr)
			} else {
				b = append(b, f.cores[k].addr)
			}
		}
		f.w.Split(a, b)
	case 6:
		c.disk.Stall()
	case 7:
		c.disk.Slow(time.Duration(f.chance(800)) * time.Millisecond)
	case 8:
		c.disk.Full(true)
	case 9:
		if len(f.routers) > 0 {
			r := f.routers[f.chance(len(f.routers))]
			f.crashRouter(r)
			f.startRouter(r)
		}
	case 10:
		f.settle()
	}
	if f.chance(3) == 0 {
		f.settle()
	}
}

// A core's disk is lost, again and again: a blank core at a new address gets the seat, unattended,
// until all five machines have been swapped, while routers know the old seeds only.
func TestEveryCoreIsReplaced(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 4)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		b := &history{}
		o := f.operator()
		for i, k := range f.perm() {
			p := o.put(i+1, 0, "")
			if p.code != 200 {
				t.Fatalf("write %d answered %d", i, p.code)
			}
			b.add(p)
			old := f.cores[k]
			f.crashCore(old)
			next := &coreProc{addr: fmt.Sprintf("10.0.2.%d:1", i+1), zone: old.zone, disk: sim.NewDisk()}
			f.cores[k] = next
			f.startCore(next)
			took := f.within(2*f.lostAfter, "the blank core has the lost one's seat", func() bool {
				p := f.primary()
				if p == nil {
					return false
				}
				v := p.srv.State().View
				has := false
				for _, m := range v.Members {
					has = has || m.Addr == next.addr
					if m.Addr == old.addr {
						return false
					}
				}
				return has && len(v.Members) == 5
			})
			t.Logf("seat taken over after %s, lost after %s", took, f.lostAfter)
		}
		p := o.put(77, 0, "")
		b.add(p)
		if p.code != 200 {
			t.Fatalf("after the swap a write was answered %d", p.code)
		}
		f.within(2*time.Second, "routers follow to the new machines", func() bool {
			for _, r := range f.routers {
				if lay := r.member.Config(); lay == nil || lay.Version != p.version || r.member.CoreTimedOut() {
					return false
				}
			}
			return true
		})
		// Every router starts again with seeds that name machines long gone; then every process does.
		ready := func() bool {
			for _, r := range f.routers {
				if lay := r.member.Config(); lay == nil || lay.Version < p.version || r.member.NotReadyReason() != "" {
					return false
				}
			}
			return true
		}
		for _, cores := range []bool{false, true} {
			for _, r := range f.routers {
				f.crashRouter(r)
			}
			for _, c := range f.cores {
				if cores {
					f.crashCore(c)
				}
			}
			for _, r := range f.routers {
				f.startRouter(r)
			}
			for _, c := range f.cores {
				if cores {
					f.startCore(c)
				}
			}
			f.within(12*time.Second, fmt.Sprintf("routers find the new machines, cores killed too: %v", cores), ready)
		}
		f.check(b)
	})
}

// The primary's machine, disk and all, is gone right after an acknowledgement: nothing is lost,
// and service is back in time. Primary and backup never stand in one zone where they need not.
func TestPrimaryLost(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 4)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		b := &history{}
		o := f.operator()
		for i := range 3 {
			p := o.put(i+1, 0, "")
			if p.code != 200 {
				t.Fatalf("write answered %d", p.code)
			}
			b.add(p)
			lost := f.primary()
			if v := lost.srv.State().View; v.ZoneOf(v.Primary) == v.ZoneOf(v.FirstBackup) {
				t.Errorf("primary and backup both stand in zone %s", v.ZoneOf(v.Primary))
			}
			f.crashCore(lost)
			lost.disk = sim.NewDisk()
			took := f.within(6*time.Second, "another primary", func() bool { return f.primary() != nil })
			f.startCore(lost) // blank, at the old address
			if i == 0 {
				t.Logf("takeover took %s", took)
			}
			f.within(2*time.Second, "every router obeys the acknowledged layout", func() bool {
				for _, r := range f.routers {
					if lay := r.member.Config(); lay == nil || lay.Version < p.version {
						return false
					}
				}
				return true
			})
			f.within(15*time.Second, "five members again", func() bool {
				p := f.primary()
				return p != nil && len(p.srv.State().View.Members) == 5 && p.srv.State().View.Addr(lost.srv.State().ID) != ""
			})
		}
		f.check(b)
	})
}

// A primary cut off from the other cores, but not from its readers, answers nothing once its
// lease is over: whoever reaches it must not read what another primary has replaced.
func TestStalePrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		b := &history{}
		near, far := f.operator(), f.operator()
		b.add(near.put(1, 0, ""))
		near.read(b)
		old := f.primary()
		var rest []string
		for _, c := range f.cores {
			if c != old {
				rest = append(rest, c.addr)
			}
		}
		f.w.Split([]string{old.addr}, append(rest, far.addr, f.routers[0].addr, f.routers[1].addr))
		for range 60 {
			b.add(far.put(len(b.writes)+1, 0, ""))
			near.read(b)
			time.Sleep(50 * time.Millisecond)
		}
		if n := len(b.reads); n < 2 {
			t.Errorf("%d reads answered, at least those before the cut expected", n)
		}
		f.settle()
		f.check(b)
		if b.writes[len(b.writes)-1].code != 200 {
			t.Error("the rest of the core did not take a write")
		}
	})
}

// A primary that reaches its backup but no majority must let the backup go on: the backup can
// reach the others, and the fleet must not wait for the primary's links.
func TestBackupTakesOverFromPrimaryWithoutMajority(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		b := &history{}
		b.add(o.put(1, 0, ""))
		old := f.primary()
		v := old.srv.State().View
		var rest []string
		for _, c := range f.cores {
			if c != old && c.addr != v.Addr(v.FirstBackup) {
				rest = append(rest, c.addr)
			}
		}
		f.w.Split([]string{old.addr}, rest)
		time.Sleep(100 * time.Millisecond)
		took := f.within(12*time.Second, "the backup leads", func() bool {
			p := f.primary()
			return p != nil && p != old
		})
		t.Logf("took %s", took)
		f.within(3*time.Second, "a write", func() bool {
			p := o.put(2+len(b.writes), 0, "")
			b.add(p)
			return p.code == 200
		})
		f.settle()
		f.check(b)
	})
}

// A claim let go before its own taking has arrived (the taking was long under way) must not stand
// afterwards: nobody would ever end it, and the key could not be used again.
func TestClaimArrivesAfterItsRelease(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		call := func(kind string, in msgp.Marshaler, out msgp.Unmarshaler) {
			ctx, end := context.WithTimeout(f.ctx, 5*time.Second)
			defer end()
			if err := o.cli.Call(ctx, kind, in, out, true); err != nil {
				t.Fatalf("%s: %v", kind, err)
			}
		}
		claim := func(id string) coreapi.Claim {
			return coreapi.Claim{RequestHash: "s", Claimant: id, Node: "r00", NodeRun: 1}
		}
		call("core.settle", &coreapi.CompleteClaimRequest{Key: "t/k", Release: true, Claim: claim("late")}, nil)
		var late, next, third coreapi.ClaimResponse
		call("core.take", &coreapi.ClaimRequest{Key: "t/k", Claim: claim("late")}, &late)
		if late.Granted {
			t.Error("a claim that had been let go was granted")
		}
		call("core.take", &coreapi.ClaimRequest{Key: "t/k", Claim: claim("next")}, &next)
		if !next.Granted {
			t.Errorf("the key could not be used again: %+v", next)
		}
		call("core.take", &coreapi.ClaimRequest{Key: "t/k", Claim: claim("third")}, &third)
		if third.Granted {
			t.Error("a standing claim was granted to another")
		}
	})
}

// A once-only key is known with its outcome for as long as documented, over a hand-over, and that it
// ran for far longer; then, and when its query was let go unsent, it may be taken anew.
func TestIdempotencyKeyRetention(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		if p := o.putRaw([]byte(`{"limits":{"claim_keep_s":60,"ran_keep_s":1500}}`), ""); p.code != 200 {
			t.Fatal(p.code)
		}
		call := func(kind string, in msgp.Marshaler, out msgp.Unmarshaler) {
			ctx, end := context.WithTimeout(f.ctx, 5*time.Second)
			defer end()
			if err := o.cli.Call(ctx, kind, in, out, true); err != nil {
				t.Fatal(err)
			}
		}
		id := 0
		take := func(key string) (out coreapi.ClaimResponse, c coreapi.Claim) {
			id++
			c = coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(id), Node: "n", NodeRun: 1}
			call("core.take", &coreapi.ClaimRequest{Key: key, Claim: c}, &out)
			return out, c
		}
		expect := func(key, when string, got, ran bool) {
			t.Helper()
			if out, _ := take(key); out.Granted != got || out.AlreadyRan != ran {
				t.Errorf("%s %s: granted %v, ran %v", key, when, out.Granted, out.AlreadyRan)
			}
		}
		expect("t/k", "at first", true, false)
		_, c := take("t/done")
		c.State, c.Status, c.HasResponse = coreapi.ClaimDone, 200, true
		call("core.settle", &coreapi.CompleteClaimRequest{Key: "t/done", Claim: c}, nil)
		_, c = take("t/free")
		call("core.settle", &coreapi.CompleteClaimRequest{Key: "t/free", Release: true, Claim: c}, nil)
		time.Sleep(50 * time.Second)
		expect("t/k", "within the span", false, false)
		f.crashCore(f.primary())
		f.within(6*time.Second, "another primary", func() bool { return f.primary() != nil })
		time.Sleep(40 * time.Second)
		expect("t/k", "after a hand-over", false, false)
		time.Sleep(45 * time.Second)
		for _, k := range []string{"t/k", "t/done"} {
			expect(k, "after the span", false, true)
		}
		expect("t/free", "let go unsent", true, false)
		// Many more keys come and end, so that parts merge, and the primary changes twice.
		for i := range 40 {
			for j := range 30 {
				if out, _ := take(fmt.Sprintf("t/%d-%d", i, j)); !out.Granted {
					t.Fatal("a new key was not granted")
				}
			}
			time.Sleep(11 * time.Second)
			if i%15 == 7 {
				f.crashCore(f.primary())
				for _, c := range f.cores {
					if !c.up {
						f.startCore(c)
					}
				}
				f.within(6*time.Second, "another primary", func() bool { return f.primary() != nil })
			}
		}
		time.Sleep(200 * time.Second)
		for _, k := range []string{"t/k", "t/done", "t/0-0", "t/17-29", "t/39-3"} {
			expect(k, "much later", false, true)
		}
		if parts := f.primary().srv.State().FinishedKeyChunks; parts > 20 {
			t.Errorf("%d parts after forty sweeps", parts)
		}
		time.Sleep(1600 * time.Second)
		expect("t/k", "after the long span", true, false)
	})
}

// When as many keys that ran are kept as allowed, a new key is refused in plain words, and none of
// the old ones is forgotten.
func TestNewKeyRejectedAtKeyLimit(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newWhole(t, seed, 1, strings.Replace(plainLay(""), `{"services"`, `{"limits":{"claim_keep_s":10,"ran_most":5},"services"`, 1), orders())
		l := &ledger{}
		order := func(n uint64) got {
			g := w.send(w.ctx, w.full[0], ask{n: n, tenant: "rich", path: "/orders", key: fmt.Sprint("k", n), body: map[string]any{"n": n}})
			l.add(g)
			return g
		}
		for n := range uint64(5) {
			if g := order(n + 1); g.status != 200 {
				t.Fatalf("%d %s", g.status, g.code)
			}
		}
		time.Sleep(45 * time.Second)
		for n := range uint64(5) {
			if g := order(n + 1); g.code != "ran-before" || g.run != "unknown" {
				t.Errorf("asked again: %d %s %s", g.status, g.code, g.run)
			}
		}
		if g := order(6); g.code != "keys-full" || g.run != "not run" || g.retry == "" {
			t.Errorf("a sixth key where five are kept: %d %s, %s, Retry-After %q", g.status, g.code, g.run, g.retry)
		}
		w.honest(l)
	})
}

// After a hand-over an hour's claims end at once: in batches that fit a frame, so that none of it costs
// the primary its backup.
func TestManyClaimsExpireAtOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		if p := o.putRaw([]byte(`{"limits":{"claim_keep_s":20}}`), ""); p.code != 200 {
			t.Fatal(p.code)
		}
		const many = 5000
		long := strings.Repeat("k", 2000)
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				for j := range many / 200 {
					ctx, end := context.WithTimeout(f.ctx, 20*time.Second)
					var out coreapi.ClaimResponse
					if err := o.cli.Call(ctx, "core.take", &coreapi.ClaimRequest{Key: fmt.Sprintf("t/%s-%d-%d", long, i, j), Claim: coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(i, j), Node: "n", NodeRun: 1}}, &out, true); err != nil || !out.Granted {
						t.Error(err, out)
					}
					end()
				}
			})
		}
		all.Wait()
		f.crashCore(f.primary())
		f.within(6*time.Second, "another primary", func() bool { return f.primary() != nil })
		epoch := f.primary().srv.State().View.Epoch
		f.within(60*time.Second, "all claims have ended", func() bool { p := f.primary(); return p != nil && p.srv.State().Claims == 0 })
		if e := f.primary().srv.State().View.Epoch; e != epoch {
			t.Errorf("the view went from epoch %d to %d", epoch, e)
		}
	})
}

// A write to the backup that was long under way arrives after that backup has taken over: its primary's
// lease can't help any more, the epoch has to.
func TestLateReplicationFromDeposedPrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
		o := f.operator()
		first := o.put(1, 0, "")
		lost := f.primary()
		v := lost.srv.State().View
		f.crashCore(lost)
		f.within(6*time.Second, "the backup leads", func() bool { p := f.primary(); return p != nil && p != lost })
		heir := f.primary()
		if heir.addr != v.Addr(v.FirstBackup) {
			t.Fatalf("%s leads, %s was backup", heir.addr, v.Addr(v.FirstBackup))
		}
		late, err := (&coreapi.StoredConfig{Version: first.version + 1, Raw: testConfig(99)}).MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		in := replication.ReplicateRequest{View: v, Primary: v.Primary, Batch: store.Batch{Version: heir.srv.State().StoreVersion + 1, Mutations: []store.Mutation{{Key: "layout", Value: late}}}}
		raw, err := in.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := heir.srv.Handle(f.ctx, "core.hold", raw); err == nil {
			t.Error("a deposed primary's write was held")
		}
		// What is read is what a change is made against.
		if p := o.put(2, first.version, ""); p.code != 200 || p.version != first.version+1 {
			t.Errorf("a change against sequence %d was answered %d at %d", first.version, p.code, p.version)
		}
	})
}

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

// Random faults of every kind while operators write concurrently: no acknowledged configuration is lost, no rejected one
// is applied, no router goes back to an older version, and service recovers in time.
func TestCoreUnderRandomFaults(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 6)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		h := &history{}
		stop := time.Now().Add(60 * time.Second)
		for i := range 3 {
			o := f.operator()
			go func() {
				for n := 1; time.Now().Before(stop); n++ {
					number := i*1000 + n
					id := ""
					if n%2 == 0 {
						id = fmt.Sprintf("w-%d", number)
					}
					h.add(o.put(number, 0, id))
					time.Sleep(time.Duration(30+f.chance(200)) * time.Millisecond)
				}
			}()
		}
		for range 4 {
			o := f.operator()
			go func() {
				for time.Now().Before(stop) {
					o.read(h)
					time.Sleep(time.Duration(5+f.chance(30)) * time.Millisecond)
				}
			}()
		}
		for time.Now().Before(stop) {
			f.fault()
			time.Sleep(time.Duration(200+f.chance(2500)) * time.Millisecond)
		}
		f.settle()
		time.Sleep(7 * time.Second) // until the operators' last calls have ended
		f.settle()
		o := f.operator()
		p := o.put(99999, 0, "last")
		if p.code != 200 {
			t.Fatalf("a write without any fault was answered with code %d", p.code)
		}
		h.add(p)
		f.within(2*time.Second, "every router has applied the acknowledged configuration", func() bool {
			for _, r := range f.routers {
				if config := r.member.Config(); config == nil || config.Version < p.version {
					return false
				}
			}
			return true
		})
		time.Sleep(100 * time.Millisecond)
		f.check(h)
		ok := 0
		for _, q := range h.writes {
			if q.code == 200 {
				ok++
			}
		}
		t.Logf("%d writes, %d acknowledged", len(h.writes), ok)
		if ok < 20 {
			t.Errorf("only %d of %d writes were acknowledged", ok, len(h.writes))
		}
	})
}

// fault injects a random fault or ends all current ones.
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
	case 2: // all cores at once
		for _, o := range f.cores {
			f.crashCore(o)
		}
		time.Sleep(time.Duration(f.chance(500)) * time.Millisecond)
		f.settle()
	case 3:
		f.w.Split([]string{c.addr}, rest)
	case 4: // asymmetric: one direction per machine
		for _, a := range rest {
			if f.chance(2) == 0 {
				f.w.Cut(c.addr, a)
			} else {
				f.w.Cut(a, c.addr)
			}
		}
	case 5: // a partition among the cores
		size := 1 + f.chance(4)
		var a, b []string
		for i, k := range f.perm() {
			if i < size {
				a = append(a, f.cores[k].addr)
			} else {
				b = append(b, f.cores[k].addr)
			}
		}
		f.w.Split(a, b)
	case 6:
		c.disk.StallWrites()
	case 7:
		c.disk.SetWriteDelay(time.Duration(f.chance(800)) * time.Millisecond)
	case 8:
		c.disk.SetFull(true)
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

// The cores are lost with their disks one by one, and a blank core at a new address automatically replaces each as a member.
// Finally all five machines have been replaced, while the routers' seeds still name the old ones.
func TestEveryCoreIsReplaced(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 4)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		h := &history{}
		o := f.operator()
		for i, k := range f.perm() {
			p := o.put(i+1, 0, "")
			if p.code != 200 {
				t.Fatalf("write %d was answered with code %d", i, p.code)
			}
			h.add(p)
			old := f.cores[k]
			f.crashCore(old)
			next := &coreProc{addr: fmt.Sprintf("10.0.2.%d:1", i+1), zone: old.zone, disk: sim.NewDisk()}
			f.cores[k] = next
			f.startCore(next)
			took := f.within(2*f.lostAfter, "the blank core has replaced the lost one as a member", func() bool {
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
			t.Logf("member replaced after %s, with members counted as lost after %s", took, f.lostAfter)
		}
		p := o.put(77, 0, "")
		h.add(p)
		if p.code != 200 {
			t.Fatalf("after all cores had been replaced a write was answered with code %d", p.code)
		}
		f.within(2*time.Second, "routers have found the new cores", func() bool {
			for _, r := range f.routers {
				if config := r.member.Config(); config == nil || config.Version != p.version || r.member.CoreTimedOut() {
					return false
				}
			}
			return true
		})
		// All routers restart, while the cores that their seeds name no longer exist. Then all routers and cores restart.
		ready := func() bool {
			for _, r := range f.routers {
				if config := r.member.Config(); config == nil || config.Version < p.version || r.member.NotReadyReason() != "" {
					return false
				}
			}
			return true
		}
		for _, restartCores := range []bool{false, true} {
			for _, r := range f.routers {
				f.crashRouter(r)
			}
			for _, c := range f.cores {
				if restartCores {
					f.crashCore(c)
				}
			}
			for _, r := range f.routers {
				f.startRouter(r)
			}
			for _, c := range f.cores {
				if restartCores {
					f.startCore(c)
				}
			}
			f.within(12*time.Second, fmt.Sprintf("routers find the new cores, cores restarted too: %v", restartCores), ready)
		}
		f.check(h)
	})
}

// The primary is lost with its disk right after an acknowledgement: nothing is lost, and service recovers in time. Primary
// and backup are never in one zone while a core in another zone is available.
func TestPrimaryLost(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 4)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		h := &history{}
		o := f.operator()
		for i := range 3 {
			p := o.put(i+1, 0, "")
			if p.code != 200 {
				t.Fatalf("a write was answered with code %d", p.code)
			}
			h.add(p)
			lost := f.primary()
			if v := lost.srv.State().View; v.ZoneOf(v.Primary) == v.ZoneOf(v.FirstBackup) {
				t.Errorf("primary and backup are both in zone %s", v.ZoneOf(v.Primary))
			}
			f.crashCore(lost)
			lost.disk = sim.NewDisk()
			took := f.within(6*time.Second, "another core is primary", func() bool { return f.primary() != nil })
			f.startCore(lost) // blank, at the old address
			if i == 0 {
				t.Logf("takeover took %s", took)
			}
			f.within(2*time.Second, "every router has applied the acknowledged configuration", func() bool {
				for _, r := range f.routers {
					if config := r.member.Config(); config == nil || config.Version < p.version {
						return false
					}
				}
				return true
			})
			f.within(15*time.Second, "the fleet has five members again", func() bool {
				p := f.primary()
				return p != nil && len(p.srv.State().View.Members) == 5 && p.srv.State().View.Addr(lost.srv.State().ID) != ""
			})
		}
		f.check(h)
	})
}

// A primary that is partitioned from the other cores, but not from its clients, answers nothing once its lease has expired:
// clients that still reach it must not read a configuration that another primary has replaced.
func TestStalePrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		h := &history{}
		near, far := f.operator(), f.operator()
		h.add(near.put(1, 0, ""))
		near.read(h)
		old := f.primary()
		var rest []string
		for _, c := range f.cores {
			if c != old {
				rest = append(rest, c.addr)
			}
		}
		f.w.Split([]string{old.addr}, append(rest, far.addr, f.routers[0].addr, f.routers[1].addr))
		for range 60 {
			h.add(far.put(len(h.writes)+1, 0, ""))
			near.read(h)
			time.Sleep(50 * time.Millisecond)
		}
		if n := len(h.reads); n < 2 {
			t.Errorf("%d reads were answered, want at least 2", n)
		}
		f.settle()
		f.check(h)
		if h.writes[len(h.writes)-1].code != 200 {
			t.Error("the other cores did not acknowledge a write")
		}
	})
}

// A primary that reaches its backup but no majority must let the backup take over: the backup reaches the other cores, and
// the fleet must not wait until the primary reaches them again.
func TestBackupTakesOverFromPrimaryWithoutMajority(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		o := f.operator()
		h := &history{}
		h.add(o.put(1, 0, ""))
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
		took := f.within(12*time.Second, "the backup is primary", func() bool {
			p := f.primary()
			return p != nil && p != old
		})
		t.Logf("takeover took %s", took)
		f.within(3*time.Second, "a write is acknowledged", func() bool {
			p := o.put(2+len(h.writes), 0, "")
			h.add(p)
			return p.code == 200
		})
		f.settle()
		f.check(h)
	})
}

// The release of a claim overtakes its delayed claim request. The claim must not be granted then: it would never be
// released, and the key would stay unusable.
func TestClaimArrivesAfterItsRelease(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		o := f.operator()
		call := func(kind string, in msgp.Marshaler, out msgp.Unmarshaler) {
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			defer cancel()
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
			t.Error("a released claim was granted")
		}
		call("core.take", &coreapi.ClaimRequest{Key: "t/k", Claim: claim("next")}, &next)
		if !next.Granted {
			t.Errorf("a key was not granted again after its release: %+v", next)
		}
		call("core.take", &coreapi.ClaimRequest{Key: "t/k", Claim: claim("third")}, &third)
		if third.Granted {
			t.Error("a key was granted to a second claimant")
		}
	})
}

// An idempotency key keeps its outcome for at least claim_keep_s, across a change of the primary, and the fact that its
// request ran for ran_keep_s. After that, or once its claim was released unsent, the key may be claimed again.
func TestIdempotencyKeyRetention(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		o := f.operator()
		if p := o.putRaw([]byte(`{"limits":{"claim_keep_s":60,"ran_keep_s":1500}}`), ""); p.code != 200 {
			t.Fatal(p.code)
		}
		call := func(kind string, in msgp.Marshaler, out msgp.Unmarshaler) {
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			defer cancel()
			if err := o.cli.Call(ctx, kind, in, out, true); err != nil {
				t.Fatal(err)
			}
		}
		id := 0
		claim := func(key string) (out coreapi.ClaimResponse, c coreapi.Claim) {
			id++
			c = coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(id), Node: "n", NodeRun: 1}
			call("core.take", &coreapi.ClaimRequest{Key: key, Claim: c}, &out)
			return out, c
		}
		expect := func(key, when string, granted, ran bool) {
			t.Helper()
			if out, _ := claim(key); out.Granted != granted || out.AlreadyRan != ran {
				t.Errorf("%s %s: granted %v, already ran %v", key, when, out.Granted, out.AlreadyRan)
			}
		}
		expect("t/k", "at first", true, false)
		_, c := claim("t/done")
		c.State, c.Status, c.HasResponse = coreapi.ClaimDone, 200, true
		call("core.settle", &coreapi.CompleteClaimRequest{Key: "t/done", Claim: c}, nil)
		_, c = claim("t/free")
		call("core.settle", &coreapi.CompleteClaimRequest{Key: "t/free", Release: true, Claim: c}, nil)
		time.Sleep(50 * time.Second)
		expect("t/k", "within the span", false, false)
		f.crashCore(f.primary())
		f.within(6*time.Second, "another core is primary", func() bool { return f.primary() != nil })
		time.Sleep(40 * time.Second)
		expect("t/k", "after a hand-over", false, false)
		time.Sleep(45 * time.Second)
		for _, k := range []string{"t/k", "t/done"} {
			expect(k, "after the span", false, true)
		}
		expect("t/free", "let go unsent", true, false)
		// Many more keys are claimed and expire, so that chunks of finished keys merge, and the primary changes several times.
		for i := range 40 {
			for j := range 30 {
				if out, _ := claim(fmt.Sprintf("t/%d-%d", i, j)); !out.Granted {
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
				f.within(6*time.Second, "another core is primary", func() bool { return f.primary() != nil })
			}
		}
		time.Sleep(200 * time.Second)
		for _, k := range []string{"t/k", "t/done", "t/0-0", "t/17-29", "t/39-3"} {
			expect(k, "much later", false, true)
		}
		if chunks := f.primary().srv.State().FinishedKeyChunks; chunks > 20 {
			t.Errorf("%d chunks of finished keys after forty rounds of claims", chunks)
		}
		time.Sleep(1600 * time.Second)
		expect("t/k", "after the long span", true, false)
	})
}

// Once ran_most keys that ran are kept, a new key is rejected with its own error code, and no old key is forgotten.
func TestNewKeyRejectedAtKeyLimit(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newFullFleet(t, seed, 1, strings.Replace(testConfig(""), `{"services"`, `{"limits":{"claim_keep_s":10,"ran_most":5},"services"`, 1), newOrderRunner())
		l := &resultLog{}
		order := func(n uint64) result {
			g := w.send(w.ctx, w.full[0], query{n: n, tenant: "rich", path: "/orders", key: fmt.Sprint("k", n), body: map[string]any{"n": n}})
			l.add(g)
			return g
		}
		for n := range uint64(5) {
			if g := order(n + 1); g.status != 200 {
				t.Fatalf("request answered %d %s", g.status, g.code)
			}
		}
		time.Sleep(45 * time.Second)
		for n := range uint64(5) {
			if g := order(n + 1); g.code != "ran-before" || g.run != "unknown" {
				t.Errorf("repeated request: %d %s %s", g.status, g.code, g.run)
			}
		}
		if g := order(6); g.code != "keys-full" || g.run != "not run" || g.retryAfter == "" {
			t.Errorf("sixth key with a limit of five: %d %s, %s, Retry-After %q", g.status, g.code, g.run, g.retryAfter)
		}
		w.checkResults(l)
	})
}

// After a change of the primary, thousands of claims expire at the same time. They are removed in batches that fit a frame,
// so that the primary does not lose its backup over them.
func TestManyClaimsExpireAtOnce(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 1)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
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
					ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
					var out coreapi.ClaimResponse
					if err := o.cli.Call(ctx, "core.take", &coreapi.ClaimRequest{Key: fmt.Sprintf("t/%s-%d-%d", long, i, j), Claim: coreapi.Claim{RequestHash: "s", Claimant: fmt.Sprint(i, j), Node: "n", NodeRun: 1}}, &out, true); err != nil || !out.Granted {
						t.Error(err, out)
					}
					cancel()
				}
			})
		}
		all.Wait()
		f.crashCore(f.primary())
		f.within(6*time.Second, "another core is primary", func() bool { return f.primary() != nil })
		epoch := f.primary().srv.State().View.Epoch
		f.within(60*time.Second, "all claims have expired", func() bool { p := f.primary(); return p != nil && p.srv.State().Claims == 0 })
		if e := f.primary().srv.State().View.Epoch; e != epoch {
			t.Errorf("the view changed from epoch %d to %d", epoch, e)
		}
	})
}

// A delayed replication request arrives after the backup has taken over. The lease of its primary no longer protects the
// backup then, so the backup has to reject the request by its epoch.
func TestLateReplicationFromDeposedPrimary(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newFleet(t, seed, 2)
		f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
		o := f.operator()
		first := o.put(1, 0, "")
		lost := f.primary()
		v := lost.srv.State().View
		f.crashCore(lost)
		f.within(6*time.Second, "the backup is primary", func() bool { p := f.primary(); return p != nil && p != lost })
		successor := f.primary()
		if successor.addr != v.Addr(v.FirstBackup) {
			t.Fatalf("%s is primary, but %s was the backup", successor.addr, v.Addr(v.FirstBackup))
		}
		late, err := (&coreapi.StoredConfig{Version: first.version + 1, Raw: numberedConfig(99)}).MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		in := replication.ReplicateRequest{View: v, Primary: v.Primary, Batch: store.Batch{Version: successor.srv.State().StoreVersion + 1, Mutations: []store.Mutation{{Key: "layout", Value: late}}}}
		raw, err := in.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := successor.srv.Handle(f.ctx, "core.hold", raw); err == nil {
			t.Error("a deposed primary's write was accepted")
		}
		// The rejected write has not changed the version that later writes are based on.
		if p := o.put(2, first.version, ""); p.code != 200 || p.version != first.version+1 {
			t.Errorf("a write based on version %d was answered with code %d at version %d", first.version, p.code, p.version)
		}
	})
}

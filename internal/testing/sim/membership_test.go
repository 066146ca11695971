package sim_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/testing/sim"
)

// newUnstartedFleet is a world of cores that are told the first three addresses only; none runs yet.
func newUnstartedFleet(t *testing.T, seed uint64, cores, losses int) *fleet {
	f := emptyFleet(t, seed)
	f.lostAfter = 2 * time.Second
	for i := range cores {
		f.cores = append(f.cores, &coreProc{addr: fmt.Sprintf("10.0.0.%d:1", i+1), zone: f.zones[i%4], disk: sim.NewDisk()})
	}
	for _, c := range f.cores[:min(3, cores)] {
		f.founders = append(f.founders, c.addr)
	}
	f.coreSettings = func(c *coreProc) core.Settings {
		return core.Settings{Addr: c.addr, Seeds: f.founders, Bootstrap: true, Losses: losses, LostAfter: f.lostAfter}
	}
	return f
}

// newJoinedFleet is such a world with all cores started, once all are members and one of them is primary.
func newJoinedFleet(t *testing.T, seed uint64, cores, losses int) *fleet {
	f := newUnstartedFleet(t, seed, cores, losses)
	for _, c := range f.cores {
		f.startCore(c)
	}
	f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(losses) })
	return f
}

// hasAllMembers reports whether a primary is ready whose members are exactly the cores that run, with as many
// backups as losses are to be borne.
func (f *fleet) hasAllMembers(losses int) bool {
	p := f.primary()
	if p == nil {
		return false
	}
	v := p.srv.State().View
	up := 0
	for _, c := range f.cores {
		if c.up {
			up++
			if v.Addr(c.srv.State().ID) != c.addr {
				return false
			}
		}
	}
	return len(v.Members) == up && len(v.Backups()) == losses
}

// coreByID is the core process that holds an identity.
func (f *fleet) coreByID(id string) *coreProc {
	c := f.findCore(id)
	if c == nil {
		f.t.Fatalf("no core holds identity %s", id)
	}
	return c
}

// wipeDisks gives cores empty disks; they are down.
func wipeDisks(cores ...*coreProc) {
	for _, c := range cores {
		c.disk = sim.NewDisk()
	}
}

// longestOutage writes for a while and tells the longest time without an acknowledgement.
func (f *fleet) longestOutage(o *operator, b *history, d time.Duration) time.Duration {
	begun := time.Now()
	last, gap := begun, time.Duration(0)
	for time.Since(begun) < d {
		b.mu.Lock()
		mark := len(b.writes) + 1
		b.mu.Unlock()
		p := o.put(mark, 0, fmt.Sprint("id-", mark))
		b.add(p)
		if p.code == 200 {
			gap, last = max(gap, time.Since(last)), time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return max(gap, time.Since(last))
}

// Cores that know three seeds only, started in any order, become one fleet: founded within a second of
// the last seed, and all cores are members within a second and a half more.
func TestFoundingFromSeeds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 5, 9} {
		t.Run(fmt.Sprint(n, " cores"), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newUnstartedFleet(t, seed, n, 1)
				var lastSeed time.Time
				seeds, founding := 0, time.Duration(-1)
				look := func() bool {
					if founding < 0 && seeds == 3 && f.primary() != nil {
						founding = time.Since(lastSeed)
					}
					return founding >= 0
				}
				for _, k := range f.rnd.Perm(n) {
					f.startCore(f.cores[k])
					if k < 3 {
						seeds, lastSeed = seeds+1, time.Now()
					}
					for wait := time.Now().Add(time.Duration(f.chance(700)) * time.Millisecond); time.Now().Before(wait); look() {
						time.Sleep(10 * time.Millisecond)
					}
				}
				lastCore := time.Now()
				f.within(time.Second, "founding", look)
				if founding > time.Second {
					t.Errorf("founded %s after the last seed", founding)
				}
				f.within(1500*time.Millisecond, "all cores are members", func() bool { return f.hasAllMembers(1) })
				t.Logf("founded %s after the last seed, whole %s after the last core", founding, time.Since(lastCore))
				b := &history{}
				if p := f.operator().put(1, 0, ""); p.code != 200 {
					t.Errorf("a write was answered %d", p.code)
				} else {
					b.add(p)
				}
				f.check(b)
			})
		})
	}
}

// A core that is told to ask only founds nothing, whoever it is; seeds that are unlike its address,
// stand there twice, or are none at all, do it no harm.
func TestNoFoundingWithoutBootstrap(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newUnstartedFleet(t, seed, 5, 1)
		seeds := [][]string{f.founders, {"10.0.0.9:1"}, {f.founders[0], f.founders[0]}, nil, f.founders}
		f.coreSettings = func(c *coreProc) core.Settings {
			i := slices.Index(f.cores, c)
			return core.Settings{Addr: c.addr, Seeds: seeds[i], LostAfter: f.lostAfter, Bootstrap: i == 1 || i == 4}
		}
		for _, c := range f.cores {
			f.startCore(c)
		}
		time.Sleep(5 * time.Second)
		for _, c := range f.cores {
			if e := c.srv.State().View.Epoch; e > 0 {
				t.Errorf("%s knows epoch %d", c.addr, e)
			}
		}
	})
}

// With fewer cores alive than hold a write and may be lost, nothing is acknowledged.
func TestNothingAcknowledgedAlone(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 3, 2)
		o, b := f.operator(), &history{}
		b.add(o.put(1, 0, ""))
		if b.writes[0].code != 200 {
			t.Fatalf("a write was answered %d", b.writes[0].code)
		}
		v := f.primary().srv.State().View
		c := f.coreByID(v.Backups()[f.chance(2)])
		f.crashCore(c)
		for i := range 4 {
			p := o.put(2+i, 0, "")
			b.add(p)
			if p.code == 200 {
				t.Error("acknowledged with two of three disks")
			}
		}
		f.startCore(c)
		f.within(5*time.Second, "all three are back", func() bool { return f.hasAllMembers(2) })
		f.check(b)
	})
}

// Where no loss is to be borne, a core that is the only one founds its fleet, acknowledges writes, reads
// them back after a crash, and hands all over to the core that comes in its place.
func TestOnlyCore(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newUnstartedFleet(t, seed, 1, 1)
		f.coreSettings = func(c *coreProc) core.Settings {
			return core.Settings{Addr: c.addr, Seeds: f.founders, Bootstrap: c.addr == f.founders[0], Losses: 1, AllowNoBackup: true, LostAfter: f.lostAfter}
		}
		first := f.cores[0]
		f.startCore(first)
		f.within(2*time.Second, "founding", func() bool { return f.primary() == first })
		o, b := f.operator(), &history{}
		b.add(o.put(1, 0, ""))
		if b.writes[0].code != 200 {
			t.Fatalf("a write was answered %d", b.writes[0].code)
		}
		f.crashCore(first)
		time.Sleep(time.Duration(f.chance(3000)) * time.Millisecond)
		f.startCore(first)
		f.within(5*time.Second, "the core leads again", func() bool { return f.primary() == first })
		o.read(b)

		second := &coreProc{addr: "10.0.0.2:1", zone: f.zones[1], disk: sim.NewDisk()}
		f.cores = append(f.cores, second)
		f.startCore(second)
		f.founders = append(f.founders, second.addr)
		o = f.operator()
		f.within(5*time.Second, "the second holds a copy", func() bool { return f.hasAllMembers(1) })
		b.add(o.put(2, 0, ""))
		first.srv.StepDown()
		f.crashCore(first)
		f.within(5*time.Second, "the second leads alone", func() bool { return f.primary() == second && f.hasAllMembers(0) })
		o.read(b)
		b.add(o.put(3, 0, ""))
		for _, p := range b.writes {
			if p.code != 200 {
				t.Errorf("write %d was answered %d", p.version, p.code)
			}
		}
		f.check(b)
	})
}

// As many disks as may be lost go right after an acknowledgement, and the power of all cores with
// them: the state is read again within five seconds, and the blank cores become members in place of
// what they were.
func TestWipedAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	for _, losses := range []int{1, 2} {
		for _, who := range []string{"primary first", "backups only"} {
			t.Run(fmt.Sprintf("%d %s", losses, who), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, 5, losses)
					o, b := f.operator(), &history{}
					for round := range 3 {
						p := o.put(round+1, 0, "")
						b.add(p)
						if p.code != 200 {
							t.Fatalf("round %d: a write was answered %d", round, p.code)
						}
						v := f.primary().srv.State().View
						if len(v.Backups()) != losses {
							t.Fatalf("%d backups", len(v.Backups()))
						}
						holders := append([]string{v.Primary}, v.Backups()...)
						if who == "backups only" {
							holders = holders[1:]
						}
						var gone []*coreProc
						for _, id := range holders[:losses] {
							gone = append(gone, f.coreByID(id))
						}
						for _, c := range f.cores {
							f.crashCore(c)
						}
						wipeDisks(gone...)
						down := time.Now()
						for _, k := range f.rnd.Perm(5) {
							f.startCore(f.cores[k])
							time.Sleep(time.Duration(f.chance(150)) * time.Millisecond)
						}
						f.within(5*time.Second-time.Since(down), "a primary", func() bool { return f.primary() != nil })
						t.Logf("read again after %s", time.Since(down))
						n := len(b.reads)
						o.read(b)
						if len(b.reads) == n || b.reads[n].version < p.version {
							t.Errorf("sequence %d was acknowledged and is not read back: %+v", p.version, b.reads[n:])
						}
						f.within(5*time.Second, "all are members", func() bool { return f.hasAllMembers(losses) })
					}
					f.check(b)
				})
			})
		}
	}
}

// The primary is lost with its disk, and the backup that takes over right after it has: with two losses
// to bear, the other backup leads on with all that was acknowledged.
func TestNewPrimaryLostAfterTakeover(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 2)
		o, b := f.operator(), &history{}
		for i := range 3 {
			b.add(o.put(i+1, 0, ""))
		}
		if n := len(b.writes); b.writes[n-1].code != 200 {
			t.Fatalf("a write was answered %d", b.writes[n-1].code)
		}
		lost := f.primary()
		f.crashCore(lost)
		wipeDisks(lost)
		var heir *coreProc
		f.within(4*time.Second, "a backup takes over", func() bool {
			for _, c := range f.cores {
				if c.up && c.srv.State().View.Primary == c.srv.State().ID {
					heir = c
				}
			}
			time.Sleep(time.Duration(f.chance(5)) * time.Millisecond)
			return heir != nil
		})
		f.crashCore(heir)
		wipeDisks(heir)
		took := f.within(5*time.Second, "the other backup leads", func() bool { return f.primary() != nil })
		t.Logf("took %s", took)
		f.startCore(lost)
		f.startCore(heir)
		f.within(5*time.Second, "all are members", func() bool { return f.hasAllMembers(2) })
		f.check(b)
	})
}

// A write reaches one of two backups only before the primary is lost, and is in doubt. Once it was read
// from the backup that took over, it must be with the other one too: no reader goes back.
func TestNewPrimaryReplicatesBeforeReads(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 2)
		o, b := f.operator(), &history{}
		b.add(o.put(1, 0, ""))
		lost := f.primary()
		v := lost.srv.State().View
		f.w.Split([]string{lost.addr}, []string{v.Addr(v.Backups()[1])})
		go func() { b.add(o.put(2, 0, "")) }()
		time.Sleep(40 * time.Millisecond)
		f.crashCore(lost)
		wipeDisks(lost)
		f.within(4*time.Second, "a backup leads", func() bool { return f.primary() != nil })
		o.read(b)
		heir := f.primary()
		f.crashCore(heir)
		wipeDisks(heir)
		f.within(5*time.Second, "the other backup leads", func() bool { return f.primary() != nil })
		o.read(b)
		if n := len(b.reads); n != 2 || b.reads[1].version < b.reads[0].version {
			t.Errorf("reads went back: %+v", b.reads)
		}
		t.Logf("%s of %v led, sequence %d read", heir.addr, addresses(v, v.Backups()), b.reads[0].version)
		time.Sleep(7 * time.Second) // the write in doubt ends
		f.check(b)
	})
}

func addresses(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// One core after the other is lost for good and replaced, at a new address or at its own with an empty
// disk: writes go on, nothing is lost, and the members are the cores that live.
func TestSerialReplacement(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, losses int }{{3, 1}, {5, 1}, {5, 2}, {9, 2}} {
		for _, same := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d cores, %d losses, same address %v", c.cores, c.losses, same), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, c.cores, c.losses)
					old := f.coreSettings
					f.coreSettings = func(p *coreProc) core.Settings {
						set := old(p)
						set.Bootstrap = false
						set.Seeds = nil
						for _, o := range f.cores {
							if o != p && len(set.Seeds) < 3 {
								set.Seeds = append(set.Seeds, o.addr)
							}
						}
						return set
					}
					f.founders = nil
					for _, p := range f.cores {
						f.founders = append(f.founders, p.addr)
					}
					o, b := f.operator(), &history{}
					var gap time.Duration
					var all sync.WaitGroup
					all.Go(func() { gap = f.longestOutage(o, b, time.Duration(c.cores+1)*5*time.Second) })
					for i := range c.cores + 1 {
						k := f.chance(c.cores)
						if p := f.primary(); p != nil && f.chance(2) == 0 {
							k = slices.Index(f.cores, p)
						}
						lost := f.cores[k]
						f.crashCore(lost)
						time.Sleep(time.Duration(f.chance(1000)) * time.Millisecond)
						next := &coreProc{addr: lost.addr, zone: lost.zone, disk: sim.NewDisk()}
						if !same {
							next.addr = fmt.Sprintf("10.0.3.%d:1", i+1)
						}
						f.cores[k] = next
						f.startCore(next)
						took := f.within(5*time.Second, "the members are the cores that live", func() bool { return f.hasAllMembers(c.losses) })
						time.Sleep(5*time.Second - min(took, 5*time.Second))
					}
					all.Wait()
					t.Logf("%d writes, longest time without one %s", len(b.writes), gap)
					if gap > 5*time.Second {
						t.Errorf("%s without a write", gap)
					}
					f.founders = f.founders[:0]
					for _, p := range f.cores {
						f.founders = append(f.founders, p.addr)
					}
					f.check(b)
				})
			})
		}
	}
}

// A member that was only cut off is dropped for a newcomer; it comes back as a member once it is heard,
// also where it was started again meanwhile and knows the old view only.
func TestDroppedMemberReturns(t *testing.T) {
	t.Parallel()
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprint("started again ", again), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 5, 1)
				b := &history{}
				o := f.operator()
				b.add(o.put(1, 0, ""))
				cut := f.cores[f.chance(5)]
				id := cut.srv.State().ID
				next := &coreProc{addr: "10.0.0.20:1", zone: "west", disk: sim.NewDisk()}
				f.w.Split([]string{cut.addr}, append(f.addrsExcept(cut), o.addr, next.addr))
				f.cores = append(f.cores, next)
				f.startCore(next)
				f.within(8*time.Second, "the newcomer in place of the one cut off", func() bool {
					for _, c := range f.cores {
						if c != cut && c.srv.State().Ready {
							v := c.srv.State().View
							return v.Addr(id) == "" && v.HasMember(next.srv.State().ID) && len(v.Members) == 5
						}
					}
					return false
				})
				b.add(o.put(2, 0, ""))
				if again {
					f.crashCore(cut)
				}
				f.w.Heal()
				if again {
					f.startCore(cut)
				}
				f.within(8*time.Second, "all six are members", func() bool { return f.hasAllMembers(1) })
				b.add(o.put(3, 0, ""))
				f.check(b)
			})
		})
	}
}

// A core that comes back with an empty disk at its address proves gone what it was: it is a member in
// its own place at once, long before a silent member would count as lost.
func TestBlankCoreReplacesItself(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"primary", "backup", "member"} {
		t.Run(role, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newUnstartedFleet(t, seed, 5, 1)
				f.lostAfter = time.Minute
				old := f.coreSettings
				for _, c := range f.cores {
					f.startCore(c)
				}
				f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(1) })
				f.coreSettings = func(c *coreProc) core.Settings {
					set := old(c)
					set.Bootstrap = false
					return set
				}
				o, b := f.operator(), &history{}
				for round := range 4 {
					b.add(o.put(round+1, 0, ""))
					v := f.primary().srv.State().View
					var lost *coreProc
					for _, c := range f.cores {
						id := c.srv.State().ID
						if role == "primary" && id == v.Primary || role == "backup" && v.IsBackup(id) || role == "member" && id != v.Primary && !v.IsBackup(id) {
							lost = c
						}
					}
					f.crashCore(lost)
					wipeDisks(lost)
					f.startCore(lost)
					took := f.within(4*time.Second, "the blank core in its own place", func() bool { return f.hasAllMembers(1) })
					t.Logf("took %s", took)
				}
				f.check(b)
			})
		})
	}
}

// More cores than may be members wait, and one of them takes the place of one that is lost.
func TestMaxMembers(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newUnstartedFleet(t, seed, 7, 1)
		old := f.coreSettings
		f.coreSettings = func(c *coreProc) core.Settings {
			set := old(c)
			set.MaxMembers = 5
			return set
		}
		for _, c := range f.cores {
			f.startCore(c)
		}
		members := func() []view.Member {
			if p := f.primary(); p != nil {
				return p.srv.State().View.Members
			}
			return nil
		}
		f.within(5*time.Second, "five members", func() bool { return len(members()) == 5 })
		time.Sleep(3 * time.Second)
		if n := len(members()); n != 5 {
			t.Fatalf("%d members", n)
		}
		lost := f.primary()
		id := lost.srv.State().ID
		f.crashCore(lost)
		f.within(6*time.Second, "another in place of the lost one", func() bool {
			all := members()
			return len(all) == 5 && !slices.ContainsFunc(all, func(m view.Member) bool { return m.ID == id })
		})
	})
}

// A member lost for good, with nobody to take its place, stays a member: the others lose no safety.
func TestLostMemberStaysWithoutNewcomer(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		f.crashCore(f.cores[f.chance(5)])
		time.Sleep(10 * time.Second)
		if n := len(f.primary().srv.State().View.Members); n != 5 {
			t.Errorf("%d members", n)
		}
	})
}

// What the fleet may go without writes after a fault, over the seeds.
func TestLongestOutagePerFault(t *testing.T) {
	t.Parallel()
	cut := func(f *fleet, lead *coreProc, out, in bool) {
		for _, a := range f.addrsExcept(lead) {
			if out {
				f.w.Cut(lead.addr, a)
			}
			if in {
				f.w.Cut(a, lead.addr)
			}
		}
	}
	for _, c := range []struct {
		name  string
		most  time.Duration
		fault func(f *fleet, lead *coreProc, back []*coreProc)
	}{
		{"primary cut off both ways", 4 * time.Second, func(f *fleet, lead *coreProc, _ []*coreProc) { cut(f, lead, true, true) }},
		{"primary sends but does not receive", 4 * time.Second, func(f *fleet, lead *coreProc, _ []*coreProc) { cut(f, lead, false, true) }},
		{"primary receives but does not send", 4 * time.Second, func(f *fleet, lead *coreProc, _ []*coreProc) { cut(f, lead, true, false) }},
		{"a backup's disk stalls", 2 * time.Second, func(_ *fleet, _ *coreProc, back []*coreProc) {
			back[0].disk.Stall()
			time.AfterFunc(3500*time.Millisecond, back[0].disk.Flow)
		}},
		{"the primary's disk stalls", 3 * time.Second, func(_ *fleet, lead *coreProc, _ []*coreProc) {
			lead.disk.Stall()
			time.AfterFunc(3500*time.Millisecond, lead.disk.Flow)
		}},
		{"all killed at once, back within a second", 3 * time.Second, func(f *fleet, _ *coreProc, _ []*coreProc) {
			for _, o := range f.cores {
				f.crashCore(o)
			}
			time.Sleep(time.Duration(f.chance(1000)) * time.Millisecond)
			for _, o := range f.cores {
				f.startCore(o)
			}
		}},
	} {
		for _, losses := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d losses", c.name, losses), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, 5, losses)
					o, b := f.operator(), &history{}
					b.add(o.put(1, 0, ""))
					time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
					lead := f.primary()
					var back []*coreProc
					for _, id := range lead.srv.State().View.Backups() {
						back = append(back, f.coreByID(id))
					}
					begun := time.Now()
					c.fault(f, lead, back)
					gap := f.longestOutage(o, b, 10*time.Second-time.Since(begun))
					t.Logf("%s without a write", gap)
					if gap > c.most {
						t.Errorf("%s without a write, %s at most expected", gap, c.most)
					}
					f.settle()
					f.within(8*time.Second, "all as before", func() bool { return f.hasAllMembers(losses) })
					f.check(b)
				})
			})
		}
	}
}

// Faults of every kind at random, on a fleet of seven founded from three seeds that bears two losses,
// while cores are replaced for good: no acknowledged configuration is lost.
func TestMembershipUnderRandomFaults(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 7, 2)
		b := &history{}
		stop := time.Now().Add(60 * time.Second)
		for i := range 2 {
			o := f.operator()
			go func() {
				for n := 1; time.Now().Before(stop); n++ {
					b.add(o.put(i*1000+n, 0, fmt.Sprint("w-", i, "-", n)))
					time.Sleep(time.Duration(30+f.chance(200)) * time.Millisecond)
				}
			}()
		}
		for range 2 {
			o := f.operator()
			go func() {
				for time.Now().Before(stop) {
					o.read(b)
					time.Sleep(time.Duration(5+f.chance(30)) * time.Millisecond)
				}
			}()
		}
		for time.Now().Before(stop) {
			if f.chance(3) == 0 {
				f.settle()
				f.within(10*time.Second, "all as before", func() bool { return f.hasAllMembers(2) })
				lost := f.cores[f.chance(len(f.cores))]
				if p := f.primary(); p != nil && f.chance(2) == 0 {
					lost = p
				}
				f.crashCore(lost)
				wipeDisks(lost)
				f.startCore(lost)
			} else {
				f.fault()
			}
			time.Sleep(time.Duration(200+f.chance(2500)) * time.Millisecond)
		}
		f.settle()
		time.Sleep(7 * time.Second) // operators' last calls end
		f.settle()
		f.within(10*time.Second, "all as before", func() bool { return f.hasAllMembers(2) })
		p := f.operator().put(99999, 0, "last")
		b.add(p)
		if p.code != 200 {
			t.Errorf("a calm fleet answered %d", p.code)
		}
		f.check(b)
		ok := 0
		for _, q := range b.writes {
			if q.code == 200 {
				ok++
			}
		}
		t.Logf("%d writes, %d acknowledged", len(b.writes), ok)
	})
}

// While one primary stays, all cores that a client knew are replaced one after the other. Once the primary is lost too, the
// client finds the next one: it has asked for the view meanwhile.
func TestClientOutlivesTheMembersItKnew(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 3, 1)
		old := f.coreSettings
		f.coreSettings = func(p *coreProc) core.Settings {
			set := old(p)
			set.Bootstrap, set.Seeds = false, nil
			for _, o := range f.cores {
				if o != p && len(set.Seeds) < 3 {
					set.Seeds = append(set.Seeds, o.addr)
				}
			}
			return set
		}
		o, b := f.operator(), &history{}
		b.add(o.put(1, 0, ""))
		primary := f.primary()
		mark := 2
		replace := func(k int) {
			lost := f.cores[k]
			f.crashCore(lost)
			next := &coreProc{addr: fmt.Sprintf("10.0.3.%d:1", k+1), zone: lost.zone, disk: sim.NewDisk()}
			f.cores[k] = next
			f.startCore(next)
			for begun := time.Now(); time.Since(begun) < 8*time.Second; mark++ {
				b.add(o.put(mark, 0, fmt.Sprint(mark)))
				time.Sleep(100 * time.Millisecond)
			}
		}
		for k, p := range f.cores {
			if p != primary {
				replace(k)
			}
		}
		if f.primary() != primary {
			t.Fatal("the primary changed while only others were replaced")
		}
		f.crashCore(primary)
		lost := time.Now()
		for o.put(mark, 0, fmt.Sprint(mark)).code != 200 && time.Since(lost) < 10*time.Second {
			mark++
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(lost); took > 5*time.Second {
			t.Errorf("no write for %s after the loss of the last member that the client had known", took)
		}
	})
}

// A seed that starts with an empty disk, alone and still told to found, founds nothing: the fleet that it cannot
// reach may hold acknowledged writes. It joins once the others are back.
func TestBlankSeedFoundsNothingAlone(t *testing.T) {
	t.Parallel()
	for _, others := range []string{"down", "cut off"} {
		t.Run(others, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 5, 1)
				o, b := f.operator(), &history{}
				acknowledged := f.mustWrite(o, b)
				blank := f.cores[0] // the seed with the lowest address proposes the first view
				f.loseDisk(blank)
				for _, c := range f.cores[1:] {
					if others == "down" {
						f.crashCore(c)
					}
				}
				f.w.Split([]string{blank.addr}, f.addrsExcept(blank))
				f.startCore(blank)
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					if v := blank.srv.View(); v.Epoch > 0 {
						t.Fatalf("a blank seed founded epoch %d alone", v.Epoch)
					}
				}
				f.w.Heal()
				for _, c := range f.cores[1:] {
					if !c.up {
						f.startCore(c)
					}
				}
				f.expectReadBack(b, acknowledged)
			})
		})
	}
}

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

// newUnstartedFleet returns a fleet of cores that know only the first three addresses as seeds. No core runs yet.
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

// newJoinedFleet starts all cores of such a fleet, and waits until all are members and one of them is primary.
func newJoinedFleet(t *testing.T, seed uint64, cores, losses int) *fleet {
	f := newUnstartedFleet(t, seed, cores, losses)
	for _, c := range f.cores {
		f.startCore(c)
	}
	f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(losses) })
	return f
}

// hasAllMembers reports whether a primary is ready whose members are exactly the running cores, and that has one backup for
// each disk loss to tolerate.
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

// coreByID returns the running core with an ID. The test fails if there is none.
func (f *fleet) coreByID(id string) *coreProc {
	c := f.findCore(id)
	if c == nil {
		f.t.Fatalf("no running core has ID %s", id)
	}
	return c
}

// wipeDisks replaces the disks of stopped cores with empty ones.
func wipeDisks(cores ...*coreProc) {
	for _, c := range cores {
		c.disk = sim.NewDisk()
	}
}

// longestOutage writes repeatedly for the given time and returns the longest interval without an acknowledgement.
func (f *fleet) longestOutage(o *operator, h *history, d time.Duration) time.Duration {
	start := time.Now()
	last, longest := start, time.Duration(0)
	for time.Since(start) < d {
		h.mu.Lock()
		number := len(h.writes) + 1
		h.mu.Unlock()
		p := o.put(number, 0, fmt.Sprint("id-", number))
		h.add(p)
		if p.code == 200 {
			longest, last = max(longest, time.Since(last)), time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return max(longest, time.Since(last))
}

// Cores that know only three seeds form one fleet, in whatever order they start. A primary is ready within a second of the
// start of the last seed, and all cores are members within another 1.5 s.
func TestFoundingFromSeeds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 5, 9} {
		t.Run(fmt.Sprint(n, " cores"), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newUnstartedFleet(t, seed, n, 1)
				var lastSeed time.Time
				startedSeeds, bootstrapTime := 0, time.Duration(-1)
				hasPrimary := func() bool {
					if bootstrapTime < 0 && startedSeeds == 3 && f.primary() != nil {
						bootstrapTime = time.Since(lastSeed)
					}
					return bootstrapTime >= 0
				}
				for _, k := range f.rnd.Perm(n) {
					f.startCore(f.cores[k])
					if k < 3 {
						startedSeeds, lastSeed = startedSeeds+1, time.Now()
					}
					for wait := time.Now().Add(time.Duration(f.chance(700)) * time.Millisecond); time.Now().Before(wait); hasPrimary() {
						time.Sleep(10 * time.Millisecond)
					}
				}
				lastCore := time.Now()
				f.within(time.Second, "a primary is ready after bootstrap", hasPrimary)
				if bootstrapTime > time.Second {
					t.Errorf("a primary was ready %s after the last seed", bootstrapTime)
				}
				f.within(1500*time.Millisecond, "all cores are members", func() bool { return f.hasAllMembers(1) })
				t.Logf("a primary was ready %s after the last seed, all cores were members %s after the last core", bootstrapTime, time.Since(lastCore))
				h := &history{}
				if p := f.operator().put(1, 0, ""); p.code != 200 {
					t.Errorf("a write was answered with code %d", p.code)
				} else {
					h.add(p)
				}
				f.check(h)
			})
		})
	}
}

// A core without Bootstrap never bootstraps a fleet, whatever its address. Seeds that don't contain the core's own address,
// duplicate seeds and an empty list of seeds do no harm.
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
				t.Errorf("%s has a view with epoch %d, want none", c.addr, e)
			}
		}
	})
}

// A write is acknowledged only if the primary and one backup for each tolerated loss have it: with two losses tolerated, two
// of three cores acknowledge nothing.
func TestNothingAcknowledgedAlone(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 3, 2)
		o, h := f.operator(), &history{}
		h.add(o.put(1, 0, ""))
		if h.writes[0].code != 200 {
			t.Fatalf("a write was answered with code %d", h.writes[0].code)
		}
		v := f.primary().srv.State().View
		c := f.coreByID(v.Backups()[f.chance(2)])
		f.crashCore(c)
		for i := range 4 {
			p := o.put(2+i, 0, "")
			h.add(p)
			if p.code == 200 {
				t.Error("a write was acknowledged by two of three cores")
			}
		}
		f.startCore(c)
		f.within(5*time.Second, "all three cores are members", func() bool { return f.hasAllMembers(2) })
		f.check(h)
	})
}

// With AllowNoBackup, a single core bootstraps its fleet, acknowledges writes, reads them back after a crash, and hands its
// state over to the core that replaces it.
func TestOnlyCore(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newUnstartedFleet(t, seed, 1, 1)
		f.coreSettings = func(c *coreProc) core.Settings {
			return core.Settings{Addr: c.addr, Seeds: f.founders, Bootstrap: c.addr == f.founders[0], Losses: 1, AllowNoBackup: true, LostAfter: f.lostAfter}
		}
		first := f.cores[0]
		f.startCore(first)
		f.within(2*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() == first })
		o, h := f.operator(), &history{}
		h.add(o.put(1, 0, ""))
		if h.writes[0].code != 200 {
			t.Fatalf("a write was answered with code %d", h.writes[0].code)
		}
		f.crashCore(first)
		time.Sleep(time.Duration(f.chance(3000)) * time.Millisecond)
		f.startCore(first)
		f.within(5*time.Second, "the core is primary again", func() bool { return f.primary() == first })
		o.read(h)

		second := &coreProc{addr: "10.0.0.2:1", zone: f.zones[1], disk: sim.NewDisk()}
		f.cores = append(f.cores, second)
		f.startCore(second)
		f.founders = append(f.founders, second.addr)
		o = f.operator()
		f.within(5*time.Second, "the second core is the backup", func() bool { return f.hasAllMembers(1) })
		h.add(o.put(2, 0, ""))
		first.srv.StepDown()
		f.crashCore(first)
		f.within(5*time.Second, "the second core is primary without a backup", func() bool { return f.primary() == second && f.hasAllMembers(0) })
		o.read(h)
		h.add(o.put(3, 0, ""))
		for _, p := range h.writes {
			if p.code != 200 {
				t.Errorf("write of version %d was answered with code %d", p.version, p.code)
			}
		}
		f.check(h)
	})
}

// Right after an acknowledgement all cores crash, and as many disks are lost as the fleet tolerates. The write is read back
// within five seconds, and the blank cores become members in place of the lost ones.
func TestWipedAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	for _, losses := range []int{1, 2} {
		for _, who := range []string{"primary first", "backups only"} {
			t.Run(fmt.Sprintf("%d %s", losses, who), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, 5, losses)
					o, h := f.operator(), &history{}
					for round := range 3 {
						p := o.put(round+1, 0, "")
						h.add(p)
						if p.code != 200 {
							t.Fatalf("round %d: a write was answered with code %d", round, p.code)
						}
						v := f.primary().srv.State().View
						if len(v.Backups()) != losses {
							t.Fatalf("got %d backups, want %d", len(v.Backups()), losses)
						}
						replicas := append([]string{v.Primary}, v.Backups()...)
						if who == "backups only" {
							replicas = replicas[1:]
						}
						var lost []*coreProc
						for _, id := range replicas[:losses] {
							lost = append(lost, f.coreByID(id))
						}
						for _, c := range f.cores {
							f.crashCore(c)
						}
						wipeDisks(lost...)
						down := time.Now()
						for _, k := range f.rnd.Perm(5) {
							f.startCore(f.cores[k])
							time.Sleep(time.Duration(f.chance(150)) * time.Millisecond)
						}
						f.within(5*time.Second-time.Since(down), "a primary is ready", func() bool { return f.primary() != nil })
						t.Logf("a primary was ready after %s", time.Since(down))
						n := len(h.reads)
						o.read(h)
						if len(h.reads) == n || h.reads[n].version < p.version {
							t.Errorf("version %d was acknowledged, but not read back: %+v", p.version, h.reads[n:])
						}
						f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(losses) })
					}
					f.check(h)
				})
			})
		}
	}
}

// The primary is lost with its disk, and so is the backup that takes over, right after its takeover. With two losses tolerated,
// the other backup becomes primary with all acknowledged writes.
func TestNewPrimaryLostAfterTakeover(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 2)
		o, h := f.operator(), &history{}
		for i := range 3 {
			h.add(o.put(i+1, 0, ""))
		}
		if n := len(h.writes); h.writes[n-1].code != 200 {
			t.Fatalf("a write was answered with code %d", h.writes[n-1].code)
		}
		lost := f.primary()
		f.crashCore(lost)
		wipeDisks(lost)
		var successor *coreProc
		f.within(4*time.Second, "a backup has taken over", func() bool {
			for _, c := range f.cores {
				if c.up && c.srv.State().View.Primary == c.srv.State().ID {
					successor = c
				}
			}
			time.Sleep(time.Duration(f.chance(5)) * time.Millisecond)
			return successor != nil
		})
		f.crashCore(successor)
		wipeDisks(successor)
		took := f.within(5*time.Second, "the other backup is primary", func() bool { return f.primary() != nil })
		t.Logf("took %s", took)
		f.startCore(lost)
		f.startCore(successor)
		f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(2) })
		f.check(h)
	})
}

// A write reaches only one of two backups before the primary is lost, so its outcome is unknown. Once it has been read from the
// backup that took over, the other backup must have it too: no later read returns an older version.
func TestNewPrimaryReplicatesBeforeReads(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 2)
		o, h := f.operator(), &history{}
		h.add(o.put(1, 0, ""))
		lost := f.primary()
		v := lost.srv.State().View
		f.w.Split([]string{lost.addr}, []string{v.Addr(v.Backups()[1])})
		go func() { h.add(o.put(2, 0, "")) }()
		time.Sleep(40 * time.Millisecond)
		f.crashCore(lost)
		wipeDisks(lost)
		f.within(4*time.Second, "a backup is primary", func() bool { return f.primary() != nil })
		o.read(h)
		successor := f.primary()
		f.crashCore(successor)
		wipeDisks(successor)
		f.within(5*time.Second, "the other backup is primary", func() bool { return f.primary() != nil })
		o.read(h)
		if n := len(h.reads); n != 2 || h.reads[1].version < h.reads[0].version {
			t.Errorf("a later read returned an older version: %+v", h.reads)
		}
		t.Logf("%s of %v became primary, version %d was read", successor.addr, addresses(v, v.Backups()), h.reads[0].version)
		time.Sleep(7 * time.Second) // until the write with an unknown outcome has ended
		f.check(h)
	})
}

// addresses returns the addresses of the members with these IDs.
func addresses(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// Cores are lost one after the other, each replaced by a core with an empty disk at the same or a new address. Writes go on,
// nothing is lost, and the members are the running cores.
func TestSerialReplacement(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, losses int }{{3, 1}, {5, 1}, {5, 2}, {9, 2}} {
		for _, sameAddr := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d cores, %d losses, same address %v", c.cores, c.losses, sameAddr), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, c.cores, c.losses)
					previous := f.coreSettings
					f.coreSettings = func(p *coreProc) core.Settings {
						settings := previous(p)
						settings.Bootstrap = false
						settings.Seeds = nil
						for _, o := range f.cores {
							if o != p && len(settings.Seeds) < 3 {
								settings.Seeds = append(settings.Seeds, o.addr)
							}
						}
						return settings
					}
					f.founders = nil
					for _, p := range f.cores {
						f.founders = append(f.founders, p.addr)
					}
					o, h := f.operator(), &history{}
					var longest time.Duration
					var all sync.WaitGroup
					all.Go(func() { longest = f.longestOutage(o, h, time.Duration(c.cores+1)*5*time.Second) })
					for i := range c.cores + 1 {
						k := f.chance(c.cores)
						if p := f.primary(); p != nil && f.chance(2) == 0 {
							k = slices.Index(f.cores, p)
						}
						lost := f.cores[k]
						f.crashCore(lost)
						time.Sleep(time.Duration(f.chance(1000)) * time.Millisecond)
						next := &coreProc{addr: lost.addr, zone: lost.zone, disk: sim.NewDisk()}
						if !sameAddr {
							next.addr = fmt.Sprintf("10.0.3.%d:1", i+1)
						}
						f.cores[k] = next
						f.startCore(next)
						took := f.within(5*time.Second, "the members are the running cores", func() bool { return f.hasAllMembers(c.losses) })
						time.Sleep(5*time.Second - min(took, 5*time.Second))
					}
					all.Wait()
					t.Logf("%d writes, at most %s without an acknowledgement", len(h.writes), longest)
					if longest > 5*time.Second {
						t.Errorf("no write was acknowledged for %s", longest)
					}
					f.founders = f.founders[:0]
					for _, p := range f.cores {
						f.founders = append(f.founders, p.addr)
					}
					f.check(h)
				})
			})
		}
	}
}

// A partitioned member is replaced by a new core. It becomes a member again once the partition ends, even if it has restarted
// meanwhile and knows only the old view.
func TestDroppedMemberReturns(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint("started again ", restarted), func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 5, 1)
				h := &history{}
				o := f.operator()
				h.add(o.put(1, 0, ""))
				partitioned := f.cores[f.chance(5)]
				id := partitioned.srv.State().ID
				next := &coreProc{addr: "10.0.0.20:1", zone: "west", disk: sim.NewDisk()}
				f.w.Split([]string{partitioned.addr}, append(f.addrsExcept(partitioned), o.addr, next.addr))
				f.cores = append(f.cores, next)
				f.startCore(next)
				f.within(8*time.Second, "the new core has replaced the partitioned member", func() bool {
					for _, c := range f.cores {
						if c != partitioned && c.srv.State().Ready {
							v := c.srv.State().View
							return v.Addr(id) == "" && v.HasMember(next.srv.State().ID) && len(v.Members) == 5
						}
					}
					return false
				})
				h.add(o.put(2, 0, ""))
				if restarted {
					f.crashCore(partitioned)
				}
				f.w.Heal()
				if restarted {
					f.startCore(partitioned)
				}
				f.within(8*time.Second, "all six cores are members", func() bool { return f.hasAllMembers(1) })
				h.add(o.put(3, 0, ""))
				f.check(h)
			})
		})
	}
}

// A core that restarts with an empty disk at its address proves that the member it was before is lost. It replaces that member
// at once, long before a member without heartbeats counts as lost.
func TestBlankCoreReplacesItself(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"primary", "backup", "member"} {
		t.Run(role, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newUnstartedFleet(t, seed, 5, 1)
				f.lostAfter = time.Minute
				previous := f.coreSettings
				for _, c := range f.cores {
					f.startCore(c)
				}
				f.within(5*time.Second, "all cores are members", func() bool { return f.hasAllMembers(1) })
				f.coreSettings = func(c *coreProc) core.Settings {
					settings := previous(c)
					settings.Bootstrap = false
					return settings
				}
				o, h := f.operator(), &history{}
				for round := range 4 {
					h.add(o.put(round+1, 0, ""))
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
					took := f.within(4*time.Second, "the blank core has replaced its former self as a member", func() bool { return f.hasAllMembers(1) })
					t.Logf("took %s", took)
				}
				f.check(h)
			})
		})
	}
}

// Cores beyond MaxMembers wait, and one of them replaces a lost member.
func TestMaxMembers(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newUnstartedFleet(t, seed, 7, 1)
		previous := f.coreSettings
		f.coreSettings = func(c *coreProc) core.Settings {
			settings := previous(c)
			settings.MaxMembers = 5
			return settings
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
		f.within(5*time.Second, "the fleet has five members", func() bool { return len(members()) == 5 })
		time.Sleep(3 * time.Second)
		if n := len(members()); n != 5 {
			t.Fatalf("got %d members, want 5", n)
		}
		lost := f.primary()
		id := lost.srv.State().ID
		f.crashCore(lost)
		f.within(6*time.Second, "another core has replaced the lost member", func() bool {
			all := members()
			return len(all) == 5 && !slices.ContainsFunc(all, func(m view.Member) bool { return m.ID == id })
		})
	})
}

// A lost member stays a member as long as no core can replace it, so that the other members lose no safety.
func TestLostMemberStaysWithoutNewcomer(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		f.crashCore(f.cores[f.chance(5)])
		time.Sleep(10 * time.Second)
		if n := len(f.primary().srv.State().View.Members); n != 5 {
			t.Errorf("got %d members, want 5", n)
		}
	})
}

// Checks the longest time without an acknowledged write after each fault, over the seeds.
func TestLongestOutagePerFault(t *testing.T) {
	t.Parallel()
	cut := func(f *fleet, primary *coreProc, outbound, inbound bool) {
		for _, a := range f.addrsExcept(primary) {
			if outbound {
				f.w.Cut(primary.addr, a)
			}
			if inbound {
				f.w.Cut(a, primary.addr)
			}
		}
	}
	for _, c := range []struct {
		name      string
		maxOutage time.Duration
		fault     func(f *fleet, primary *coreProc, backups []*coreProc)
	}{
		{"primary cut off both ways", 4 * time.Second, func(f *fleet, primary *coreProc, _ []*coreProc) { cut(f, primary, true, true) }},
		{"primary sends but does not receive", 4 * time.Second, func(f *fleet, primary *coreProc, _ []*coreProc) { cut(f, primary, false, true) }},
		{"primary receives but does not send", 4 * time.Second, func(f *fleet, primary *coreProc, _ []*coreProc) { cut(f, primary, true, false) }},
		{"a backup's disk stalls", 2 * time.Second, func(_ *fleet, _ *coreProc, backups []*coreProc) {
			backups[0].disk.StallWrites()
			time.AfterFunc(3500*time.Millisecond, backups[0].disk.ResumeWrites)
		}},
		{"the primary's disk stalls", 3 * time.Second, func(_ *fleet, primary *coreProc, _ []*coreProc) {
			primary.disk.StallWrites()
			time.AfterFunc(3500*time.Millisecond, primary.disk.ResumeWrites)
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
					o, h := f.operator(), &history{}
					h.add(o.put(1, 0, ""))
					time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
					primary := f.primary()
					var backups []*coreProc
					for _, id := range primary.srv.State().View.Backups() {
						backups = append(backups, f.coreByID(id))
					}
					start := time.Now()
					c.fault(f, primary, backups)
					longest := f.longestOutage(o, h, 10*time.Second-time.Since(start))
					t.Logf("longest time without an acknowledged write: %s", longest)
					if longest > c.maxOutage {
						t.Errorf("no write was acknowledged for %s, want at most %s", longest, c.maxOutage)
					}
					f.settle()
					f.within(8*time.Second, "all cores are members", func() bool { return f.hasAllMembers(losses) })
					f.check(h)
				})
			})
		}
	}
}

// Random faults of every kind in a fleet of seven cores with three seeds and two tolerated losses, while cores
// lose their disks and restart empty: no acknowledged configuration is lost.
func TestMembershipUnderRandomFaults(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 7, 2)
		h := &history{}
		stop := time.Now().Add(60 * time.Second)
		for i := range 2 {
			o := f.operator()
			go func() {
				for n := 1; time.Now().Before(stop); n++ {
					h.add(o.put(i*1000+n, 0, fmt.Sprint("w-", i, "-", n)))
					time.Sleep(time.Duration(30+f.chance(200)) * time.Millisecond)
				}
			}()
		}
		for range 2 {
			o := f.operator()
			go func() {
				for time.Now().Before(stop) {
					o.read(h)
					time.Sleep(time.Duration(5+f.chance(30)) * time.Millisecond)
				}
			}()
		}
		for time.Now().Before(stop) {
			if f.chance(3) == 0 {
				f.settle()
				f.within(10*time.Second, "all cores are members", func() bool { return f.hasAllMembers(2) })
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
		time.Sleep(7 * time.Second) // until the operators' last calls have ended
		f.settle()
		f.within(10*time.Second, "all cores are members", func() bool { return f.hasAllMembers(2) })
		p := f.operator().put(99999, 0, "last")
		h.add(p)
		if p.code != 200 {
			t.Errorf("a write without any fault was answered with code %d", p.code)
		}
		f.check(h)
		ok := 0
		for _, q := range h.writes {
			if q.code == 200 {
				ok++
			}
		}
		t.Logf("%d writes, %d acknowledged", len(h.writes), ok)
	})
}

// All cores that a client knew, except the primary, are replaced one by one. When the primary is lost too, the client finds the
// next one, because it has requested the view meanwhile.
func TestClientOutlivesTheMembersItKnew(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 3, 1)
		previous := f.coreSettings
		f.coreSettings = func(p *coreProc) core.Settings {
			settings := previous(p)
			settings.Bootstrap, settings.Seeds = false, nil
			for _, o := range f.cores {
				if o != p && len(settings.Seeds) < 3 {
					settings.Seeds = append(settings.Seeds, o.addr)
				}
			}
			return settings
		}
		o, h := f.operator(), &history{}
		h.add(o.put(1, 0, ""))
		primary := f.primary()
		number := 2
		replace := func(k int) {
			lost := f.cores[k]
			f.crashCore(lost)
			next := &coreProc{addr: fmt.Sprintf("10.0.3.%d:1", k+1), zone: lost.zone, disk: sim.NewDisk()}
			f.cores[k] = next
			f.startCore(next)
			for start := time.Now(); time.Since(start) < 8*time.Second; number++ {
				h.add(o.put(number, 0, fmt.Sprint(number)))
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
		for o.put(number, 0, fmt.Sprint(number)).code != 200 && time.Since(lost) < 10*time.Second {
			number++
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(lost); took > 5*time.Second {
			t.Errorf("no write was acknowledged for %s after the loss of the last member that the client knew at first", took)
		}
	})
}

// A seed with an empty disk and Bootstrap set that can't reach the other cores does not bootstrap a new fleet: the existing one
// may have acknowledged writes. It joins once the others are reachable again.
func TestBlankSeedFoundsNothingAlone(t *testing.T) {
	t.Parallel()
	for _, others := range []string{"down", "cut off"} {
		t.Run(others, func(t *testing.T) {
			overSeeds(t, func(t *testing.T, seed uint64) {
				f := newJoinedFleet(t, seed, 5, 1)
				o, h := f.operator(), &history{}
				acknowledged := f.mustWrite(o, h)
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
						t.Fatalf("a blank seed bootstrapped a fleet alone, at epoch %d", v.Epoch)
					}
				}
				f.w.Heal()
				for _, c := range f.cores[1:] {
					if !c.up {
						f.startCore(c)
					}
				}
				f.expectReadBack(h, acknowledged)
			})
		})
	}
}

package sim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/testing/sim"
)

// isolate partitions a core from all other cores, the routers and the given operators.
func (f *fleet) isolate(c *coreProc, operators ...*operator) {
	others := f.addrsExcept(c)
	for _, o := range operators {
		others = append(others, o.addr)
	}
	f.w.Split([]string{c.addr}, others)
}

// mustWrite makes the first write and fails the test unless it is acknowledged.
func (f *fleet) mustWrite(o *operator, h *history) writeRecord {
	f.t.Helper()
	p := o.put(1, 0, "")
	h.add(p)
	if p.code != 200 {
		f.t.Fatalf("a write was answered with code %d", p.code)
	}
	return p
}

// loseDisk crashes a core and replaces its disk with an empty one.
func (f *fleet) loseDisk(c *coreProc) {
	f.crashCore(c)
	wipeDisks(c)
}

// expectReadBack waits for a primary, checks that a read returns the given acknowledged write or a later one, and checks the
// history.
func (f *fleet) expectReadBack(h *history, p writeRecord) {
	f.t.Helper()
	took := f.within(12*time.Second, "a primary is ready after the second loss", func() bool { return f.primary() != nil })
	f.t.Logf("a primary was ready after %s", took)
	o := f.operator()
	before := len(h.reads)
	o.read(h)
	if len(h.reads) == before || h.reads[before].version < p.version {
		f.t.Errorf("version %d was acknowledged, but not read back: %+v", p.version, h.reads[before:])
	}
	time.Sleep(7 * time.Second) // until the writes with an unknown outcome have ended
	f.check(h)
}

// The primary is partitioned, a backup takes over, and its disk is lost before it has replicated anything. Once the partition
// ends, the old primary still has all acknowledged writes and must be able to become primary again.
func TestNewPrimaryLostBeforeItCopied(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, h := f.operator(), &history{}
		acknowledged := f.mustWrite(o, h)
		old := f.primary()
		f.isolate(old, o)
		var next *coreProc
		for next == nil {
			time.Sleep(time.Millisecond / 4)
			for _, c := range f.cores {
				if c != old && c.srv.View().Primary == c.srv.State().ID {
					next = c
				}
			}
		}
		f.loseDisk(next)
		time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
		f.w.Heal()
		f.startCore(next)
		f.expectReadBack(h, acknowledged)
	})
}

// A backup is partitioned, and the primary loses its disk while it replaces that backup. Once the partition ends, the old
// backup still has all acknowledged writes and must be able to become primary.
func TestPrimaryLostWhileItReplacesABackup(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, h := f.operator(), &history{}
		acknowledged := f.mustWrite(o, h)
		primary := f.primary()
		backup := f.coreByID(primary.srv.View().Backups()[0])
		f.isolate(backup, o)
		go func() { h.add(o.put(2, 0, "second")) }()
		for primary.srv.State().Ready {
			time.Sleep(time.Millisecond / 4)
		}
		time.Sleep(time.Duration(f.chance(16)) * time.Millisecond)
		f.loseDisk(primary)
		time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
		f.w.Heal()
		f.startCore(primary)
		f.expectReadBack(h, acknowledged)
	})
}

// A restarted primary that stays primary begins a new epoch: messages of its previous run may still be in flight, and the
// backups must recognize them as stale.
func TestRestartedPrimaryBeginsAnEpoch(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, h := f.operator(), &history{}
		h.add(o.put(1, 0, ""))
		primary := f.primary()
		before := primary.srv.View()
		f.crashCore(primary)
		f.startCore(primary)
		took := f.within(2*time.Second, "the same core is primary again", func() bool { return primary.srv.State().Ready })
		if after := primary.srv.View(); after.Epoch <= before.Epoch {
			t.Errorf("the restarted primary is in epoch %d, want a later one than its previous run's", after.Epoch)
		}
		t.Logf("ready after %s", took)
		f.check(h)
	})
}

// A core is replaced as planned: the new one starts before the old one stops. Then another core is lost. The remaining members
// must still be a majority, so the old core must have been removed from the members by then.
func TestLossAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 5} {
		for _, replaced := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d cores, %d replaced", cores, replaced), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, cores, 1)
					o, h := f.operator(), &history{}
					h.add(o.put(1, 0, ""))
					for i := range replaced {
						old := f.cores[f.chance(len(f.cores))]
						next := &coreProc{addr: fmt.Sprintf("10.0.2.%d:1", i+1), zone: old.zone, disk: sim.NewDisk()}
						f.cores = append(f.cores, next)
						f.startCore(next)
						time.Sleep(time.Second)
						old.srv.StepDown()
						f.crashCore(old)
						f.cores = slices.DeleteFunc(f.cores, func(c *coreProc) bool { return c == old })
						time.Sleep(4 * time.Second)
					}
					f.crashCore(f.cores[f.chance(cores)])
					acknowledged := writeRecord{}
					f.within(6*time.Second, "a write is acknowledged after the loss", func() bool {
						acknowledged = o.put(10+len(h.writes), 0, "")
						h.add(acknowledged)
						return acknowledged.code == 200
					})
				})
			})
		}
	}
}

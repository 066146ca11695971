package sim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/testing/sim"
)

// isolate cuts a core off from all others, routers and operators too.
func (f *fleet) isolate(c *coreProc, operators ...*operator) {
	others := f.addrsExcept(c)
	for _, o := range operators {
		others = append(others, o.addr)
	}
	f.w.Split([]string{c.addr}, others)
}

// mustWrite makes the first write of a fleet that has no trouble.
func (f *fleet) mustWrite(o *operator, b *history) writeRecord {
	f.t.Helper()
	p := o.put(1, 0, "")
	b.add(p)
	if p.code != 200 {
		f.t.Fatalf("a write was answered %d", p.code)
	}
	return p
}

// loseDisk crashes a core and takes its disk away.
func (f *fleet) loseDisk(c *coreProc) {
	f.crashCore(c)
	wipeDisks(c)
}

// expectReadBack waits for a primary and holds what is read against the newest acknowledged write.
func (f *fleet) expectReadBack(b *history, p writeRecord) {
	f.t.Helper()
	took := f.within(12*time.Second, "a primary after the second loss", func() bool { return f.primary() != nil })
	f.t.Logf("service is back after %s", took)
	o := f.operator()
	seen := len(b.reads)
	o.read(b)
	if len(b.reads) == seen || b.reads[seen].version < p.version {
		f.t.Errorf("sequence %d was acknowledged and is not read back: %+v", p.version, b.reads[seen:])
	}
	time.Sleep(7 * time.Second) // writes in doubt end
	f.check(b)
}

// The primary is cut off, a backup takes over, and that one's disk is lost before it has copied anything to anybody:
// the old primary, back from the cut, still holds all that was acknowledged and must be able to lead.
func TestNewPrimaryLostBeforeItCopied(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, b := f.operator(), &history{}
		acknowledged := f.mustWrite(o, b)
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
		f.expectReadBack(b, acknowledged)
	})
}

// A backup is cut off, and the primary's disk is lost while it replaces that backup: the one that was cut off holds all
// that was acknowledged and must be able to lead once it is back.
func TestPrimaryLostWhileItReplacesABackup(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, b := f.operator(), &history{}
		acknowledged := f.mustWrite(o, b)
		primary := f.primary()
		backup := f.coreByID(primary.srv.View().Backups()[0])
		f.isolate(backup, o)
		go func() { b.add(o.put(2, 0, "second")) }()
		for primary.srv.State().Ready {
			time.Sleep(time.Millisecond / 4)
		}
		time.Sleep(time.Duration(f.chance(16)) * time.Millisecond)
		f.loseDisk(primary)
		time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
		f.w.Heal()
		f.startCore(primary)
		f.expectReadBack(b, acknowledged)
	})
}

// A primary that starts again leads on in an epoch of its own: what its last run sent may still be under way, and the
// backups must know it for old.
func TestRestartedPrimaryBeginsAnEpoch(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f := newJoinedFleet(t, seed, 5, 1)
		o, b := f.operator(), &history{}
		b.add(o.put(1, 0, ""))
		primary := f.primary()
		before := primary.srv.View()
		f.crashCore(primary)
		f.startCore(primary)
		took := f.within(2*time.Second, "the same core leads again", func() bool { return primary.srv.State().Ready })
		if after := primary.srv.View(); after.Epoch <= before.Epoch {
			t.Errorf("it leads epoch %d again, which its last run led", after.Epoch)
		}
		t.Logf("ready after %s", took)
		f.check(b)
	})
}

// A machine is replaced as planned, the new one first, and after the time that this may take another is lost: the members
// that are left must still be a majority. The old machine is gone for good, and must not count for ever.
func TestLossAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, cores := range []int{3, 5} {
		for _, replaced := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d cores, %d replaced", cores, replaced), func(t *testing.T) {
				overSeeds(t, func(t *testing.T, seed uint64) {
					f := newJoinedFleet(t, seed, cores, 1)
					o, b := f.operator(), &history{}
					b.add(o.put(1, 0, ""))
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
					f.within(6*time.Second, "a write after the loss", func() bool {
						acknowledged = o.put(10+len(b.writes), 0, "")
						b.add(acknowledged)
						return acknowledged.code == 200
					})
				})
			})
		}
	}
}

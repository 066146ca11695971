package sim_test

import (
	"cmp"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"
)

// maxOutageBackupUnreachable is the longest allowed time without an acknowledged write when a backup is unreachable.
const maxOutageBackupUnreachable = 500 * time.Millisecond

// maxOutageHandover is the longest allowed time without an acknowledged write when the primary hands over to a backup. It is
// less than the duration of a lease: nothing has to wait for the lease to expire.
const maxOutageHandover = 800 * time.Millisecond

// Measures the longest time without an acknowledged write after each fault, over the seeds: 12 s at most, or the fault's own
// bound. The log output is the source of the table in docs/measurements.md.
func TestRecovery(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		fault     func(f *fleet, primary, backup *coreProc)
		maxOutage time.Duration // 0: 12 s
	}{
		{"primary killed", func(f *fleet, primary, _ *coreProc) { f.crashCore(primary) }, 0},
		{"backup killed", func(f *fleet, _, backup *coreProc) { f.crashCore(backup) }, 0},
		{"backup dark", func(f *fleet, _, backup *coreProc) { f.w.Split([]string{backup.addr}, f.addrsExcept(backup)) }, maxOutageBackupUnreachable},
		{"primary cut off", func(f *fleet, primary, _ *coreProc) { f.w.Split([]string{primary.addr}, f.addrsExcept(primary)) }, 0},
		{"primary reaches its backup only", func(f *fleet, primary, backup *coreProc) {
			f.w.Split([]string{primary.addr}, f.addrsExcept(primary, backup))
		}, maxOutageHandover},
		{"primary's disk stalls", func(_ *fleet, primary, _ *coreProc) { primary.disk.Stall() }, 0},
		{"primary's disk is full", func(_ *fleet, primary, _ *coreProc) { primary.disk.Full(true) }, 0},
		{"backup's disk stalls", func(_ *fleet, _, backup *coreProc) { backup.disk.Stall() }, 0},
		{"all killed and started again", func(f *fleet, _, _ *coreProc) {
			for _, o := range f.cores {
				f.crashCore(o)
			}
			for _, o := range f.cores {
				f.startCore(o)
			}
		}, 0},
		{"two of five killed, the primary one of them", func(f *fleet, primary, backup *coreProc) {
			f.crashCore(primary)
			for _, o := range f.cores {
				if o != primary && o != backup {
					f.crashCore(o)
					break
				}
			}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all []time.Duration
			for i := range uint64(*seedCount) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, *firstSeed+i, 2)
					f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
					o := f.operator()
					if p := o.put(1, 0, ""); p.code != 200 {
						t.Fatalf("a write before the fault was answered with code %d", p.code)
					}
					time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
					primary := f.primary()
					v := primary.srv.State().View
					var backup *coreProc
					for _, o := range f.cores {
						if o.addr == v.Addr(v.FirstBackup) {
							backup = o
						}
					}
					start := time.Now()
					c.fault(f, primary, backup)

					// The longest interval without an acknowledged write within 15 s of the fault, whenever it begins.
					last, longest := start, time.Duration(0)
					for number := 2; time.Since(start) < 15*time.Second; number++ {
						if o.put(number, 0, fmt.Sprint(number)).code == 200 {
							longest, last = max(longest, time.Since(last)), time.Now()
						}
						time.Sleep(20 * time.Millisecond)
					}
					if longest = max(longest, time.Since(last)); longest > cmp.Or(c.maxOutage, 12*time.Second) {
						t.Errorf("no write was acknowledged for %s", longest)
					}
					all = append(all, longest)
				})
			}
			sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
			t.Logf("%d seeds: median %s, longest %s", len(all), all[len(all)/2].Round(10*time.Millisecond), all[len(all)-1].Round(10*time.Millisecond))
		})
	}
}

// addrsExcept returns the addresses of all processes of the fleet, including extraAddrs, except those of the given cores.
func (f *fleet) addrsExcept(except ...*coreProc) []string {
	var addrs []string
	for _, c := range f.cores {
		include := true
		for _, b := range except {
			include = include && b != c
		}
		if include {
			addrs = append(addrs, c.addr)
		}
	}
	for _, r := range f.routers {
		addrs = append(addrs, r.addr)
	}
	return append(addrs, f.extraAddrs...)
}

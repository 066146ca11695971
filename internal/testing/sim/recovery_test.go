package sim_test

import (
	"cmp"
	"fmt"
	"sort"
	"testing"
	"testing/synctest"
	"time"
)

// maxOutageBackupUnreachable bounds the time without a write where a backup gives no sign of life.
const maxOutageBackupUnreachable = 500 * time.Millisecond

// maxOutageHandover bounds the time without a write where the primary hands over to a backup: less than the term of its lease.
const maxOutageHandover = 800 * time.Millisecond

// The longest time without a write being taken after each fault, over the seeds: 12 s at most.
// The log is the table of docs/measurements.md.
func TestRecovery(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(f *fleet, lead, back *coreProc)
		most  time.Duration // without a write; 0: the bound of all
	}{
		{"primary killed", func(f *fleet, lead, _ *coreProc) { f.crashCore(lead) }, 0},
		{"backup killed", func(f *fleet, _, back *coreProc) { f.crashCore(back) }, 0},
		{"backup dark", func(f *fleet, _, back *coreProc) { f.w.Split([]string{back.addr}, f.addrsExcept(back)) }, maxOutageBackupUnreachable},
		{"primary cut off", func(f *fleet, lead, _ *coreProc) { f.w.Split([]string{lead.addr}, f.addrsExcept(lead)) }, 0},
		{"primary reaches its backup only", func(f *fleet, lead, back *coreProc) {
			f.w.Split([]string{lead.addr}, f.addrsExcept(lead, back))
		}, maxOutageHandover},
		{"primary's disk stalls", func(_ *fleet, lead, _ *coreProc) { lead.disk.Stall() }, 0},
		{"primary's disk is full", func(_ *fleet, lead, _ *coreProc) { lead.disk.Full(true) }, 0},
		{"backup's disk stalls", func(_ *fleet, _, back *coreProc) { back.disk.Stall() }, 0},
		{"all killed and started again", func(f *fleet, _, _ *coreProc) {
			for _, o := range f.cores {
				f.crashCore(o)
			}
			for _, o := range f.cores {
				f.startCore(o)
			}
		}, 0},
		{"two of five killed, the primary one of them", func(f *fleet, lead, back *coreProc) {
			f.crashCore(lead)
			for _, o := range f.cores {
				if o != lead && o != back {
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
					f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
					o := f.operator()
					if p := o.put(1, 0, ""); p.code != 200 {
						t.Fatalf("before the fault a write was answered %d", p.code)
					}
					time.Sleep(time.Duration(f.chance(2000)) * time.Millisecond)
					lead := f.primary()
					v := lead.srv.State().View
					var back *coreProc
					for _, o := range f.cores {
						if o.addr == v.Addr(v.FirstBackup) {
							back = o
						}
					}
					begun := time.Now()
					c.fault(f, lead, back)

					// Writes go on for 15 s: the longest time without one is the outage, whenever it begins.
					last, gap := begun, time.Duration(0)
					for mark := 2; time.Since(begun) < 15*time.Second; mark++ {
						if o.put(mark, 0, fmt.Sprint(mark)).code == 200 {
							gap, last = max(gap, time.Since(last)), time.Now()
						}
						time.Sleep(20 * time.Millisecond)
					}
					if gap = max(gap, time.Since(last)); gap > cmp.Or(c.most, 12*time.Second) {
						t.Errorf("%s without a write", gap)
					}
					all = append(all, gap)
				})
			}
			sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
			t.Logf("%d seeds: median %s, longest %s", len(all), all[len(all)/2].Round(10*time.Millisecond), all[len(all)-1].Round(10*time.Millisecond))
		})
	}
}

// addrsExcept is every machine but those given.
func (f *fleet) addrsExcept(but ...*coreProc) []string {
	var out []string
	for _, c := range f.cores {
		in := true
		for _, b := range but {
			in = in && b != c
		}
		if in {
			out = append(out, c.addr)
		}
	}
	for _, r := range f.routers {
		out = append(out, r.addr)
	}
	return append(out, f.extraAddrs...)
}

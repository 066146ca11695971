package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// spend is a number of units that were committed at the same time.
type spend struct {
	units int
	at    time.Time
}

// maxInWindow returns the largest number of units spent in any window.
func maxInWindow(spends []spend, window time.Duration) int {
	most := 0
	for i := range spends {
		sum := 0
		for _, later := range spends[i:] {
			if later.at.Sub(spends[i].at) < window {
				sum += later.units
			}
		}
		most = max(most, sum)
	}
	return most
}

// poolSimulation is one tenant's pool with the shares of several holders. Responses to holders are lost, holders crash, and
// their units cool.
type poolSimulation struct {
	pool         Pool
	limit        int
	window       time.Duration
	shares       map[string]*Share
	coolingSince map[string]time.Time
	spends       []spend
}

var simulatedHolders = []string{"a", "b", "c", "d"}

func newPoolSimulation(limit int, window time.Duration) *poolSimulation {
	p := &poolSimulation{limit: limit, window: window, shares: map[string]*Share{}, coolingSince: map[string]time.Time{}}
	for _, holder := range simulatedHolders {
		p.shares[holder] = NewShare()
	}
	return p
}

// step performs one random action of a random holder.
func (p *poolSimulation) step(rt *rapid.T) {
	holder := rapid.SampledFrom(simulatedHolders).Draw(rt, "holder")
	share := p.shares[holder]
	switch rapid.IntRange(0, 9).Draw(rt, "step") {
	case 0, 1, 2:
		p.acquire(rt, holder, share)
	case 3:
		if sequence, units, ok := share.NextReturn(rapid.Bool().Draw(rt, "scarce"), 4); ok {
			p.pool.Return(holder, sequence, units)
			allocated, _ := p.pool.Return(holder, sequence, units)
			share.Apply(sequence, allocated, max(p.limit, p.pool.AllocatedUnits()))
		}
	case 4, 5, 6:
		units := rapid.IntRange(1, 4).Draw(rt, "units")
		for range rapid.SampledFrom([]int{1, 100}).Draw(rt, "times") {
			if ok, _ := share.Reserve(units); !ok {
				break
			}
			share.Commit(units)
			p.spends = append(p.spends, spend{units, time.Now()})
		}
	case 7:
		time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
	case 8: // the holder crashes and restarts under the same name
		p.pool.StartCooling(holder)
		p.coolingSince[holder] = time.Now()
		p.shares[holder] = NewShare()
	case 9:
		for gone, since := range p.coolingSince {
			if time.Since(since) > p.window+2*Margin && p.pool.EndCooling(gone) {
				delete(p.coolingSince, gone)
			}
		}
	}
}

// acquire runs an acquire if the share needs one. Its response may be lost; then the acquire is repeated.
func (p *poolSimulation) acquire(rt *rapid.T, holder string, share *Share) {
	share.SetLimit(p.limit, p.window)
	sequence, units, ok := share.NextAcquire(4)
	if !ok {
		return
	}
	allocated, _ := p.pool.Acquire(holder, sequence, units, p.limit)
	limitBase := max(p.limit, p.pool.AllocatedUnits())
	if rapid.Bool().Draw(rt, "lost") {
		allocated, _ = p.pool.Acquire(holder, sequence, units, p.limit)
		limitBase = max(p.limit, p.pool.AllocatedUnits())
	}
	share.Apply(sequence, allocated, limitBase)
}

// Under any sequence of acquires, returns, spends, lost responses and crashes, the spends of all holders in any rolling window
// stay within the limit, and so do the allocated units at any time.
func TestQuotaOverAllHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			const window = 10 * time.Second
			p := newPoolSimulation(rapid.IntRange(1, 60).Draw(rt, "limit"), window)
			for range rapid.IntRange(20, 120).Draw(rt, "steps") {
				p.step(rt)
				if got := p.pool.AllocatedUnits(); got > p.limit {
					rt.Fatalf("units allocated: got %d, want at most %d", got, p.limit)
				}
			}
			if got := maxInWindow(p.spends, window); got > p.limit {
				rt.Fatalf("units within a window: got %d, want at most %d", got, p.limit)
			}
		})
	})
}

// A rejected request is to be retried when units committed at this share are released, or when other holders may have returned
// some.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name      string
		allocated int
		spent     int // at the start
		wait      time.Duration
		window    time.Duration
		cost      int
		want      time.Duration
	}{
		{"nothing allocated", 0, 0, 0, time.Second, 1, minRetryAfter},
		{"nothing spent here", 2, 0, 0, time.Second, 3, minRetryAfter},
		{"costs more than all allocated units", 2, 2, 0, time.Second, 3, minRetryAfter},
		{"units released after the maximum delay", 2, 2, 0, time.Minute, 1, maxRetryAfter},
		{"units released soon", 2, 2, 500 * time.Millisecond, time.Second, 1, 500*time.Millisecond + Margin},
		{"units released before the minimum delay", 2, 2, 1200 * time.Millisecond, time.Second, 1, minRetryAfter},
		{"no contact with the core", 2, 0, ContactTTL + time.Second, time.Second, 1, lostContactRetryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				share := newShareWith(t, test.allocated, 10, test.window)
				if test.spent > 0 {
					reserveAndCommit(t, share, test.spent)
				}
				time.Sleep(test.wait)
				if ok, got := share.Reserve(test.cost); ok || got != test.want {
					t.Errorf("Reserve(%d): got %v, %s, want false, %s", test.cost, ok, got, test.want)
				}
			})
		})
	}
}

// Units are reserved, then committed or cancelled; committed ones are free again once the window and its margin are over.
func TestReserveCommitCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		share := newShareWith(t, 5, 5, time.Second)
		check := func(step string, wantFree, wantSpent int) {
			t.Helper()
			if allocated, free, spent := share.Stats(); allocated != 5 || free != wantFree || spent != wantSpent {
				t.Errorf("%s: got %d allocated, %d free, %d spent, want 5, %d, %d", step, allocated, free, spent, wantFree, wantSpent)
			}
		}
		check("at first", 5, 0)
		if ok, _ := share.Reserve(3); !ok {
			t.Fatal("Reserve(3): got false, want true")
		}
		check("reserved", 2, 0)
		share.Cancel(1)
		check("a unit cancelled", 3, 0)
		share.Commit(2)
		check("two committed", 3, 2)
		time.Sleep(time.Second + Margin)
		check("at the end of the window", 3, 2)
		time.Sleep(time.Millisecond)
		check("after the window", 5, 0)
	})
}

// newShareWith returns a share to which this many units of a limit are allocated.
func newShareWith(t *testing.T, units, limit int, window time.Duration) *Share {
	t.Helper()
	share := NewShare()
	share.SetLimit(limit, window)
	sequence, _, ok := share.NextAcquire(1)
	if !ok {
		t.Fatal("NextAcquire of an empty share: got no transfer, want one")
	}
	share.Apply(sequence, units, limit)
	return share
}

// reserveAndCommit reserves and commits units; the test fails if too few are free.
func reserveAndCommit(t *testing.T, share *Share, units int) {
	t.Helper()
	if ok, _ := share.Reserve(units); !ok {
		t.Fatalf("Reserve(%d): got false, want true", units)
	}
	share.Commit(units)
}

// If a share has too few units, the limit counts as spent only if the core recently had none either. While the first response to
// an acquire is pending, this is unknown.
func TestUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, nodes = 10, 2
		share := NewShare()
		share.SetLimit(limit, 5*time.Second)
		check := func(when string, want bool) {
			t.Helper()
			if ok, _ := share.Reserve(1); ok {
				t.Fatalf("%s: got a unit, want none", when)
			}
			if got := share.Unanswered(); got != want {
				t.Errorf("%s: got unanswered %t, want %t", when, got, want)
			}
		}
		check("before any acquire", false)
		sequence, _, _ := share.NextAcquire(nodes)
		check("while the first acquire is in flight", true)
		share.Apply(sequence, 0, limit)
		check("after an acquire that got no units", false)
		time.Sleep(2 * exhaustedBackoff)
		if _, _, ok := share.NextAcquire(nodes); !ok {
			t.Fatal("got no acquire, want one")
		}
		check("next acquire in flight, just after one that got no units", false)
		time.Sleep(2 * scarceTTL)
		check("next acquire in flight, long after one that got no units", true)
	})
}

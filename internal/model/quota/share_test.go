package quota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/lib/daemon"
)

// whole is the quota system of some holders and one core, with answers that get lost.
type whole struct {
	pool  Pool
	quota int
}

// Any order of draws, gives, spends, lost answers, deaths and changed quotas: the rolling window
// over all holders never holds more units than the largest quota in force within it.
func TestQuotaOverAllHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			const window = 10 * time.Second
			w := whole{quota: rapid.IntRange(1, 60).Draw(rt, "quota")}
			names := []string{"a", "b", "c", "d"}
			quotaShares := map[string]*Share{}
			cool := map[string]time.Time{}
			for _, n := range names {
				quotaShares[n] = NewShare()
			}
			type hit struct {
				n  int
				at time.Time
			}
			var hits []hit
			type quotaAt struct {
				n  int
				at time.Time
			}
			quotas := []quotaAt{{w.quota, time.Now()}}
			lives := 0
			steps := rapid.IntRange(20, 120).Draw(rt, "steps")
			for range steps {
				n := names[rapid.IntRange(0, 3).Draw(rt, "who")]
				p := quotaShares[n]
				switch rapid.IntRange(0, 9).Draw(rt, "step") {
				case 0, 1, 2: // draw; the answer may be lost, and the turn asked again
					p.SetLimit(w.quota, window)
					if turn, k, ok := p.NextAcquire(4); ok {
						have, _ := w.pool.Acquire(n, turn, k, w.quota)
						under := max(w.quota, w.pool.AllocatedUnits())
						if rapid.Bool().Draw(rt, "lost") {
							have, _ = w.pool.Acquire(n, turn, k, w.quota)
							under = max(w.quota, w.pool.AllocatedUnits())
						}
						p.Apply(turn, have, under)
					}
				case 3: // give
					if turn, k, ok := p.NextReturn(rapid.Bool().Draw(rt, "short"), 4); ok {
						w.pool.Return(n, turn, k)
						have, _ := w.pool.Return(n, turn, k)
						p.Apply(turn, have, max(w.quota, w.pool.AllocatedUnits()))
					}
				case 4, 5, 6:
					k := rapid.IntRange(1, 4).Draw(rt, "units")
					for range rapid.SampledFrom([]int{1, 100}).Draw(rt, "times") {
						if ok, _ := p.Reserve(k); !ok {
							break
						}
						p.Commit(k)
						hits = append(hits, hit{k, time.Now()})
					}
				case 7:
					time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond)
				case 8: // the holder dies and comes back as another run under the same name
					lives++
					w.pool.StartCooling(n)
					cool[n] = time.Now()
					quotaShares[n] = NewShare()
				case 9:
					for who, at := range cool {
						if time.Since(at) > window+2*Margin && w.pool.EndCooling(who) {
							delete(cool, who)
						}
					}
				}
				if out := w.pool.AllocatedUnits(); out > w.quota {
					rt.Fatalf("%d units out of a quota of %d", out, w.quota)
				}
			}
			for i := range hits {
				sum := 0
				for _, h := range hits[i:] {
					if h.at.Sub(hits[i].at) < window {
						sum += h.n
					}
				}
				most := 0
				for _, q := range quotas {
					most = max(most, q.n)
				}
				if sum > most {
					rt.Fatalf("%d units within a window of a quota of %d", sum, most)
				}
			}
		})
	})
}

// A lowered quota binds each holder at once, in proportion, before any unit was given back.
func TestLoweredQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		high := rapid.IntRange(10, 200).Draw(rt, "high")
		low := rapid.IntRange(1, high).Draw(rt, "low")
		var pool Pool
		var all []*Share
		for i := range 5 {
			p := NewShare()
			p.SetLimit(high, time.Minute)
			if turn, _, ok := p.NextAcquire(1); ok {
				have, _ := pool.Acquire(string(rune('a'+i)), turn, rapid.IntRange(0, high).Draw(rt, "units"), high)
				p.Apply(turn, have, max(high, pool.AllocatedUnits()))
			}
			all = append(all, p)
		}
		sum := 0
		for _, p := range all {
			p.SetLimit(low, time.Minute)
			for {
				if ok, _ := p.Reserve(1); !ok {
					break
				}
				p.Commit(1)
				sum++
			}
		}
		if sum > low {
			rt.Fatalf("%d units spent under a quota of %d", sum, low)
		}
	})
}

// A holder that hears the core spends on for as long as it likes, also without a move; one that
// does not stops once the term is over.
func TestContactTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		var live atomic.Bool
		live.Store(true)
		var mu sync.Mutex
		var pool Pool
		ps := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, move Transfer) (int, int, error) {
				turn, n := move.Sequence, move.Units
				mu.Lock()
				defer mu.Unlock()
				if !live.Load() {
					return 0, 0, errors.New("cut off")
				}
				have, _ := pool.Acquire("a", turn, n, 100)
				return have, max(100, pool.AllocatedUnits()), nil
			},
			Nodes: func() int { return 1 }, ScarceTenants: func() []string { return nil },
			Rules:     func() []Rule { return []Rule{{"t", 100, 10 * time.Second}} },
			InContact: live.Load})
		go ps.Run()
		spend := func() bool {
			ok, _ := ps.Reserve(ctx, "t", 1)
			if ok {
				ps.For("t").Commit(1)
			}
			return ok
		}
		time.Sleep(time.Second)
		if !spend() {
			t.Error("nothing to spend at first")
		}
		time.Sleep(ContactTTL + time.Hour)
		if !spend() {
			t.Error("a holder that hears the core stopped spending after the term")
		}
		live.Store(false)
		time.Sleep(ContactTTL - time.Hour)
		if !spend() {
			t.Error("a cut-off holder stopped spending within the term")
		}
		time.Sleep(2 * time.Hour)
		if spend() {
			t.Error("a cut-off holder spends on after the term")
		}
	})
}

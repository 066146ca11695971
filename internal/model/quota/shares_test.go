package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"yarrowridge/internal/lib/daemon"
)

// crowd is a large fleet of holders that share one tenant's small quota.
type crowd struct {
	quotaShares []*Shares
	moves       atomic.Int64
	short       atomic.Bool
}

// newCrowd starts so many holders. A move takes five milliseconds.
func newCrowd(ctx context.Context, holders, quota int, window time.Duration) *crowd {
	c := &crowd{}
	var mu sync.Mutex
	var pool Pool
	for i := range holders {
		name := string(rune('A' + i))
		ps := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, move Transfer) (int, int, error) {
				turn, n, give := move.Sequence, move.Units, move.Return
				c.moves.Add(1)
				time.Sleep(5 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if give {
					have, _ := pool.Return(name, turn, n)
					return have, max(quota, pool.AllocatedUnits()), nil
				}
				was := pool.Allocations[name].Units
				have, _ := pool.Acquire(name, turn, n, quota)
				if have-was < n {
					c.short.Store(true)
				}
				return have, max(quota, pool.AllocatedUnits()), nil
			},
			Nodes: func() int { return holders },
			ScarceTenants: func() []string {
				if c.short.Load() {
					return []string{"t"}
				}
				return nil
			},
			Rules:     func() []Rule { return []Rule{{"t", quota, window}} },
			InContact: func() bool { return true }})
		c.quotaShares = append(c.quotaShares, ps)
		go ps.Run()
	}
	return c
}

// A fleet with more holders than a tenant has units serves the tenant's requests all the same, wherever
// they come, while they keep within the quota.
func TestFewerUnitsThanHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second) // for the moves under way
		defer end()
		const holders, quota, window = 60, 40, 5 * time.Second
		c := newCrowd(ctx, holders, quota, window)
		time.Sleep(2 * time.Second)
		if n := c.moves.Load(); n != 0 {
			t.Errorf("%d moves before any request", n)
		}
		random := rand.New(rand.NewPCG(1, 2))
		asked := 0
		var refused atomic.Int64
		var all sync.WaitGroup
		for range 400 { // four a second: half of the quota
			asked++
			ps := c.quotaShares[random.IntN(holders)]
			all.Go(func() {
				if ok, _ := ps.Reserve(ctx, "t", 1); ok {
					ps.For("t").Commit(1)
				} else {
					refused.Add(1)
				}
			})
			time.Sleep(250 * time.Millisecond)
		}
		all.Wait()
		t.Logf("%d of %d requests refused within the quota, %d moves", refused.Load(), asked, c.moves.Load())
		if refused.Load() > int64(asked/50) {
			t.Errorf("%d of %d requests refused within the quota", refused.Load(), asked)
		}
	})
}

// Requests that come at one moment to a holder without units wait for one draw that asks for all of them.
func TestOneDrawForAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second) // for the moves under way
		defer end()
		c := newCrowd(ctx, 60, 40, 5*time.Second)
		time.Sleep(time.Second)
		var refused atomic.Int64
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				if ok, _ := c.quotaShares[0].Reserve(ctx, "t", 1); !ok {
					refused.Add(1)
				}
			})
		}
		all.Wait()
		if refused.Load() > 0 {
			t.Errorf("%d of 20 refused", refused.Load())
		}
		if n := c.moves.Load(); n > 3 {
			t.Errorf("%d moves for requests of one moment", n)
		}
	})
}

// While the core does not answer, a request with a deadline waits for it; one without is refused soon.
func TestWaitForACoreThatChangesHands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer end()
		ps := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, move Transfer) (int, int, error) {
				n := move.Units
				time.Sleep(600 * time.Millisecond)
				return n, 40, nil
			},
			Nodes: func() int { return 60 }, ScarceTenants: func() []string { return nil },
			Rules:     func() []Rule { return []Rule{{"t", 40, 5 * time.Second}} },
			InContact: func() bool { return true }})
		go ps.Run()
		time.Sleep(time.Second)
		begun := time.Now()
		if ok, _ := ps.Reserve(ctx, "t", 1); ok || time.Since(begun) > 400*time.Millisecond {
			t.Errorf("without a deadline: %v after %s, a refusal within 400ms expected", ok, time.Since(begun))
		}
		bounded, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancel()
		if ok, _ := ps.Reserve(bounded, "t", 1); !ok {
			t.Errorf("with a deadline: refused after %s", time.Since(begun))
		}
	})
}

// With a tolerance, no rolling window over all holders holds more than the quota and the tolerance, and no span
// of three windows more than three quotas and one tolerance, whoever dies and whenever, in each window too.
func TestToleranceOverAllHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			const window = time.Second
			type spending struct {
				units int
				at    time.Time
			}
			quota := rapid.IntRange(1, 60).Draw(rt, "quota")
			tolerance := rapid.IntRange(0, 20).Draw(rt, "tolerance")
			var pool Pool
			var spendings []spending
			names := []string{"a", "b", "c", "d"}
			quotaShares, runs, cools := map[string]*Share{}, map[string]int{}, map[string]time.Time{}
			charge, charged := uint64(0), map[uint64]time.Time{}
			const spans = 3
			for _, name := range names {
				quotaShares[name] = NewShare()
			}
			for range rapid.IntRange(20, 150).Draw(rt, "steps") {
				name := names[rapid.IntRange(0, 3).Draw(rt, "who")]
				quotaShare, who := quotaShares[name], fmt.Sprintf("%s/%d", name, runs[name])
				switch rapid.IntRange(0, 10).Draw(rt, "step") {
				case 0, 1, 2, 3:
					quotaShare.SetLimit(quota, window)
					if turn, units, ok := quotaShare.NextAcquire(4); ok {
						charge++
						charged[charge] = time.Now()
						have, _ := pool.AcquireWithTolerance(who, turn, units, quota, tolerance, charge)
						if rapid.Bool().Draw(rt, "lost") {
							have, _ = pool.AcquireWithTolerance(who, turn, units, quota, tolerance, charge)
						}
						quotaShare.Apply(turn, have, pool.LimitBase(quota))
					}
				case 4, 5, 6:
					for {
						if ok, _ := quotaShare.Reserve(1); !ok {
							break
						}
						quotaShare.Commit(1)
						spendings = append(spendings, spending{1, time.Now()})
					}
				case 7:
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
				case 8: // the holder dies and comes back as another run
					pool.StartCooling(who)
					cools[who] = time.Now()
					runs[name]++
					quotaShares[name] = NewShare()
				case 10:
					if turn, units, ok := quotaShare.NextReturn(rapid.Bool().Draw(rt, "short"), 4); ok {
						have, _ := pool.Return(who, turn, units)
						quotaShare.Apply(turn, have, pool.LimitBase(quota))
					}
				case 9:
					for dead, at := range cools {
						if time.Since(at) > window+Margin {
							pool.EndCooling(dead)
							delete(cools, dead)
						}
					}
					for id, at := range charged {
						if time.Since(at) > (spans+1)*window+Margin {
							pool.RemoveCharge(id)
							delete(charged, id)
						}
					}
				}
			}
			for i := range spendings {
				sum, long := 0, 0
				for _, later := range spendings[i:] {
					if later.at.Sub(spendings[i].at) < window {
						sum += later.units
					}
					if later.at.Sub(spendings[i].at) < spans*window {
						long += later.units
					}
				}
				if sum > quota+tolerance {
					rt.Fatalf("%d units within a window, under a quota of %d and a tolerance of %d", sum, quota, tolerance)
				}
				if long > spans*quota+tolerance {
					rt.Fatalf("%d units within %d windows, under a quota of %d and a tolerance of %d", long, spans, quota, tolerance)
				}
			}
		})
	})
}

// Without a core no idle units are given back: they go on serving here, and a request that finds none is
// refused soon once the core has been silent for long.
func TestUnitsStayWithoutACore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(10 * time.Second)
		defer end()
		var gone atomic.Bool
		ps := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(ctx context.Context, move Transfer) (int, int, error) {
				n := move.Units
				if gone.Load() {
					<-ctx.Done()
					return 0, 0, ctx.Err()
				}
				return n, 40, nil
			},
			Nodes: func() int { return 60 }, ScarceTenants: func() []string { return []string{"t"} },
			Rules:     func() []Rule { return []Rule{{"t", 40, time.Second}} },
			InContact: func() bool { return !gone.Load() }})
		go ps.Run()
		time.Sleep(time.Second)
		if ok, _ := ps.Reserve(ctx, "t", 1); !ok {
			t.Fatal("no unit drawn from a core that answers")
		}
		ps.For("t").Commit(1)
		gone.Store(true)
		time.Sleep(20 * time.Second)
		bounded, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancel()
		if ok, _ := ps.Reserve(bounded, "t", 1); !ok {
			t.Error("the unit held here was given up while there was no core")
		}
		begun := time.Now()
		if ok, _ := ps.Reserve(bounded, "t", 1); ok || time.Since(begun) > 100*time.Millisecond {
			t.Errorf("%v after %s, a refusal within 100ms expected", ok, time.Since(begun))
		}
	})
}

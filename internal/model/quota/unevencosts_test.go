package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// unevenFleet is a fleet of routers that acquire units of one pool under the core's allocation policy.
type unevenFleet struct {
	mu     sync.Mutex
	pool   Pool   // guarded by mu
	saving Saving // guarded by mu
	limit  atomic.Int64
	scarce atomic.Bool
	shares []*Shares
}

func newUnevenFleet(ctx context.Context, routers, limit int, window time.Duration) *unevenFleet {
	fleet := &unevenFleet{}
	fleet.limit.Store(int64(limit))
	for i := range routers {
		holder := string(rune('a' + i))
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, transfer Transfer) (int, int, error) {
				time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
				return fleet.apply(holder, transfer)
			},
			Nodes: func() int { return routers },
			ScarceTenants: func() []string {
				if fleet.scarce.Load() {
					return []string{"t"}
				}
				return nil
			},
			Rules:     func() []Rule { return []Rule{{"t", int(fleet.limit.Load()), window}} },
			InContact: func() bool { return true }, Margin: 50 * time.Millisecond})
		go shares.Run()
		fleet.shares = append(fleet.shares, shares)
	}
	return fleet
}

// apply applies a transfer to the pool as the core does.
func (f *unevenFleet) apply(holder string, transfer Transfer) (allocated, limitBase int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := int(f.limit.Load())
	if transfer.Return {
		allocated, _ = f.pool.Return(holder, transfer.Sequence, transfer.Units)
		return allocated, f.pool.LimitBase(limit), nil
	}
	free := max(0, limit-f.pool.AllocatedUnits())
	units, unmet := min(transfer.Units, (free+AcquireDivisor-1)/AcquireDivisor), false
	if len(transfer.Costs) > 0 {
		units, unmet = f.saving.Allocate(time.Now(), free, limit, transfer.Costs, transfer.Units)
	}
	allocated, _ = f.pool.Acquire(holder, transfer.Sequence, units, limit)
	f.scarce.Store(unmet || free-units < limit/8)
	return allocated, f.pool.LimitBase(limit), nil
}

// sendRequests sends requests of the given costs to random routers, and returns the admitted and the rejected ones.
func (f *unevenFleet) sendRequests(ctx context.Context, requests int, interval time.Duration, cost func() int) (admitted, rejected []spend) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for range requests {
		time.Sleep(interval)
		running.Go(func() {
			units := cost()
			shares := f.shares[rand.IntN(len(f.shares))]
			ok, _ := shares.Reserve(ctx, "t", units)
			if ok {
				shares.For("t").Commit(units)
			}
			mu.Lock()
			defer mu.Unlock()
			request := spend{units, time.Now()}
			if ok {
				admitted = append(admitted, request)
			} else {
				rejected = append(rejected, request)
			}
		})
	}
	running.Wait()
	return admitted, rejected
}

// unevenCost returns a random cost from a mix of many short questions and some long summaries.
func unevenCost() int {
	if rand.IntN(7) == 0 {
		return 10_000 + rand.IntN(20_000)
	}
	return 100 + rand.IntN(600)
}

// If a tenant uses seven tenths of its limit on average, almost none of its requests are rejected, even if their costs are
// uneven and they are spread over many routers.
func TestUnevenCostsUnderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer cancel()
		const window = 8 * time.Second
		perWindow := 80 * (20_000/7 + 350) // one request every 100 ms
		limit := perWindow * 10 / 7
		fleet := newUnevenFleet(ctx, 20, limit, window)
		time.Sleep(time.Second)
		admitted, rejected := fleet.sendRequests(ctx, 900, 100*time.Millisecond, unevenCost)
		if got := maxInWindow(admitted, window); got > limit {
			t.Errorf("units in a window: got %d, want at most %d", got, limit)
		}
		if len(rejected) > 45 {
			t.Errorf("requests rejected: got %d of 900, want at most 45", len(rejected))
		}
	})
}

// A tenant's requests need far more than its limit, which is then lowered: the spends in any window stay within the limit in
// force, and the admitted requests use most of the limit.
func TestUnevenCostsFarAboveLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer cancel()
		const window, limit = 8 * time.Second, 250_000
		fleet := newUnevenFleet(ctx, 20, limit, window)
		time.Sleep(time.Second)
		admitted, rejected := fleet.sendRequests(ctx, 3000, 10*time.Millisecond, unevenCost)
		if got := maxInWindow(admitted, window); got > limit {
			t.Errorf("units in a window: got %d, want at most %d", got, limit)
		}
		large, small := 0, 0
		for _, request := range admitted {
			if request.units >= 10_000 {
				large += request.units
			} else {
				small += request.units
			}
		}
		if got, want := large+small, limit*30/8*7/10; got < want {
			t.Errorf("units admitted over 30s: got %d, want at least %d", got, want)
		}
		if small == 0 || large == 0 {
			t.Errorf("units admitted: got %d of large requests and %d of small ones, want some of both", large, small)
		}
		t.Logf("%d admitted, %d rejected, %d units of large requests, %d of small ones", len(admitted), len(rejected), large, small)
		fleet.limit.Store(limit / 4)
		time.Sleep(time.Second) // the routers apply the lower limit within transferInterval
		time.Sleep(window)
		admitted, _ = fleet.sendRequests(ctx, 1500, 10*time.Millisecond, unevenCost)
		if got := maxInWindow(admitted, window); got > limit/4 {
			t.Errorf("units in a window under the lowered limit: got %d, want at most %d", got, limit/4)
		}
	})
}

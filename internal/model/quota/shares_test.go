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

// holderFleet is a fleet of many holders that share one tenant's small limit.
type holderFleet struct {
	shares    []*Shares
	transfers atomic.Int64
	scarce    atomic.Bool

	mu    sync.Mutex
	pool  Pool // guarded by mu
	limit int
}

// newHolderFleet starts this many holders.
func newHolderFleet(ctx context.Context, holders, limit int, window time.Duration) *holderFleet {
	fleet := &holderFleet{limit: limit}
	for i := range holders {
		holder := string(rune('A' + i))
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, transfer Transfer) (int, int, error) { return fleet.apply(holder, transfer) },
			Nodes:    func() int { return holders },
			ScarceTenants: func() []string {
				if fleet.scarce.Load() {
					return []string{"t"}
				}
				return nil
			},
			Rules:     func() []Rule { return []Rule{{"t", limit, window}} },
			InContact: func() bool { return true }})
		fleet.shares = append(fleet.shares, shares)
		go shares.Run()
	}
	return fleet
}

// apply applies a transfer to the pool after a delay of five milliseconds.
func (f *holderFleet) apply(holder string, transfer Transfer) (allocated, limitBase int, err error) {
	f.transfers.Add(1)
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if transfer.Return {
		allocated, _ = f.pool.Return(holder, transfer.Sequence, transfer.Units)
		return allocated, max(f.limit, f.pool.AllocatedUnits()), nil
	}
	before := f.pool.Allocations[holder].Units
	allocated, _ = f.pool.Acquire(holder, transfer.Sequence, transfer.Units, f.limit)
	if allocated-before < transfer.Units {
		f.scarce.Store(true)
	}
	return allocated, max(f.limit, f.pool.AllocatedUnits()), nil
}

// A fleet with more holders than a tenant has units admits the tenant's requests at any holder as long as they are within the
// limit.
func TestFewerUnitsThanHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second) // for the transfers in flight
		defer cancel()
		const holders, limit, window = 60, 40, 5 * time.Second
		fleet := newHolderFleet(ctx, holders, limit, window)
		time.Sleep(2 * time.Second)
		if got := fleet.transfers.Load(); got != 0 {
			t.Errorf("transfers before any request: got %d, want 0", got)
		}
		random := rand.New(rand.NewPCG(1, 2))
		const requests = 400
		var rejected atomic.Int64
		var running sync.WaitGroup
		for range requests { // four per second: half of the limit
			shares := fleet.shares[random.IntN(holders)]
			running.Go(func() {
				if ok, _ := shares.Reserve(ctx, "t", 1); ok {
					shares.For("t").Commit(1)
				} else {
					rejected.Add(1)
				}
			})
			time.Sleep(250 * time.Millisecond)
		}
		running.Wait()
		t.Logf("%d of %d requests rejected within the limit, %d transfers", rejected.Load(), requests, fleet.transfers.Load())
		if got := rejected.Load(); got > requests/50 {
			t.Errorf("requests rejected within the limit: got %d of %d, want at most %d", got, requests, requests/50)
		}
	})
}

// Requests that arrive at the same time at a holder without units share one acquire for all of them.
func TestOneAcquireForAllWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second) // for the transfers in flight
		defer cancel()
		fleet := newHolderFleet(ctx, 60, 40, 5*time.Second)
		time.Sleep(time.Second)
		var rejected atomic.Int64
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() {
				if ok, _ := fleet.shares[0].Reserve(ctx, "t", 1); !ok {
					rejected.Add(1)
				}
			})
		}
		running.Wait()
		if got := rejected.Load(); got > 0 {
			t.Errorf("requests rejected: got %d of 20, want 0", got)
		}
		if got := fleet.transfers.Load(); got > 3 {
			t.Errorf("transfers for simultaneous requests: got %d, want at most 3", got)
		}
	})
}

// While the core does not respond, as during a change of the primary, a request with a deadline waits for it; a request without
// one is rejected soon.
func TestReserveWaitsForPrimaryChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(time.Second)
		defer cancel()
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(_ context.Context, transfer Transfer) (int, int, error) {
				time.Sleep(600 * time.Millisecond)
				return transfer.Units, 40, nil
			},
			Nodes: func() int { return 60 }, ScarceTenants: func() []string { return nil },
			Rules:     func() []Rule { return []Rule{{"t", 40, 5 * time.Second}} },
			InContact: func() bool { return true }})
		go shares.Run()
		time.Sleep(time.Second)
		start := time.Now()
		if ok, _ := shares.Reserve(ctx, "t", 1); ok || time.Since(start) > 400*time.Millisecond {
			t.Errorf("without a deadline: got %v after %s, want false within 400ms", ok, time.Since(start))
		}
		bounded, cancelBounded := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancelBounded()
		if ok, _ := shares.Reserve(bounded, "t", 1); !ok {
			t.Errorf("with a deadline: got false after %s, want true", time.Since(start))
		}
	})
}

// Without contact with the core, a share returns no idle units, so that requests can still use them. Once contact has been lost
// for long, a request for which there are too few units is rejected soon.
func TestNoReturnWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer time.Sleep(10 * time.Second)
		defer cancel()
		var unreachable atomic.Bool
		shares := NewShares(daemon.Context{Context: ctx}, Config{
			Transfer: func(ctx context.Context, transfer Transfer) (int, int, error) {
				if unreachable.Load() {
					<-ctx.Done()
					return 0, 0, ctx.Err()
				}
				return transfer.Units, 40, nil
			},
			Nodes: func() int { return 60 }, ScarceTenants: func() []string { return []string{"t"} },
			Rules:     func() []Rule { return []Rule{{"t", 40, time.Second}} },
			InContact: func() bool { return !unreachable.Load() }})
		go shares.Run()
		time.Sleep(time.Second)
		if ok, _ := shares.Reserve(ctx, "t", 1); !ok {
			t.Fatal("Reserve with a core that responds: got false, want true")
		}
		shares.For("t").Commit(1)
		unreachable.Store(true)
		time.Sleep(20 * time.Second)
		bounded, cancelBounded := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancelBounded()
		if ok, _ := shares.Reserve(bounded, "t", 1); !ok {
			t.Error("Reserve of the allocated unit without contact: got false, want true")
		}
		start := time.Now()
		if ok, _ := shares.Reserve(bounded, "t", 1); ok || time.Since(start) > 100*time.Millisecond {
			t.Errorf("Reserve of another unit without contact: got %v after %s, want false within 100ms", ok, time.Since(start))
		}
	})
}

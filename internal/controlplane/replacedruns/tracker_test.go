package replacedruns

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/testing/sim"
)

// poolRunner applies the operations of a tracker one at a time, as the core's run loop does, or drops them.
type poolRunner struct {
	t               *testing.T
	mu              sync.Mutex // held while an operation is applied
	pools           *quotapool.Pools
	committed       *store.Store
	dropsOperations bool
}

func newPoolRunner(t *testing.T) *poolRunner {
	committed, err := store.Open(sim.NewDisk().Open(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &poolRunner{t: t, pools: quotapool.New(), committed: committed}
}

func (r *poolRunner) submit(operation func(*transaction.Tx) error) {
	if r.dropsOperations {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tx := transaction.New(r.committed)
	if err := operation(tx); err != nil {
		r.t.Error(err)
	}
	if err := r.committed.Append(store.Batch{Version: r.committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		r.t.Error(err)
	}
}

// unavailableUnits returns how many of the limit's units another holder cannot acquire since they are allocated or cooling.
func (r *poolRunner) unavailableUnits(limit int) (units int) {
	document := &configuration.Document{Quotas: map[string]int{"t": limit}}
	tx := transaction.New(r.committed) // not committed
	for sequence := range uint64(100) {
		move := &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence + 1, Units: limit}
		result, _, err := r.pools.Transfer(tx, "other@9/1", move, document)
		if err != nil {
			r.t.Fatal(err)
		}
		units = limit - result.HeldUnits
	}
	return units
}

// acquire acquires units for a holder.
func (r *poolRunner) acquire(holder string, sequence uint64, units int) {
	document := &configuration.Document{Quotas: map[string]int{"t": 100}}
	r.submit(func(tx *transaction.Tx) error {
		_, _, err := r.pools.Transfer(tx, holder, &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence, Units: units}, document)
		return err
	})
}

var errNoAnswer = errors.New("no answer")

// The cooling period of an earlier run's units starts only after the router confirms that the reported run is alive. It does
// not start if another run responds or if there is no response.
func TestUnitsCoolOnceTheSuccessorIsConfirmed(t *testing.T) {
	node := coreapi.Node{Name: "a", Addr: "1", Run: 2}
	for _, c := range []struct {
		name      string
		holder    string // with units
		run       uint64 // in the response
		err       error
		wantFreed bool
	}{
		{"the run answers", "a@1/1", 2, nil, true},
		{"the run answers, which has the address of another node", "old@1/1", 2, nil, true},
		{"another run answers", "a@1/1", 3, nil, false},
		{"no run answers", "a@1/1", 0, errNoAnswer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newPoolRunner(t)
				r.acquire(c.holder, 1, 4)
				queries := 0
				queryRun := func(_ context.Context, addr string) (uint64, error) {
					queries++
					if addr != "1" {
						t.Errorf("got a query at %s, want one at 1", addr)
					}
					return c.run, c.err
				}
				tracker := New(t.Context(), r.pools, queryRun, r.submit)
				tracker.Add(node, time.Minute)
				time.Sleep(time.Second)
				synctest.Wait()
				if queries != 1 {
					t.Errorf("got %d queries, want 1", queries)
				}
				r.freeCooling(node)
				if isFreed := r.unavailableUnits(100) == 0; isFreed != c.wantFreed {
					t.Errorf("got the units of the earlier run freed: %t, want %t", isFreed, c.wantFreed)
				}
			})
		})
	}
}

// freeCooling sweeps the pools twice, with enough time in between for cooling units to become free.
func (r *poolRunner) freeCooling(live coreapi.Node) {
	holders := quotapool.LiveHolders{Holders: map[string]bool{coreapi.Holder(live): true}}
	document := &configuration.Document{Quotas: map[string]int{"t": 100}, Windows: map[string]time.Duration{"t": time.Second}}
	for range 2 {
		if operation, _ := r.pools.Sweep(r.committed, document, holders); operation != nil {
			r.submit(operation)
		}
		time.Sleep(2 * time.Second)
	}
}

// A router is not queried if no earlier run at its address has units.
func TestNoQueryWithoutEarlierRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/2", 1, 4)
		r.acquire("b@2/1", 1, 4)
		queryRun := func(_ context.Context, addr string) (uint64, error) {
			t.Errorf("got a query at %s, want none", addr)
			return 0, errNoAnswer
		}
		New(t.Context(), r.pools, queryRun, r.submit).Add(coreapi.Node{Name: "a", Addr: "1", Run: 2}, 0)
		time.Sleep(time.Second)
	})
}

// A run that starts while its predecessor is being queried keeps the units that it acquires, even if the predecessor's response
// arrives afterwards.
func TestUnitsAcquiredDuringTheQueryStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/1", 1, 4)
		queryRun := func(context.Context, string) (uint64, error) {
			time.Sleep(100 * time.Millisecond)
			r.acquire("a@1/3", 1, 5)
			time.Sleep(100 * time.Millisecond)
			return 2, nil
		}
		New(t.Context(), r.pools, queryRun, r.submit).Add(coreapi.Node{Name: "a", Addr: "1", Run: 2}, 0)
		time.Sleep(time.Second)
		synctest.Wait()
		r.freeCooling(coreapi.Node{Name: "a", Addr: "1", Run: 3})
		if units := r.unavailableUnits(100); units != 5 {
			t.Errorf("got %d unavailable units, want the 5 of the third run", units)
		}
	})
}

// If a lookup is dropped because too many operations are waiting, later lookups are still made.
func TestLookupAfterADroppedLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/1", 1, 4)
		queries := 0
		queryRun := func(context.Context, string) (uint64, error) {
			queries++
			return 2, nil
		}
		tracker := New(t.Context(), r.pools, queryRun, r.submit)
		node := coreapi.Node{Name: "a", Addr: "1", Run: 2}
		r.dropsOperations = true
		tracker.Add(node, 0)
		time.Sleep(time.Second)
		synctest.Wait()
		r.dropsOperations = false
		tracker.Add(node, 0)
		time.Sleep(time.Second)
		synctest.Wait()
		if queries != 1 {
			t.Errorf("got %d queries after the dropped lookup, want 1", queries)
		}
	})
}

// Reports of the same run within batchDelay are merged, with the earliest start. A report of another run replaces them.
func TestPendingRuns(t *testing.T) {
	tracker := New(t.Context(), nil, nil, nil)
	now := time.Now()
	node, other := coreapi.Node{Name: "a", Addr: "1", Run: 2}, coreapi.Node{Name: "a", Addr: "1", Run: 3}
	if !tracker.addPending(node, now.Add(-time.Minute)) || tracker.addPending(node, now) {
		t.Error("got a wrong isFirst: want true for the first report and false for the second")
	}
	if got := tracker.pending["1"]; got.Node != node || !got.LatestStart.Equal(now.Add(-time.Minute)) {
		t.Errorf("got %+v, want run 2 started a minute ago", got)
	}
	tracker.addPending(other, now)
	if got := tracker.takePending()["1"]; got.Node != other || !got.LatestStart.Equal(now) {
		t.Errorf("got %+v, want run 3 started now", got)
	}
	if left := tracker.takePending(); len(left) > 0 {
		t.Errorf("got %v pending after takePending, want none", left)
	}
}

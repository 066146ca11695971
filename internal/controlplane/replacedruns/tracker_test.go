package replacedruns

import (
	"context"
	"errors"
	"io"
	"log/slog"
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

// poolRunner applies the operations of a tracker at once, or drops them.
type poolRunner struct {
	t               *testing.T
	pools           *quotapool.Pools
	committed       *store.Store
	dropsOperations bool
}

func newPoolRunner(t *testing.T) *poolRunner {
	committed, err := store.Open(sim.NewDisk().Use(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return &poolRunner{t: t, pools: quotapool.New(), committed: committed}
}

func (r *poolRunner) submit(operation func(*transaction.Tx) error) {
	if r.dropsOperations {
		return
	}
	tx := transaction.New(r.committed)
	if err := operation(tx); err != nil {
		r.t.Error(err)
	}
	if err := r.committed.Append(store.Batch{Version: r.committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		r.t.Error(err)
	}
}

// unavailableUnits is how many of the limit's units a holder can't get, since others hold them or they cool.
func (r *poolRunner) unavailableUnits(limit int) (held int) {
	document := &configuration.Document{Quotas: map[string]int{"t": limit}}
	tx := transaction.New(r.committed) // not committed
	for sequence := range uint64(100) {
		move := &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence + 1, Units: limit}
		result, _, err := r.pools.Transfer(tx, "other@9/1", move, document)
		if err != nil {
			r.t.Fatal(err)
		}
		held = limit - result.Held
	}
	return held
}

// acquire has a holder acquire units.
func (r *poolRunner) acquire(holder string, sequence uint64, units int) {
	document := &configuration.Document{Quotas: map[string]int{"t": 100}}
	r.submit(func(tx *transaction.Tx) error {
		_, _, err := r.pools.Transfer(tx, holder, &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence, Units: units}, document)
		return err
	})
}

var errNoAnswer = errors.New("no answer")

// The units of an earlier run cool only once the router says that the run which was heard of is alive: not while another
// run answers, nor while nobody does.
func TestUnitsCoolOnceTheSuccessorIsConfirmed(t *testing.T) {
	node := coreapi.Node{Name: "a", Addr: "1", Run: 2}
	for _, c := range []struct {
		name      string
		holder    string // that has units
		run       uint64 // that answers
		err       error
		wantFreed bool
	}{
		{"the run answers", "a@1/1", 2, nil, true},
		{"the run answers, which has the address of another node", "old@1/1", 2, nil, true},
		{"another run answers", "a@1/1", 3, nil, false},
		{"nobody answers", "a@1/1", 0, errNoAnswer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newPoolRunner(t)
				r.acquire(c.holder, 1, 4)
				queries := 0
				runAt := func(_ context.Context, addr string) (uint64, error) {
					queries++
					if addr != "1" {
						t.Errorf("got a query at %s, want one at 1", addr)
					}
					return c.run, c.err
				}
				tracker := New(t.Context(), r.pools, runAt, r.submit)
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

// freeCooling sweeps the pools twice, for so long apart that cooling units are free.
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

// A router without earlier runs that hold units is not asked.
func TestNoQueryWithoutEarlierRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/2", 1, 4)
		r.acquire("b@2/1", 1, 4)
		runAt := func(_ context.Context, addr string) (uint64, error) {
			t.Errorf("got a query at %s, want none", addr)
			return 0, errNoAnswer
		}
		New(t.Context(), r.pools, runAt, r.submit).Add(coreapi.Node{Name: "a", Addr: "1", Run: 2}, 0)
		time.Sleep(time.Second)
	})
}

// A run that begins while its predecessor is asked keeps what it acquires, although the predecessor's answer comes late.
func TestUnitsAcquiredDuringTheQueryStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/1", 1, 4)
		runAt := func(context.Context, string) (uint64, error) {
			time.Sleep(100 * time.Millisecond)
			r.acquire("a@1/3", 1, 5)
			time.Sleep(100 * time.Millisecond)
			return 2, nil
		}
		New(t.Context(), r.pools, runAt, r.submit).Add(coreapi.Node{Name: "a", Addr: "1", Run: 2}, 0)
		time.Sleep(time.Second)
		synctest.Wait()
		r.freeCooling(coreapi.Node{Name: "a", Addr: "1", Run: 3})
		if held := r.unavailableUnits(100); held != 5 {
			t.Errorf("got %d units held, want the 5 of the third run", held)
		}
	})
}

// A lookup that is dropped, as too many operations wait, holds up none of the later ones.
func TestDroppedLookupIsMadeUpFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPoolRunner(t)
		r.acquire("a@1/1", 1, 4)
		queries := 0
		runAt := func(context.Context, string) (uint64, error) {
			queries++
			return 2, nil
		}
		tracker := New(t.Context(), r.pools, runAt, r.submit)
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

// Reports of one run within the interval count as one, with the greatest age; one of another run replaces them.
func TestGatheredRuns(t *testing.T) {
	tracker := New(t.Context(), nil, nil, nil)
	now := time.Now()
	node, other := coreapi.Node{Name: "a", Addr: "1", Run: 2}, coreapi.Node{Name: "a", Addr: "1", Run: 3}
	if !tracker.addPending(node, now.Add(-time.Minute)) || tracker.addPending(node, now) {
		t.Error("got the gathering started by another than the first report")
	}
	if got := tracker.pending["1"]; got.Node != node || !got.LatestStart.Equal(now.Add(-time.Minute)) {
		t.Errorf("got %+v, want run 2 begun a minute ago", got)
	}
	tracker.addPending(other, now)
	if got := tracker.takePending()["1"]; got.Node != other || !got.LatestStart.Equal(now) {
		t.Errorf("got %+v, want run 3 begun now", got)
	}
	if left := tracker.takePending(); len(left) > 0 {
		t.Errorf("got %v left after it was taken, want none", left)
	}
}

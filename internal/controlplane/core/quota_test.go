package core

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// quotaServer is a core with an empty store, as far as quotas need one.
func quotaServer(t *testing.T) (*Server, *store.Store) {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{runLoopState: newRunLoopState(), scarceSince: map[string]time.Time{}}
	s.store.Store(opened)
	return s, opened
}

// A pool is decoded once, and one that a failed job or a failed batch changed is read anew.
func TestPotsAreReadAnewAfterAFailure(t *testing.T) {
	s, opened := quotaServer(t)
	begin := func() *transaction.Tx { return transaction.New(opened) }
	draw := func(tx *transaction.Tx, turn uint64) int {
		out, err := s.moveIn(tx, "a", &coreapi.QuotaMove{Tenant: "t", Sequence: turn, Units: 1}, &configuration.Document{Quotas: map[string]int{"t": 100}})
		if err != nil {
			t.Fatal(err)
		}
		return out.Held
	}
	commit := func(tx *transaction.Tx) {
		if err := opened.Append(store.Batch{Version: opened.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
	}
	tx := begin()
	draw(tx, 1)
	draw(tx, 2)
	ofPool := slices.DeleteFunc(slices.Clone(tx.LastMutations()), func(put store.Mutation) bool { return put.Key != poolKey("t") })
	if len(ofPool) != 1 {
		t.Fatalf("%d puts of one pool, 1 expected", len(ofPool))
	}
	commit(tx)

	lost := begin() // never committed
	if have := draw(lost, 3); have != 3 {
		t.Fatalf("%d units in the batch, 3 expected", have)
	}
	undone := begin()
	savepoint := undone.Savepoint()
	draw(undone, 4)
	undone.Rollback(savepoint)

	tx = begin()
	if have := draw(tx, 3); have != 3 {
		t.Errorf("%d units after a lost batch and an undone job, 3 expected", have)
	}
	commit(tx)
	pool, err := s.poolCache.get(begin(), "t")
	if err != nil || pool.Allocations["a"] != (quota.Allocation{Sequence: 3, Units: 3}) {
		t.Errorf("pot %+v, %v", pool, err)
	}
}

// What is held on top of the quota while units cool may be spent to the last unit: it does not count against
// those who hold it.
func TestUnitsOnTopMayBeSpent(t *testing.T) {
	s, opened := quotaServer(t)
	tx := transaction.New(opened)
	if err := s.poolCache.put(tx, "t", &quota.Pool{Cooling: map[string]int{"dead/1": 10}}); err != nil {
		t.Fatal(err)
	}
	document := &configuration.Document{Quotas: map[string]int{"t": 10}, Tolerances: map[string]int{"t": 4}}
	held, spent := 0, 0
	for _, holder := range []string{"a", "b", "c", "d"} {
		out, err := s.moveIn(tx, holder, &coreapi.QuotaMove{Tenant: "t", Sequence: 1, Units: 1}, document)
		if err != nil {
			t.Fatal(err)
		}
		held += out.Held
		quotaShare := quota.NewShare()
		quotaShare.SetLimit(10, time.Minute)
		quotaShare.Enqueue(1)
		turn, _, ok := quotaShare.NextAcquire(4)
		if !ok {
			t.Fatal("no draw is wanted")
		}
		quotaShare.Apply(turn, out.Held, out.Limit)
		for {
			if ok, _ := quotaShare.Reserve(1); !ok {
				break
			}
			quotaShare.Commit(1)
			spent++
		}
	}
	if held != 4 || spent != 4 {
		t.Errorf("%d units held and %d spent, 4 and 4 expected", held, spent)
	}
}

// After a restart of a whole fleet the units of all earlier runs cool with one write of each pool.
func TestAllReplacedRunsCoolTogether(t *testing.T) {
	s, opened := quotaServer(t)
	tx := transaction.New(opened)
	pool := &quota.Pool{Allocations: map[string]quota.Allocation{"a@1/1": {Units: 2, Sequence: 1}, "b@2/1": {Units: 3, Sequence: 1}, "c@3/1": {Units: 4, Sequence: 1}}}
	if err := s.poolCache.put(tx, "t", pool); err != nil {
		t.Fatal(err)
	}
	if err := opened.Append(store.Batch{Version: 1, Mutations: tx.LastMutations()}); err != nil {
		t.Fatal(err)
	}
	tx = transaction.New(opened)
	ended := time.Now().Add(-time.Second)
	if !s.replaced.add("a@1", replacedRun{"a@1/2", ended}) || s.replaced.add("b@2", replacedRun{"b@2/2", ended}) {
		t.Error("the first place alone starts the gathering")
	}
	if err := s.coolReplaced(tx); err != nil {
		t.Fatal(err)
	}
	if n := len(tx.Mutations()); n != 1 {
		t.Errorf("%d puts, 1 expected", n)
	}
	got, err := s.poolCache.get(tx, "t")
	if err != nil || got.CoolingUnits() != 5 || got.Allocations["c@3/1"].Units != 4 {
		t.Errorf("pot %+v, %v: 5 units cooling and 4 held by c expected", got, err)
	}
	if at := s.firstSeen[coolKey("t", "a@1/1")]; !at.Equal(ended) {
		t.Errorf("units of a cool since %s, since %s expected", at, ended)
	}
	if runs := s.replaced.take(); len(runs) != 0 {
		t.Errorf("%d places left over", len(runs))
	}
}

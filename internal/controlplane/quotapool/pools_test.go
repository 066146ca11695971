package quotapool

import (
	"log/slog"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// testingT is what helpers need of a *testing.T, *testing.B or *rapid.T.
type testingT interface {
	Helper()
	Fatal(arguments ...any)
	Cleanup(function func())
}

// openStore makes an empty committed state.
func openStore(t testingT) *store.Store {
	t.Helper()
	folder, err := os.MkdirTemp("", "quotapool")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	disk, err := store.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// A pool is decoded once, and one that a failed operation or a failed batch changed is decoded anew.
func TestPoolsAreDecodedAnewAfterAFailure(t *testing.T) {
	pools, committed := New(), openStore(t)
	begin := func() *transaction.Tx { return transaction.New(committed) }
	acquire := func(tx *transaction.Tx, sequence uint64) int {
		out, _, err := pools.Transfer(tx, "a", &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence, Units: 1}, &configuration.Document{Quotas: map[string]int{"t": 100}})
		if err != nil {
			t.Fatal(err)
		}
		return out.Held
	}
	commit := func(tx *transaction.Tx) {
		if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
	}
	tx := begin()
	acquire(tx, 1)
	acquire(tx, 2)
	ofPool := slices.DeleteFunc(slices.Clone(tx.LastMutations()), func(mutation store.Mutation) bool { return mutation.Key != poolKey("t") })
	if len(ofPool) != 1 {
		t.Fatalf("got %d mutations of one pool, want 1", len(ofPool))
	}
	commit(tx)

	lost := begin() // never committed
	if got := acquire(lost, 3); got != 3 {
		t.Fatalf("got %d units in the batch, want 3", got)
	}
	undone := begin()
	savepoint := undone.Savepoint()
	acquire(undone, 4)
	undone.Rollback(savepoint)

	tx = begin()
	if got := acquire(tx, 3); got != 3 {
		t.Errorf("got %d units after a lost batch and a rollback, want 3", got)
	}
	commit(tx)
	pool, err := pools.cache.get(begin(), "t")
	if err != nil || pool.Allocations["a"] != (quota.Allocation{Sequence: 3, Units: 3}) {
		t.Errorf("got pool %+v, %v", pool, err)
	}
}

// What is acquired of the tolerance, on top of the quota while units cool, may be spent to the last unit: it does not
// count against those who hold it.
func TestToleranceMayBeSpent(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := transaction.New(committed)
	if err := pools.cache.put(tx, "t", &quota.Pool{Cooling: map[string]int{"dead/1": 10}}); err != nil {
		t.Fatal(err)
	}
	document := &configuration.Document{Quotas: map[string]int{"t": 10}, Tolerances: map[string]int{"t": 4}}
	held, spent := 0, 0
	for _, holder := range []string{"a", "b", "c", "d"} {
		out, _, err := pools.Transfer(tx, holder, &coreapi.QuotaTransfer{Tenant: "t", Sequence: 1, Units: 1}, document)
		if err != nil {
			t.Fatal(err)
		}
		held += out.Held
		quotaShare := quota.NewShare()
		quotaShare.SetLimit(10, time.Minute)
		quotaShare.Enqueue(1)
		turn, _, ok := quotaShare.NextAcquire(4)
		if !ok {
			t.Fatal("got no acquire, want one")
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
		t.Errorf("got %d units held and %d spent, want 4 and 4", held, spent)
	}
}

// After a restart of a whole fleet the units of all earlier runs cool in one write of each pool. Those of a run of which the
// core heard only afterwards do not: whoever was seen alive may have been alive before it.
func TestReplacedRunsCoolInOneWrite(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := transaction.New(committed)
	pool := &quota.Pool{Allocations: map[string]quota.Allocation{"a@1/1": {Units: 2, Sequence: 1}, "b@2/1": {Units: 3, Sequence: 1}, "c@3/1": {Units: 4, Sequence: 1}}}
	if err := pools.cache.put(tx, "t", pool); err != nil {
		t.Fatal(err)
	}
	if err := committed.Append(store.Batch{Version: 1, Mutations: tx.LastMutations()}); err != nil {
		t.Fatal(err)
	}
	begun := time.Now().Add(-time.Second)
	successors := map[string]Successor{}
	for _, node := range []coreapi.Node{{Name: "a", Addr: "1", Run: 2}, {Name: "b", Addr: "2", Run: 2}, {Name: "c", Addr: "3", Run: 1}} {
		successors[node.Addr] = Successor{Node: node, LatestStart: begun}
	}
	tx = transaction.New(committed)
	replaced, err := pools.FindReplaced(tx, successors)
	if err != nil {
		t.Fatal(err)
	}
	document := &configuration.Document{Quotas: map[string]int{"t": 100}}
	if _, _, err := pools.Transfer(tx, "a@1/3", &coreapi.QuotaTransfer{Tenant: "t", Sequence: 1, Units: 1}, document); err != nil {
		t.Fatal(err)
	}
	if err := committed.Append(store.Batch{Version: 2, Mutations: tx.LastMutations()}); err != nil {
		t.Fatal(err)
	}
	tx = transaction.New(committed)
	if err := pools.CoolReplaced(tx, replaced); err != nil {
		t.Fatal(err)
	}
	if n := len(tx.Mutations()); n != 1 {
		t.Errorf("got %d mutations, want 1", n)
	}
	got, err := pools.cache.get(tx, "t")
	if err != nil || got.CoolingUnits() != 5 || got.Allocations["c@3/1"].Units != 4 || got.Allocations["a@1/3"].Units != 1 {
		t.Errorf("got pool %+v, %v, want 5 units cooling, 4 held by c and 1 by the third run of a", got, err)
	}
	endedBy := begun.Add(inFlightTime - quota.Margin)
	if at := pools.firstSeen[coolingKey("t", "a@1/1")]; !at.Equal(endedBy) {
		t.Errorf("got units of a cooling since %s, want %s", at, endedBy)
	}
}

// Units that cool already, as the holder left, cool no longer than from the start of the run that replaced it.
func TestUnitsOfALeaverCoolFromItsSuccessorsStart(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := transaction.New(committed)
	if err := pools.cache.put(tx, "t", &quota.Pool{Cooling: map[string]int{"a@1/1": 2, "b@2/1": 2}}); err != nil {
		t.Fatal(err)
	}
	successor := Successor{Node: coreapi.Node{Name: "a", Addr: "1", Run: 2}, LatestStart: time.Now().Add(-time.Second)}
	replaced, err := pools.FindReplaced(tx, map[string]Successor{"1": successor})
	if err != nil {
		t.Fatal(err)
	}
	if err := pools.CoolReplaced(tx, replaced); err != nil {
		t.Fatal(err)
	}
	want := map[string]time.Time{coolingKey("t", "a@1/1"): successor.LatestStart.Add(inFlightTime - quota.Margin)}
	if !maps.Equal(pools.firstSeen, want) {
		t.Errorf("got %v, want %v", pools.firstSeen, want)
	}
}

func TestAddressOfHolder(t *testing.T) {
	node := coreapi.Node{Name: "edge@west/1", Addr: "10.0.0.1:70", Run: 0xab}
	for holder, want := range map[string]string{coreapi.Holder(node): node.Addr, "a@1/1": "1", "holder-1": "", "": ""} {
		if got := addressOfHolder(holder); got != want {
			t.Errorf("holder %q: got address %q, want %q", holder, got, want)
		}
	}
}

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

// testingT is the part of *testing.T, *testing.B and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(arguments ...any)
	Cleanup(function func())
}

// openStore opens an empty store of committed state.
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

// A cached pool that was changed by a batch that is not committed, or by an operation that is rolled back, is decoded again.
func TestPoolsAreDecodedAgainAfterAFailure(t *testing.T) {
	pools, committed := New(), openStore(t)
	begin := func() *transaction.Tx { return transaction.New(committed) }
	acquire := func(tx *transaction.Tx, sequence uint64) int {
		out, _, err := pools.Transfer(tx, "a", &coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence, Units: 1}, &configuration.Document{Quotas: map[string]int{"t": 100}})
		if err != nil {
			t.Fatal(err)
		}
		return out.HeldUnits
	}
	commit := func(tx *transaction.Tx) {
		if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
	}
	tx := begin()
	acquire(tx, 1)
	acquire(tx, 2)
	poolMutations := slices.DeleteFunc(slices.Clone(tx.LastMutations()), func(mutation store.Mutation) bool { return mutation.Key != poolKey("t") })
	if len(poolMutations) != 1 {
		t.Fatalf("got %d mutations of the pool, want 1", len(poolMutations))
	}
	commit(tx)

	lost := begin() // never committed
	if got := acquire(lost, 3); got != 3 {
		t.Fatalf("got %d units in the batch, want 3", got)
	}
	rolledBack := begin()
	savepoint := rolledBack.Savepoint()
	acquire(rolledBack, 4)
	rolledBack.Rollback(savepoint)

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

// While units are cooling, holders may acquire units above the quota from the tolerance, and may spend all of them: these units
// must not reduce what their holders may spend.
func TestToleranceMayBeSpent(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := transaction.New(committed)
	if err := pools.cache.put(tx, "t", &quota.Pool{Cooling: map[string]int{"dead/1": 10}}); err != nil {
		t.Fatal(err)
	}
	document := &configuration.Document{Quotas: map[string]int{"t": 10}, Tolerances: map[string]int{"t": 4}}
	acquired, spent := 0, 0
	for _, holder := range []string{"a", "b", "c", "d"} {
		out, _, err := pools.Transfer(tx, holder, &coreapi.QuotaTransfer{Tenant: "t", Sequence: 1, Units: 1}, document)
		if err != nil {
			t.Fatal(err)
		}
		acquired += out.HeldUnits
		share := quota.NewShare()
		share.SetLimit(10, time.Minute)
		share.Enqueue(1)
		turn, _, ok := share.NextAcquire(4)
		if !ok {
			t.Fatal("got no acquire, want one")
		}
		share.Apply(turn, out.HeldUnits, out.Limit)
		for {
			if ok, _ := share.Reserve(1); !ok {
				break
			}
			share.Commit(1)
			spent++
		}
	}
	if acquired != 4 || spent != 4 {
		t.Errorf("got %d units acquired and %d spent, want 4 and 4", acquired, spent)
	}
}

// After a restart of a whole fleet, the cooling period of the units of all earlier runs starts with one write per pool. Units of
// a run that the core learned of only after FindReplaced are not affected: that run may have started after the successor.
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
		t.Errorf("got pool %+v, %v, want 5 cooling units, 4 allocated to c and 1 to the third run of a", got, err)
	}
	coolingSince := begun.Add(inFlightTime - quota.Margin)
	if at := pools.firstSeen[coolingKey("t", "a@1/1")]; !at.Equal(coolingSince) {
		t.Errorf("got units of a cooling since %s, want %s", at, coolingSince)
	}
}

// If units are already cooling since their holder left, the cooling period is counted from the start of the run that replaced
// the holder.
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

package quotapool

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// The cooling period of units is a window plus the margin, counted from the first sweep that sees them. An absent holder keeps
// its units for absentHolderTTL, even if its node has another run: a sweep cannot know which of the two has ended.
func TestSweep(t *testing.T) {
	const window = 3 * time.Second
	document := &configuration.Document{Quotas: map[string]int{"t": 100}, Windows: map[string]time.Duration{"t": window}}
	liveNode := coreapi.Node{Name: "new", Addr: "1", Run: 2}
	live := LiveHolders{Holders: map[string]bool{"new@1/2": true}, Addresses: map[string]coreapi.Node{"1": liveNode}}
	for _, c := range []struct {
		name       string
		pool       quota.Pool
		after      time.Duration // from the first sweep until the change is due; negative: never due
		want       quota.Pool
		successors map[string]coreapi.Node
	}{
		{"cooling units", quota.Pool{Cooling: map[string]int{"gone@2/1": 3}}, window + quota.Margin, quota.Pool{}, nil},
		{"a charge", quota.Pool{Charges: []quota.Charge{{ID: 7, Units: 1}}}, chargeTTL(window), quota.Pool{}, nil},
		{"a silent holder", quota.Pool{Allocations: map[string]quota.Allocation{"silent@2/1": {Units: 2, Sequence: 1}}}, absentHolderTTL,
			quota.Pool{Cooling: map[string]int{"silent@2/1": 2}}, nil},
		{"an earlier run of a live node", quota.Pool{Allocations: map[string]quota.Allocation{"new@1/1": {Units: 2, Sequence: 1}}}, absentHolderTTL,
			quota.Pool{Cooling: map[string]int{"new@1/1": 2}}, map[string]coreapi.Node{"1": liveNode}},
		{"a run of another node that had the address", quota.Pool{Allocations: map[string]quota.Allocation{"old@1/1": {Units: 2, Sequence: 1}}}, absentHolderTTL,
			quota.Pool{Cooling: map[string]int{"old@1/1": 2}}, map[string]coreapi.Node{"1": liveNode}},
		{"a live holder", quota.Pool{Allocations: map[string]quota.Allocation{"new@1/2": {Units: 2, Sequence: 1}}}, -1, quota.Pool{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pools, committed := New(), openStore(t)
				tx := transaction.New(committed)
				if err := pools.cache.put(tx, "t", &c.pool); err != nil {
					t.Fatal(err)
				}
				commitTx(t, committed, tx)
				operation, successors := pools.Sweep(committed, document, live)
				if !maps.Equal(successors, c.successors) {
					t.Errorf("got successors %v, want %v", successors, c.successors)
				}
				if got, want := pools.HasCooling(), len(c.pool.Cooling) > 0; got != want {
					t.Errorf("got HasCooling %t, want %t", got, want)
				}
				if operation != nil {
					t.Fatal("got a change at the first sweep, want none")
				}
				if c.after < 0 {
					time.Sleep(2 * absentHolderTTL)
					if operation, _ := pools.Sweep(committed, document, live); operation != nil {
						t.Error("got a change, want none")
					}
					return
				}
				time.Sleep(c.after)
				if operation, _ := pools.Sweep(committed, document, live); operation != nil {
					t.Fatalf("got a change after %s, want it only later", c.after)
				}
				time.Sleep(time.Nanosecond)
				if operation, _ = pools.Sweep(committed, document, live); operation == nil {
					t.Fatal("got no change, want one")
				}
				tx = transaction.New(committed)
				if err := operation(tx); err != nil {
					t.Fatal(err)
				}
				got, err := pools.cache.get(tx, "t")
				if err != nil || !samePool(got, &c.want) {
					t.Errorf("got pool %+v, %v, want %+v", got, err, c.want)
				}
			})
		})
	}
}

// A sweep removes the times of entries that no longer exist. If units of the same holder start cooling later, their cooling
// period is not shortened.
func TestSweepRemovesTimesOfGoneEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pools, committed := New(), openStore(t)
		document := &configuration.Document{}
		put := func(pool *quota.Pool) {
			tx := transaction.New(committed)
			if err := pools.cache.put(tx, "t", pool); err != nil {
				t.Fatal(err)
			}
			if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
				t.Fatal(err)
			}
		}
		put(&quota.Pool{Cooling: map[string]int{"a@1/1": 1}})
		pools.Sweep(committed, document, LiveHolders{})
		put(&quota.Pool{})
		pools.Sweep(committed, document, LiveHolders{})
		time.Sleep(2 * quota.Margin)
		put(&quota.Pool{Cooling: map[string]int{"a@1/1": 1}})
		if operation, _ := pools.Sweep(committed, document, LiveHolders{}); operation != nil {
			t.Error("got a change at the first sweep that sees the units cooling, want none")
		}
	})
}

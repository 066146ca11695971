package quotapool

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// Units cool for a window and the margin from the first sweep that sees them, a silent holder keeps its units for
// silentHolderTTL, and one whose node has a newer run loses them at once.
func TestSweep(t *testing.T) {
	const window = 3 * time.Second
	document := &configuration.Document{Quotas: map[string]int{"t": 100}, Windows: map[string]time.Duration{"t": window}}
	live := LiveHolders{Holders: map[string]bool{"new@1/2": true}, Addresses: map[string]bool{"new@1": true}}
	for _, c := range []struct {
		name  string
		pool  quota.Pool
		after time.Duration // from the first sweep until it is due, and not before; 0: at once; below 0: never
		want  quota.Pool
	}{
		{"cooling units", quota.Pool{Cooling: map[string]int{"gone@2/1": 3}}, window + quota.Margin, quota.Pool{}},
		{"a charge", quota.Pool{Charges: []quota.Charge{{ID: 7, Units: 1}}}, chargeTTL(window), quota.Pool{}},
		{"a silent holder", quota.Pool{Allocations: map[string]quota.Allocation{"silent@2/1": {Units: 2, Sequence: 1}}}, silentHolderTTL,
			quota.Pool{Cooling: map[string]int{"silent@2/1": 2}}},
		{"an earlier run of a live node", quota.Pool{Allocations: map[string]quota.Allocation{"new@1/1": {Units: 2, Sequence: 1}}}, 0,
			quota.Pool{Cooling: map[string]int{"new@1/1": 2}}},
		{"a live holder", quota.Pool{Allocations: map[string]quota.Allocation{"new@1/2": {Units: 2, Sequence: 1}}}, -1, quota.Pool{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pools, committed := New(), openStore(t)
				tx := transaction.New(committed)
				if err := pools.cache.put(tx, "t", &c.pool); err != nil {
					t.Fatal(err)
				}
				commitTx(t, committed, tx)
				operation := pools.Sweep(committed, document, live)
				if got, want := pools.HasCooling(), len(c.pool.Cooling) > 0; got != want {
					t.Errorf("got cooling units: %t, want %t", got, want)
				}
				switch {
				case c.after < 0:
					time.Sleep(2 * silentHolderTTL)
					if pools.Sweep(committed, document, live) != nil {
						t.Error("got a change, want none ever")
					}
					return
				case c.after > 0:
					if operation != nil {
						t.Fatal("got a change at the first sweep")
					}
					time.Sleep(c.after)
					if pools.Sweep(committed, document, live) != nil {
						t.Fatalf("got a change after %s, want it later", c.after)
					}
					time.Sleep(time.Nanosecond)
					operation = pools.Sweep(committed, document, live)
				}
				if operation == nil {
					t.Fatal("got no change")
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

// What a sweep no longer finds is forgotten: units of the same holder that cool later cool for their whole time.
func TestSweepForgetsWhatIsGone(t *testing.T) {
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
		if pools.Sweep(committed, document, LiveHolders{}) != nil {
			t.Error("got units freed at the first sweep that sees them cool")
		}
	})
}

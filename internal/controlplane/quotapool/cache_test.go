package quotapool

import (
	"fmt"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/tinylib/msgp/msgp"
	"pgregory.net/rapid"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

func commitTx(t testingT, committed *store.Store, tx *transaction.Tx) {
	t.Helper()
	if len(tx.Mutations()) == 0 {
		return
	}
	if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		t.Fatal(err)
	}
}

func beginTx(committed *store.Store) *transaction.Tx {
	return transaction.New(committed)
}

func newTestPool(holders int) *quota.Pool {
	pool := &quota.Pool{Allocations: map[string]quota.Allocation{}, Cooling: map[string]int{"gone@10.0.0.9:1/1": 2}, AboveLimit: 1, Charges: []quota.Charge{{ID: 7, Units: 1}}}
	for i := range holders {
		pool.Allocations[fmt.Sprintf("edge-%d@10.0.0.%d:7360/%016x", i, i, uint64(i+1)*0x9e3779b97f4a7c15)] = quota.Allocation{Units: i % 3, Sequence: uint64(100 + i)}
	}
	return pool
}

// encodePoolByName encodes a pool as older versions did: with all four fields, and with holders by name.
func encodePoolByName(pool *quota.Pool) ([]byte, error) {
	raw := msgp.AppendMapHeader(nil, 4)
	raw = msgp.AppendString(raw, "h")
	raw = msgp.AppendMapHeader(raw, uint32(len(pool.Allocations)))
	var err error
	for holder, allocation := range pool.Allocations {
		raw = msgp.AppendString(raw, holder)
		if raw, err = allocation.MarshalMsg(raw); err != nil {
			return nil, err
		}
	}
	raw = msgp.AppendString(raw, "c")
	raw = msgp.AppendMapHeader(raw, uint32(len(pool.Cooling)))
	for holder, units := range pool.Cooling {
		raw = msgp.AppendString(raw, holder)
		raw = msgp.AppendInt(raw, units)
	}
	raw = msgp.AppendString(raw, "a")
	raw = msgp.AppendInt(raw, pool.AboveLimit)
	raw = msgp.AppendString(raw, "x")
	raw = msgp.AppendArrayHeader(raw, uint32(len(pool.Charges)))
	for _, charge := range pool.Charges {
		if raw, err = charge.MarshalMsg(raw); err != nil {
			return nil, err
		}
	}
	return raw, nil
}

func samePool(a, b *quota.Pool) bool {
	return maps.Equal(a.Allocations, b.Allocations) && maps.Equal(a.Cooling, b.Cooling) && a.AboveLimit == b.AboveLimit && len(a.Charges) == len(b.Charges)
}

// The record of a pool with an entry for each of many routers is small, and another process decodes it unchanged.
func TestStoredPoolsAreSmall(t *testing.T) {
	pools, committed := New(), openStore(t)
	const holders = 74
	pool := newTestPool(holders)
	tx := beginTx(committed)
	if err := pools.cache.put(tx, "t", pool); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	if raw, _ := committed.Get(poolKey("t")); len(raw) > 10*holders+100 {
		t.Errorf("got %d bytes for %d holders, want at most %d", len(raw), holders, 10*holders+100)
	}
	other := newPoolCache()
	got, err := other.get(beginTx(committed), "t")
	if err != nil || !samePool(got, pool) {
		t.Errorf("got %+v, %v", got, err)
	}
	tx = beginTx(committed)
	if err := other.put(tx, "t", got); err != nil || len(tx.Mutations()) != 1 {
		t.Errorf("got %d mutations, %v for one change of a pool by another process, want 1", len(tx.Mutations()), err)
	}
	if shares := Shares(committed); len(shares) != holders+1 {
		t.Errorf("got %d shares, want %d", len(shares), holders+1)
	}
}

// A pool record written by an older version, with holders by name, is decoded correctly and stored by this version.
func TestPoolsOfOlderVersionsAreDecoded(t *testing.T) {
	pools, committed := New(), openStore(t)
	pool := newTestPool(3)
	raw, err := encodePoolByName(pool)
	if err != nil {
		t.Fatal(err)
	}
	if err := committed.Append(store.Batch{Version: 1, Mutations: []store.Mutation{{Key: poolKey("t"), Value: raw}}}); err != nil {
		t.Fatal(err)
	}
	tx := beginTx(committed)
	got, err := pools.cache.get(tx, "t")
	if err != nil || !samePool(got, pool) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if err := pools.cache.put(tx, "t", got); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	fresh := newPoolCache()
	if got, err = fresh.get(beginTx(committed), "t"); err != nil || !samePool(got, pool) {
		t.Errorf("got %+v, %v after the pool was stored again", got, err)
	}
}

// A holder number assigned in a batch that was not committed may be assigned to another holder later. The cache must not
// confuse the two holders.
func TestHolderNumbersOfLostBatches(t *testing.T) {
	pools, committed := New(), openStore(t)
	put := func(tx *transaction.Tx, tenant, holder string, units int) {
		t.Helper()
		pool, err := pools.cache.get(tx, tenant)
		if err != nil {
			t.Fatal(err)
		}
		if pool.Allocations == nil {
			pool.Allocations = map[string]quota.Allocation{}
		}
		pool.Allocations[holder] = quota.Allocation{Units: units, Sequence: 1}
		if err := pools.cache.put(tx, tenant, pool); err != nil {
			t.Fatal(err)
		}
	}
	put(beginTx(committed), "t", "lost", 5) // never committed
	rolledBack := beginTx(committed)
	put(rolledBack, "t", "undone", 4)
	rolledBack.Rollback(0)
	put(rolledBack, "u", "kept", 3)
	commitTx(t, committed, rolledBack)
	tx := beginTx(committed)
	put(tx, "u", "lost", 2)
	put(tx, "u", "undone", 1)
	commitTx(t, committed, tx)
	for name, cache := range map[string]poolCache{"own": pools.cache, "fresh": newPoolCache()} {
		got, err := cache.get(beginTx(committed), "u")
		want := map[string]quota.Allocation{"kept": {Units: 3, Sequence: 1}, "lost": {Units: 2, Sequence: 1}, "undone": {Units: 1, Sequence: 1}}
		if err != nil || !maps.Equal(got.Allocations, want) {
			t.Errorf("%s: got %+v, %v, want %v", name, got, err, want)
		}
		if got, err := cache.get(beginTx(committed), "t"); err != nil || len(got.Allocations) != 0 {
			t.Errorf("%s: got %+v, %v for a pool that was never committed, want none", name, got.Allocations, err)
		}
	}
}

// Once there are many records of holders without units, they are deleted. A record that a pool refers to stays.
func TestUnusedHoldersAreDropped(t *testing.T) {
	pools, committed := New(), openStore(t)
	for run := range 3 * maxUnusedHolders {
		tx := beginTx(committed)
		pool := &quota.Pool{Allocations: map[string]quota.Allocation{"stays": {Units: 1}, fmt.Sprint("run", run): {Units: 2}}}
		if err := pools.cache.put(tx, "t", pool); err != nil {
			t.Fatal(err)
		}
		if err := pools.DropUnusedHolders(tx); err != nil {
			t.Fatal(err)
		}
		commitTx(t, committed, tx)
	}
	records := 0
	committed.ForEachWithPrefix(holderPrefix, func(string, []byte) { records++ })
	if records > maxUnusedHolders+3 {
		t.Errorf("got %d records of holders, want at most %d", records, maxUnusedHolders+3)
	}
	fresh := newPoolCache()
	got, err := fresh.get(beginTx(committed), "t")
	if err != nil || got.Allocations["stays"].Units != 1 || len(got.Allocations) != 2 {
		t.Errorf("got %+v, %v", got, err)
	}
}

// BenchmarkPoolSize reports the size of a pool's record with 360 routers, as stored and compressed.
//
//	go test ./internal/controlplane/quotapool -run XXX -bench PoolSize -benchtime 1x
func BenchmarkPoolSize(b *testing.B) {
	pool := newTestPool(360)
	for b.Loop() {
		disk, err := store.OpenFolder(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		committed, err := store.Open(disk, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		tx := beginTx(committed)
		if err := newPoolCache().put(tx, "t", pool); err != nil {
			b.Fatal(err)
		}
		raw, _ := tx.Get(poolKey("t"))
		b.ReportMetric(float64(len(raw)), "B")
		b.ReportMetric(float64(len(s2.Encode(nil, raw))), "B-compressed")
	}
}

// A pool record in which each transfer replaces one allocation decodes to the cached pool, also after rollbacks, batches that are
// not committed, new holders and holders that ended.
func TestIncrementallyUpdatedRecordMatchesPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, committed := New(), openStore(t)
		document := &configuration.Document{Quotas: map[string]int{"t": 400}, Tolerances: map[string]int{"t": 5}}
		sequences := map[string]uint64{} // just below values whose encoding is longer
		for holder := range 6 {
			sequences[fmt.Sprint("holder", holder)] = rapid.SampledFrom([]uint64{0, 126, 254, 65534}).Draw(t, "sequence")
		}
		tx := beginTx(committed)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			holder := fmt.Sprint("holder", rapid.IntRange(0, 5).Draw(t, "holder"))
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			default: // a transfer
				sequences[holder]++
				transferUnits(t, pools, tx, document, holder, sequences[holder], rapid.SampledFrom([]int{-200, -5, 0, 1, 9, 60, 150}).Draw(t, "units"))
			case 0: // a transfer that is rolled back
				savepoint := tx.Savepoint()
				sequences[holder]++
				transferUnits(t, pools, tx, document, holder, sequences[holder], 3)
				tx.Rollback(savepoint)
			case 1, 2: // a commit
				commitTx(t, committed, tx)
				tx = beginTx(committed)
			case 3: // a batch that is not committed
				tx = beginTx(committed)
			case 4: // a holder that has ended
				if err := pools.StartCooling(tx, holder); err != nil {
					t.Fatal(err)
				}
			}
			checkStoredPool(t, pools, tx)
		}
	})
}

// transferUnits acquires units, or returns them if the number is negative.
func transferUnits(t *rapid.T, pools *Pools, tx *transaction.Tx, document *configuration.Document, holder string, sequence uint64, units int) {
	transfer := coreapi.QuotaTransfer{Tenant: "t", Sequence: sequence, Units: max(units, -units), Return: units < 0}
	if _, _, err := pools.Transfer(tx, holder, &transfer, document); err != nil {
		t.Fatal(err)
	}
}

// checkStoredPool compares the cached pool with what another process decodes, and AllocatedUnits with the sum over its entries.
func checkStoredPool(t *rapid.T, pools *Pools, tx *transaction.Tx) {
	cached, err := pools.cache.get(tx, "t")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := newPoolCache().get(tx, "t")
	if err != nil || !samePool(cached, stored) {
		t.Fatalf("got stored pool %+v, %v, want %+v", stored, err, cached)
	}
	units := cached.CoolingUnits()
	for _, allocation := range cached.Allocations {
		units += allocation.Units
	}
	if got := cached.AllocatedUnits(); got != units {
		t.Fatalf("got %d allocated units, want %d", got, units)
	}
}

// A holder's record is not deleted if the only pool that refers to it is created in the same batch.
func TestHoldersOfANewPoolAreKept(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := beginTx(committed)
	gone := &quota.Pool{Allocations: map[string]quota.Allocation{}}
	for run := range 2 * maxUnusedHolders {
		gone.Allocations[fmt.Sprint("run", run)] = quota.Allocation{Units: 1}
	}
	if err := pools.cache.put(tx, "t", gone); err != nil {
		t.Fatal(err)
	}
	if err := pools.cache.put(tx, "t", &quota.Pool{}); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	tx = beginTx(committed)
	if err := pools.cache.put(tx, "new", &quota.Pool{Allocations: map[string]quota.Allocation{"run7": {Units: 2}}}); err != nil {
		t.Fatal(err)
	}
	if err := pools.DropUnusedHolders(tx); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	got, err := newPoolCache().get(beginTx(committed), "new")
	if err != nil || got.Allocations["run7"].Units != 2 {
		t.Errorf("got %+v, %v, want 2 units of run7", got, err)
	}
}

// Units of a holder that an older version stored by name are reclaimed like those of any other holder.
func TestSweepOfPoolsByNames(t *testing.T) {
	pools, committed := New(), openStore(t)
	raw, err := encodePoolByName(&quota.Pool{Allocations: map[string]quota.Allocation{"node@1/1": {Units: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := committed.Append(store.Batch{Version: 1, Mutations: []store.Mutation{{Key: poolKey("t"), Value: raw}}}); err != nil {
		t.Fatal(err)
	}
	live := LiveHolders{Holders: map[string]bool{"node@1/2": true}, Addresses: map[string]coreapi.Node{"1": {Name: "node", Addr: "1", Run: 2}}}
	if _, successors := pools.Sweep(committed, &configuration.Document{}, live); len(successors) != 1 {
		t.Errorf("got successors %v, want the node whose earlier run has units", successors)
	}
}

// A record with unsorted holders, as written by older versions, is encoded again in full. Replacing one allocation at its sorted
// index would overwrite another holder's.
func TestUnsortedRecordIsEncodedInFull(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := beginTx(committed)
	for _, holder := range []string{"a", "b"} {
		if _, err := pools.cache.holders.number(tx, holder); err != nil {
			t.Fatal(err)
		}
	}
	unsorted := storedPool{Allocations: []numberedAllocation{{Holder: 2, Units: 200, Sequence: 7}, {Holder: 1, Units: 3, Sequence: 9}}}
	if err := tx.Put(poolKey("t"), &unsorted); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	tx = beginTx(committed)
	document := &configuration.Document{Quotas: map[string]int{"t": 1000}}
	if _, _, err := pools.Transfer(tx, "a", &coreapi.QuotaTransfer{Tenant: "t", Sequence: 10, Units: 50}, document); err != nil {
		t.Fatal(err)
	}
	got, err := newPoolCache().get(tx, "t")
	want := map[string]quota.Allocation{"a": {Units: 53, Sequence: 10}, "b": {Units: 200, Sequence: 7}}
	if err != nil || !maps.Equal(got.Allocations, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
}

// A primary that has not read any pool yet still starts the cooling period of the units of replaced runs.
func TestReplacedRunsOfPoolsNotReadYet(t *testing.T) {
	committed := openStore(t)
	tx := beginTx(committed)
	if err := newPoolCache().put(tx, "t", &quota.Pool{Allocations: map[string]quota.Allocation{"node@10.0.0.1:1/1": {Units: 4, Sequence: 1}}}); err != nil {
		t.Fatal(err)
	}
	commitTx(t, committed, tx)
	successor := Successor{Node: coreapi.Node{Name: "node", Addr: "10.0.0.1:1", Run: 2}, LatestStart: time.Now()}
	fresh := New()
	tx = beginTx(committed)
	replaced, err := fresh.FindReplaced(tx, map[string]Successor{successor.Node.Addr: successor})
	if err != nil {
		t.Fatal(err)
	}
	if err := fresh.CoolReplaced(tx, replaced); err != nil {
		t.Fatal(err)
	}
	if got, err := fresh.cache.get(tx, "t"); err != nil || got.CoolingUnits() != 4 {
		t.Errorf("got %+v, %v, want 4 cooling units", got, err)
	}
}

// With an unreadable pool, an operation on all pools fails and changes none of them. Sweep still examines the other pools.
func TestUnreadablePool(t *testing.T) {
	pools, committed := New(), openStore(t)
	tx := beginTx(committed)
	readable := &quota.Pool{Allocations: map[string]quota.Allocation{"node@1/1": {Units: 2, Sequence: 1}}}
	if err := pools.cache.put(tx, "t", readable); err != nil {
		t.Fatal(err)
	}
	tx.PutRaw(poolKey("damaged"), []byte("damaged"))
	commitTx(t, committed, tx)
	tx = beginTx(committed)
	if err := pools.StartCooling(tx, "node@1/1"); err == nil || len(tx.Mutations()) > 0 {
		t.Errorf("got error %v and %d mutations, want an error and none", err, len(tx.Mutations()))
	}
	live := LiveHolders{Holders: map[string]bool{"node@1/2": true}, Addresses: map[string]coreapi.Node{"1": {Name: "node", Addr: "1", Run: 2}}}
	if _, successors := pools.Sweep(committed, &configuration.Document{}, live); len(successors) != 1 {
		t.Errorf("got successors %v, want the node whose earlier run has units", successors)
	}
}

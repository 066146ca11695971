package quotapool

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/quota"
)

// poolCache keeps the decoded pools of tenants: each has an entry for every router, and is read and written with
// every transfer.
type poolCache struct {
	pools   map[string]*cachedPool // by tenant
	holders holderNumbers
}

func newPoolCache() poolCache {
	return poolCache{pools: map[string]*cachedPool{}, holders: holderNumbers{}}
}

// cachedPool is a pool and the bytes that it was decoded from or encoded to. It is good for as long as the
// store, or the batch under way, has these very bytes.
type cachedPool struct {
	encoded encodedPool
	pool    quota.Pool
	stored  storedPool // what is encoded, with allocations sorted by the holders' numbers
}

// get gives a tenant's pool as the batch under way has it. One that is changed must be put.
func (c poolCache) get(tx *transaction.Tx, tenant string) (*quota.Pool, error) {
	raw, ok := tx.Get(poolKey(tenant))
	if !ok {
		return &quota.Pool{}, nil
	}
	if known := c.pools[tenant]; known != nil && (transaction.SameRecord(raw, known.encoded.raw) || faultinjection.Disabled("pool-cache")) {
		return &known.pool, nil
	}
	decoded, err := decodePool(raw, func(number uint64) (string, error) { return c.holders.name(tx, number) })
	if err != nil {
		return nil, err
	}
	for holder := range decoded.stored.NamedAllocations {
		c.holders.addUnnumbered(holder)
	}
	c.pools[tenant] = decoded
	return &decoded.pool, nil
}

// put puts a changed pool.
func (c poolCache) put(tx *transaction.Tx, tenant string, pool *quota.Pool) error {
	delete(c.pools, tenant)
	stored := storedPool{Allocations: make([]numberedAllocation, 0, len(pool.Allocations))}
	for holder, allocation := range pool.Allocations {
		number, err := c.holders.number(tx, holder)
		if err != nil {
			return err
		}
		stored.Allocations = append(stored.Allocations, numberedAllocation{Holder: number, Units: allocation.Units, Sequence: allocation.Sequence})
	}
	stored.sortAllocations()
	return c.encode(tx, tenant, &cachedPool{pool: *pool, stored: stored})
}

// putAllocation puts a pool, as get gave it, of which a transfer has changed one holder's allocation and maybe the charges.
// It takes the others' numbers from what was encoded before: their records are in the state as surely as that is.
func (c poolCache) putAllocation(tx *transaction.Tx, tenant string, pool *quota.Pool, holder string) error {
	known := c.pools[tenant]
	if known == nil || &known.pool != pool {
		return c.put(tx, tenant, pool)
	}
	delete(c.pools, tenant)
	number, err := c.holders.number(tx, holder)
	if err != nil {
		return err
	}
	allocation := pool.Allocations[holder]
	changed := numberedAllocation{Holder: number, Units: allocation.Units, Sequence: allocation.Sequence}
	index, found := slices.BinarySearchFunc(known.stored.Allocations, changed, compareHolders)
	if found && len(known.stored.Allocations) == len(pool.Allocations) && known.encoded.summary == summarize(pool) {
		if err := known.encoded.replace(known.stored.Allocations, index, changed); err != nil {
			return err
		}
		known.stored.Allocations[index] = changed
		tx.PutRaw(poolKey(tenant), known.encoded.raw)
		c.pools[tenant] = known
		return nil
	}
	known.stored.setAllocation(index, found, changed)
	if len(known.stored.Allocations) != len(pool.Allocations) {
		return c.put(tx, tenant, pool) // holders went by their names, as older versions stored them
	}
	return c.encode(tx, tenant, known)
}

// encode puts the record of a pool whose stored allocations are those of the pool, and caches it.
func (c poolCache) encode(tx *transaction.Tx, tenant string, entry *cachedPool) error {
	entry.stored.NamedAllocations = nil
	entry.stored.Cooling, entry.stored.AboveLimit, entry.stored.Charges = entry.pool.Cooling, entry.pool.AboveLimit, entry.pool.Charges
	encoded, err := encodePool(&entry.stored, &entry.pool)
	if err != nil {
		return err
	}
	tx.PutRaw(poolKey(tenant), encoded.raw)
	entry.encoded = encoded
	c.pools[tenant] = entry
	return nil
}

// sortAllocations sorts the allocations by the holders' numbers.
func (s *storedPool) sortAllocations() { slices.SortFunc(s.Allocations, compareHolders) }

// setAllocation sets the allocation at an index, or inserts it there where its holder had none.
func (s *storedPool) setAllocation(index int, found bool, allocation numberedAllocation) {
	if found {
		s.Allocations[index] = allocation
		return
	}
	s.Allocations = slices.Insert(s.Allocations, index, allocation)
}

func compareHolders(a, b numberedAllocation) int { return cmp.Compare(a.Holder, b.Holder) }

// decodePool decodes a stored pool, whose holders the function names by their numbers.
func decodePool(raw []byte, holderName func(number uint64) (string, error)) (*cachedPool, error) {
	decoded := &cachedPool{encoded: encodedPool{raw: raw}}
	stored := &decoded.stored
	if _, err := stored.UnmarshalMsg(raw); err != nil {
		return nil, eris.Wrap(err, "quotapool: decode a pool")
	}
	isSorted := slices.IsSortedFunc(stored.Allocations, compareHolders)
	stored.sortAllocations()
	decoded.pool = quota.Pool{Allocations: stored.NamedAllocations, Cooling: stored.Cooling, AboveLimit: stored.AboveLimit, Charges: stored.Charges}
	if decoded.pool.Allocations == nil {
		decoded.pool.Allocations = make(map[string]quota.Allocation, len(stored.Allocations))
	}
	for _, allocation := range stored.Allocations {
		name, err := holderName(allocation.Holder)
		if err != nil {
			return nil, err
		}
		decoded.pool.Allocations[name] = quota.Allocation{Units: allocation.Units, Sequence: allocation.Sequence}
	}
	if isSorted && len(stored.NamedAllocations) == 0 {
		decoded.encoded.summary = summarize(&decoded.pool)
	} else {
		decoded.encoded.summary = unknownSummary
	}
	return decoded, nil
}

// poolPrefix begins the keys of pools.
const poolPrefix = "share/"

// poolKey is the key of a tenant's pool.
func poolKey(tenant string) string { return poolPrefix + tenant }

// poolTenants lists the tenants that have a pool in the state as the batch has it.
func poolTenants(tx *transaction.Tx) []string {
	var tenants []string
	tx.Committed().ForEachWithPrefix(poolPrefix, func(key string, _ []byte) { tenants = append(tenants, strings.TrimPrefix(key, poolPrefix)) })
	for _, mutation := range tx.Mutations() {
		tenant, isPool := strings.CutPrefix(mutation.Key, poolPrefix)
		if !isPool {
			continue
		}
		if _, known := tx.Committed().Get(mutation.Key); !known && !slices.Contains(tenants, tenant) {
			tenants = append(tenants, tenant)
		}
	}
	return tenants
}

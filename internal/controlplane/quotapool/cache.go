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

// poolCache caches the decoded pools of tenants: a pool has an entry for every router and is read and written by every
// transfer.
type poolCache struct {
	pools   map[string]*cachedPool // by tenant
	holders holderNumbers
}

func newPoolCache() poolCache {
	return poolCache{pools: map[string]*cachedPool{}, holders: holderNumbers{}}
}

// cachedPool is a pool with the bytes that it was decoded from or encoded to. It is valid as long as the store, or the
// current batch, has the same slice under the pool's key (see transaction.SameRecord).
type cachedPool struct {
	encoded encodedPool
	pool    quota.Pool
	stored  storedPool // the encoded form, with allocations sorted by holder number
}

// get returns a tenant's pool as of the current batch. A caller that changes the pool must call put or putAllocation.
func (c poolCache) get(tx *transaction.Tx, tenant string) (*quota.Pool, error) {
	raw, ok := tx.Get(poolKey(tenant))
	if !ok {
		return &quota.Pool{}, nil
	}
	if cached := c.pools[tenant]; cached != nil && (transaction.SameRecord(raw, cached.encoded.raw) || faultinjection.Disabled("pool-cache")) {
		return &cached.pool, nil
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

// put stores and caches a changed pool.
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

// putAllocation stores a pool returned by get in which a transfer changed one holder's allocation and possibly the charges.
// It takes the numbers of the other holders from the previous encoding: the state that contains that pool record also
// contains their records.
func (c poolCache) putAllocation(tx *transaction.Tx, tenant string, pool *quota.Pool, holder string) error {
	cached := c.pools[tenant]
	if cached == nil || &cached.pool != pool {
		return c.put(tx, tenant, pool)
	}
	delete(c.pools, tenant)
	number, err := c.holders.number(tx, holder)
	if err != nil {
		return err
	}
	allocation := pool.Allocations[holder]
	changed := numberedAllocation{Holder: number, Units: allocation.Units, Sequence: allocation.Sequence}
	index, found := slices.BinarySearchFunc(cached.stored.Allocations, changed, compareHolders)
	if found && len(cached.stored.Allocations) == len(pool.Allocations) && cached.encoded.summary == summarize(pool) {
		if err := cached.encoded.replaceAllocation(cached.stored.Allocations, index, changed); err != nil {
			return err
		}
		cached.stored.Allocations[index] = changed
		tx.PutRaw(poolKey(tenant), cached.encoded.raw)
		c.pools[tenant] = cached
		return nil
	}
	cached.stored.setAllocation(index, found, changed)
	if len(cached.stored.Allocations) != len(pool.Allocations) {
		return c.put(tx, tenant, pool) // an older version stored holders by name
	}
	return c.encode(tx, tenant, cached)
}

// encode stores the record of a pool and caches the pool. The allocations in entry.stored must already be those of the pool.
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

// sortAllocations sorts the allocations by holder number.
func (s *storedPool) sortAllocations() { slices.SortFunc(s.Allocations, compareHolders) }

// setAllocation replaces the allocation at an index, or inserts it there if its holder had none.
func (s *storedPool) setAllocation(index int, found bool, allocation numberedAllocation) {
	if found {
		s.Allocations[index] = allocation
		return
	}
	s.Allocations = slices.Insert(s.Allocations, index, allocation)
}

func compareHolders(a, b numberedAllocation) int { return cmp.Compare(a.Holder, b.Holder) }

// decodePool decodes a stored pool. holderName returns the name of the holder with a number.
func decodePool(raw []byte, holderName func(number uint64) (string, error)) (*cachedPool, error) {
	decoded := &cachedPool{encoded: encodedPool{raw: raw}}
	stored := &decoded.stored
	if _, err := stored.UnmarshalMsg(raw); err != nil {
		return nil, eris.Wrap(err, "quotapool: decode a pool record")
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

// poolPrefix is the prefix of the keys of pools.
const poolPrefix = "share/"

// poolKey is the key of a tenant's pool.
func poolKey(tenant string) string { return poolPrefix + tenant }

// poolTenants returns the tenants that have a pool in the committed state or in the mutations of the batch.
func poolTenants(tx *transaction.Tx) []string {
	var tenants []string
	tx.Committed().ForEachWithPrefix(poolPrefix, func(key string, _ []byte) { tenants = append(tenants, strings.TrimPrefix(key, poolPrefix)) })
	for _, mutation := range tx.Mutations() {
		tenant, isPool := strings.CutPrefix(mutation.Key, poolPrefix)
		if !isPool {
			continue
		}
		if _, isCommitted := tx.Committed().Get(mutation.Key); !isCommitted && !slices.Contains(tenants, tenant) {
			tenants = append(tenants, tenant)
		}
	}
	return tenants
}

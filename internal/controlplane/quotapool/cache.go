package quotapool

import (
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
	raw  []byte
	pool quota.Pool
}

// get gives a tenant's pool as the batch under way has it. One that is changed must be put.
func (c poolCache) get(tx *transaction.Tx, tenant string) (*quota.Pool, error) {
	raw, ok := tx.Get(poolKey(tenant))
	if !ok {
		return &quota.Pool{}, nil
	}
	if known := c.pools[tenant]; known != nil && (transaction.SameRecord(raw, known.raw) || faultinjection.Disabled("pool-cache")) {
		return &known.pool, nil
	}
	pool, err := decodePool(raw, func(number uint64) (string, error) { return c.holders.name(tx, number) })
	if err != nil {
		return nil, err
	}
	c.pools[tenant] = &cachedPool{raw: raw, pool: pool}
	return &c.pools[tenant].pool, nil
}

// put puts a changed pool.
func (c poolCache) put(tx *transaction.Tx, tenant string, pool *quota.Pool) error {
	delete(c.pools, tenant)
	stored := storedPool{Cooling: pool.Cooling, AboveLimit: pool.AboveLimit, Charges: pool.Charges, Allocations: make([]numberedAllocation, 0, len(pool.Allocations))}
	for holder, allocation := range pool.Allocations {
		number, err := c.holders.number(tx, holder)
		if err != nil {
			return err
		}
		stored.Allocations = append(stored.Allocations, numberedAllocation{Holder: number, Units: allocation.Units, Sequence: allocation.Sequence})
	}
	raw, err := stored.MarshalMsg(nil)
	if err != nil {
		return err
	}
	tx.PutRaw(poolKey(tenant), raw)
	c.pools[tenant] = &cachedPool{raw: raw, pool: *pool}
	return nil
}

// decodePool decodes a stored pool, whose holders the function names by their numbers.
func decodePool(raw []byte, holderName func(number uint64) (string, error)) (quota.Pool, error) {
	var stored storedPool
	if _, err := stored.UnmarshalMsg(raw); err != nil {
		return quota.Pool{}, eris.Wrap(err, "quotapool: decode a pool")
	}
	pool := quota.Pool{Allocations: stored.NamedAllocations, Cooling: stored.Cooling, AboveLimit: stored.AboveLimit, Charges: stored.Charges}
	if pool.Allocations == nil {
		pool.Allocations = make(map[string]quota.Allocation, len(stored.Allocations))
	}
	for _, allocation := range stored.Allocations {
		name, err := holderName(allocation.Holder)
		if err != nil {
			return quota.Pool{}, err
		}
		pool.Allocations[name] = quota.Allocation{Units: allocation.Units, Sequence: allocation.Sequence}
	}
	return pool, nil
}

// poolPrefix begins the keys of pools.
const poolPrefix = "share/"

// poolKey is the key of a tenant's pool.
func poolKey(tenant string) string { return poolPrefix + tenant }

// poolTenants lists the tenants that have a pool in the committed state.
func poolTenants(tx *transaction.Tx) []string {
	var tenants []string
	tx.Committed().ForEachWithPrefix(poolPrefix, func(key string, _ []byte) { tenants = append(tenants, strings.TrimPrefix(key, poolPrefix)) })
	return tenants
}

package quotapool

import (
	"sort"
	"strings"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// Shares lists who holds what of all tenants' quotas in a committed state, sorted by tenant and holder. It is safe for
// concurrent use.
func Shares(committed *store.Store) []coreapi.QuotaShare {
	pools := map[string][]byte{} // read first: a store must not be asked again while it is gone through
	committed.ForEachWithPrefix(poolPrefix, func(key string, raw []byte) { pools[strings.TrimPrefix(key, poolPrefix)] = raw })
	names, tx := holderNumbers{}, transaction.New(committed)
	var shares []coreapi.QuotaShare
	for tenant, raw := range pools {
		decoded, err := decodePool(raw, func(number uint64) (string, error) { return names.name(tx, number) })
		if err != nil {
			continue // it was written anew meanwhile
		}
		pool := &decoded.pool
		for holder, allocation := range pool.Allocations {
			shares = append(shares, coreapi.QuotaShare{Tenant: tenant, Holder: holder, Units: allocation.Units})
		}
		for holder, units := range pool.Cooling {
			shares = append(shares, coreapi.QuotaShare{Tenant: tenant, Holder: holder, Units: units, Cooling: true})
		}
	}
	sort.Slice(shares, func(i, j int) bool {
		a, b := shares[i], shares[j]
		return a.Tenant < b.Tenant || a.Tenant == b.Tenant && a.Holder < b.Holder
	})
	return shares
}

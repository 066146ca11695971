package quotapool

import (
	"sort"
	"strings"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// Shares returns the units of each holder in all tenants' pools of a committed state, sorted by tenant and holder. It is safe
// for concurrent use.
func Shares(committed *store.Store) []coreapi.QuotaShare {
	pools := map[string][]byte{} // copied first: a store must not be read during an iteration
	committed.ForEachWithPrefix(poolPrefix, func(key string, raw []byte) { pools[strings.TrimPrefix(key, poolPrefix)] = raw })
	names, tx := holderNumbers{}, transaction.New(committed)
	var shares []coreapi.QuotaShare
	for tenant, raw := range pools {
		decoded, err := decodePool(raw, func(number uint64) (string, error) { return names.name(tx, number) })
		if err != nil {
			continue // for example, a concurrent commit has deleted the record of one of its holders
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

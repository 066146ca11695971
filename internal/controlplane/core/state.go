package core

import (
	"sort"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
)

// State tells the core's own state.
func (s *Server) State() *coreapi.State {
	committed := s.store.Load()
	state := &coreapi.State{View: s.acceptor.View(), ID: s.acceptor.ID(), StoreVersion: committed.Version()}
	s.mu.Lock()
	s.routers.Expire(time.Now())
	state.Ready, state.ConfigVersion, state.DiskFailed = s.ready, s.config.Version, s.diskFailed
	state.Nodes = s.routers.List()
	for _, known := range s.candidates {
		state.Candidates = append(state.Candidates, known.member)
	}
	s.mu.Unlock()
	counts := idempotency.Count(committed)
	state.Claims, state.FinishedKeys, state.FinishedKeyParts = counts.Claims, counts.FinishedKeys, counts.FinishedKeyParts
	state.Shares = quotaShares(committed)
	return state
}

// View is the newest view that this core knows.
func (s *Server) View() view.View { return s.acceptor.View() }

// quotaShares lists who holds what of all tenants' quotas, sorted by tenant and holder.
func quotaShares(committed *store.Store) []coreapi.QuotaShare {
	pools := map[string][]byte{} // read first: a store must not be asked again while it is gone through
	committed.ForEachWithPrefix(poolPrefix, func(key string, raw []byte) { pools[strings.TrimPrefix(key, poolPrefix)] = raw })
	names, tx := holderNumbers{}, transaction.New(committed)
	var shares []coreapi.QuotaShare
	for tenant, raw := range pools {
		pool, err := decodePool(raw, func(number uint64) (string, error) { return names.name(tx, number) })
		if err != nil {
			continue // it was written anew meanwhile
		}
		for holder, held := range pool.Allocations {
			shares = append(shares, coreapi.QuotaShare{Tenant: tenant, Holder: holder, Units: held.Units})
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

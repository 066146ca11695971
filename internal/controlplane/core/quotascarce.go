package core

import (
	"sort"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/quota"
)

// smallQuotaDivisor is the part of a small quota from which on idle units are wanted back: there are more routers than
// units, and each that has some idle keeps them from many others.
const smallQuotaDivisor = 2

// unevenQuotaDivisor is that part of a quota whose requests cost unequal numbers of units: one of them may want more than
// a draw's usual part of what is left.
const unevenQuotaDivisor = 8

// noteScarce notes that idle units of a tenant are wanted back: since a draw got too few, or soon may get too few.
func (s *Server) noteScarce(move *coreapi.QuotaMove, short bool, total, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	low := quota.IsSmall(total, s.routers.Len()) && free < total/smallQuotaDivisor || len(move.Costs) > 0 && free < total/unevenQuotaDivisor
	if short || low {
		s.scarceSince[move.Tenant] = time.Now()
	}
}

// scarceFor is how long idle units of a tenant are wanted back after a draw that got too little.
const scarceFor = 5 * time.Second

// scarceTenants lists the tenants whose idle units are wanted back. The caller holds the lock.
func (s *Server) scarceTenants() []string {
	var tenants []string
	for tenant, since := range s.scarceSince {
		if time.Since(since) < scarceFor {
			tenants = append(tenants, tenant)
		} else {
			delete(s.scarceSince, tenant)
		}
	}
	sort.Strings(tenants)
	return tenants
}

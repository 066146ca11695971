package quotapool

import (
	"sort"
	"time"

	"yarrowridge/internal/model/quota"
)

const (
	// scarceTTL is how long idle units of a tenant are wanted back after an acquire that got too little.
	scarceTTL = 5 * time.Second
	// smallQuotaDivisor is the fraction of a small quota below which idle units are wanted back: there are more routers
	// than units, and each that has some idle keeps them from many others.
	smallQuotaDivisor = 2
	// unevenQuotaDivisor is that fraction of a quota whose requests cost unequal numbers of units: one of them may want
	// more than an acquire's usual share of what is left.
	unevenQuotaDivisor = 8
)

// Demand is what an acquire asked for, and what it has left.
type Demand struct {
	Tenant string
	Units  int  // asked for; 0: none, or units were returned
	Unmet  bool // it got nothing, or too little for a request that waits
	Uneven bool // requests cost unequal numbers of units
	Quota  int  // the tenant's units
	Free   int  // units that are left
}

// isLow reports whether an acquire of one of so many routers soon may get too little.
func (d Demand) isLow(routers int) bool {
	return quota.IsSmall(d.Quota, routers) && d.Free < d.Quota/smallQuotaDivisor || d.Uneven && d.Free < d.Quota/unevenQuotaDivisor
}

// Scarcity knows the tenants whose idle units are wanted back from the routers. The core's server guards it with the mutex
// that guards the live routers: both are read for the response to one heartbeat. The zero value is ready.
type Scarcity struct {
	markedAt map[string]time.Time // by tenant
}

// Mark takes note of an acquire of at least one unit by one of so many live routers: idle units are wanted back if it got too few, or the next
// one may.
func (s *Scarcity) Mark(demand Demand, routers int) {
	if !demand.Unmet && !demand.isLow(routers) {
		return
	}
	if s.markedAt == nil {
		s.markedAt = map[string]time.Time{}
	}
	s.markedAt[demand.Tenant] = time.Now()
}

// Tenants lists the tenants whose idle units are wanted back, sorted.
func (s *Scarcity) Tenants() []string {
	var tenants []string
	for tenant, markedAt := range s.markedAt {
		if time.Since(markedAt) < scarceTTL {
			tenants = append(tenants, tenant)
		} else {
			delete(s.markedAt, tenant)
		}
	}
	sort.Strings(tenants)
	return tenants
}

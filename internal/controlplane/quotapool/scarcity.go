package quotapool

import (
	"math/rand/v2"
	"slices"
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
	listed   []string             // as of listedAt; replaced, never changed
	listedAt time.Time
	version  uint64 // of listed; 0: nothing was listed yet
}

// Record takes note of an acquire of at least one unit by one of so many live routers: idle units are wanted back if it got too few, or the next
// one may.
func (s *Scarcity) Record(demand Demand, routers int) {
	if !demand.Unmet && !demand.isLow(routers) {
		return
	}
	if s.markedAt == nil {
		s.markedAt = map[string]time.Time{}
	}
	s.markedAt[demand.Tenant] = time.Now()
}

// listMaxAge is how long one list is given out.
const listMaxAge = 50 * time.Millisecond

// Snapshot is Tenants as of listMaxAge ago at most, with a version that changes with the list: in a large fleet each heartbeat
// asks for it. The list must not be changed. No other primary uses the same versions.
func (s *Scarcity) Snapshot() (tenants []string, version uint64) {
	now := time.Now()
	if s.version == 0 {
		s.version = rand.Uint64() | 1
	} else if now.Sub(s.listedAt) < listMaxAge {
		return s.listed, s.version
	}
	s.listedAt = now
	if current := s.Tenants(); !slices.Equal(current, s.listed) {
		s.listed = current
		s.version++
	}
	return s.listed, s.version
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
	slices.Sort(tenants)
	return tenants
}

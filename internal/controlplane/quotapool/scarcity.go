package quotapool

import (
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/model/quota"
)

const (
	// scarceTTL is how long after a recorded shortage the routers are asked to return a tenant's idle units.
	scarceTTL = 5 * time.Second
	// smallQuotaDivisor sets the fraction of a small quota below which idle units are requested back: it has too few units
	// for each router to keep one idle, so that idle units of one router are missing at many others.
	smallQuotaDivisor = 2
	// unevenCostsDivisor sets this fraction for a quota whose requests differ in cost: one of them may need more than the
	// usual share that an acquire gets of the free units.
	unevenCostsDivisor = 8
)

// Demand describes what an acquire requested and what it left free.
type Demand struct {
	Tenant      string
	Units       int  // requested; 0: none, or the transfer was a return
	Unmet       bool // it got no units, or too few for a waiting request
	UnevenCosts bool // requests differ in cost
	Quota       int  // the tenant's units
	Free        int  // units that are free after the acquire
}

// isLow reports whether so few units are free that the next acquires, from this number of routers, may get too few.
func (d Demand) isLow(routers int) bool {
	return quota.IsSmall(d.Quota, routers) && d.Free < d.Quota/smallQuotaDivisor || d.UnevenCosts && d.Free < d.Quota/unevenCostsDivisor
}

// Scarcity records for which tenants the routers are asked to return idle units. It is guarded by the mutex of the core's
// service that also guards the live routers, since the response to a heartbeat reads both. The zero value is ready to use.
type Scarcity struct {
	lastShortage map[string]time.Time // by tenant: when an acquire was last short of units, or left few
	snapshot     []string             // as of snapshotAt; replaced, never modified
	snapshotAt   time.Time
	version      uint64 // of snapshot; 0: no snapshot was taken yet
}

// Record records an acquire of at least one unit, given the number of live routers. If the acquire got too few units, or the
// next one may, routers are asked to return the tenant's idle units.
func (s *Scarcity) Record(demand Demand, routers int) {
	if !demand.Unmet && !demand.isLow(routers) {
		return
	}
	if s.lastShortage == nil {
		s.lastShortage = map[string]time.Time{}
	}
	s.lastShortage[demand.Tenant] = time.Now()
}

// snapshotMaxAge is how long Snapshot returns the same list.
const snapshotMaxAge = 50 * time.Millisecond

// Snapshot returns the result of Tenants, at most snapshotMaxAge old, with a version that changes with the list. It is cached
// since every heartbeat of a large fleet reads it. The caller must not modify the list. Versions start at a random number, so
// that they differ from those of other primaries.
func (s *Scarcity) Snapshot() (tenants []string, version uint64) {
	now := time.Now()
	if s.version == 0 {
		s.version = rand.Uint64() | 1
	} else if now.Sub(s.snapshotAt) < snapshotMaxAge {
		return s.snapshot, s.version
	}
	s.snapshotAt = now
	if current := s.Tenants(); !slices.Equal(current, s.snapshot) {
		s.snapshot = current
		s.version++
	}
	return s.snapshot, s.version
}

// Tenants returns the tenants whose idle units the routers are asked to return, sorted. It deletes expired records.
func (s *Scarcity) Tenants() []string {
	var tenants []string
	for tenant, recordedAt := range s.lastShortage {
		if time.Since(recordedAt) < scarceTTL {
			tenants = append(tenants, tenant)
		} else {
			delete(s.lastShortage, tenant)
		}
	}
	slices.Sort(tenants)
	return tenants
}

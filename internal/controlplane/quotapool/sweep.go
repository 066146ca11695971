package quotapool

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/quota"
)

// absentHolderTTL is how long a holder without a lease keeps its units. It is longer than quota.ContactTTL, after which a
// holder without contact to the core stops spending.
const absentHolderTTL = quota.ContactTTL + quota.ContactTTL/10

// LiveHolders lists the holders whose node has a lease that has not expired.
type LiveHolders struct {
	Holders   map[string]bool         // by coreapi.Holder
	Addresses map[string]coreapi.Node // by address
}

// poolEntry identifies one holder's units of one tenant.
type poolEntry struct{ tenant, holder string }

// expiredCharge identifies a charge that no longer counts against a tenant's tolerance.
type expiredCharge struct {
	tenant string
	id     uint64
}

// dueChanges collects the changes that a sweep of the pools found to be due.
type dueChanges struct {
	cooled   []poolEntry // units whose cooling period is over
	timedOut []poolEntry // units of holders that were absent for absentHolderTTL
	charges  []expiredCharge

	successors map[string]coreapi.Node // by address: live nodes at whose address another run has units
}

// HasCooling reports whether the last sweep found cooling units. The next sweep is due earlier in that case.
func (p *Pools) HasCooling() bool { return p.hasCooling }

// Sweep finds units whose cooling period is over, units of holders that have been absent for too long, and expired charges.
// It returns the operation that frees the first, starts the cooling period of the second and removes the third, for the
// core to submit, or nil if nothing is due. Each period is counted from when this run of the process first saw the entry,
// so that a restart only extends it.
//
// successors are live nodes at whose address another run has units. The sweep cannot know whether that run has ended; the
// core finds out (see FindReplaced).
func (p *Pools) Sweep(committed *store.Store, document *configuration.Document, live LiveHolders) (operation func(*transaction.Tx) error, successors map[string]coreapi.Node) {
	ages := &ageTable{firstSeen: p.firstSeen, now: time.Now(), seen: map[string]bool{}}
	due := dueChanges{successors: map[string]coreapi.Node{}}
	p.hasCooling = false
	pools, _ := p.readAll(transaction.New(committed)) // unreadable pools are skipped
	absent := p.cache.holders.absent(live)            // computed once: few holders are absent, but each pool has many holders
	for tenant, pool := range pools {
		p.hasCooling = p.hasCooling || len(pool.Cooling) > 0
		due.addExpired(tenant, pool, document, ages)
		due.addTimedOut(tenant, pool, absent, live, ages)
	}
	ages.removeUnseen()
	if len(due.cooled)+len(due.timedOut)+len(due.charges) == 0 {
		return nil, due.successors
	}
	return func(tx *transaction.Tx) error { return p.update(tx, due.apply) }, due.successors
}

// addExpired adds the cooling units and the charges of one tenant's pool whose time is over.
func (d *dueChanges) addExpired(tenant string, pool *quota.Pool, document *configuration.Document, ages *ageTable) {
	window := document.Windows[tenant]
	for holder := range pool.Cooling {
		if ages.isOlderThan(coolingKey(tenant, holder), window+quota.Margin) || faultinjection.Disabled("cooling") {
			d.cooled = append(d.cooled, poolEntry{tenant, holder})
		}
	}
	for _, charge := range pool.Charges {
		if ages.isOlderThan(chargeKey(tenant, charge.ID), chargeTTL(max(document.ToleranceWindow, window))) {
			d.charges = append(d.charges, expiredCharge{tenant, charge.ID})
		}
	}
}

// addTimedOut adds the holders with units in one tenant's pool that have been absent for absentHolderTTL. For the other
// absent holders it adds the live node at their address, which may have replaced them.
func (d *dueChanges) addTimedOut(tenant string, pool *quota.Pool, absent []string, live LiveHolders, ages *ageTable) {
	for _, holder := range absent {
		if _, hasUnits := pool.Allocations[holder]; !hasUnits {
			continue
		}
		if ages.isOlderThan("silent/"+tenant+"/"+holder, absentHolderTTL) {
			d.timedOut = append(d.timedOut, poolEntry{tenant, holder})
			continue
		}
		address := addressOfHolder(holder)
		if successor, ok := live.Addresses[address]; ok {
			d.successors[address] = successor
		}
	}
}

// apply makes the changes that are due in one tenant's pool and reports whether the pool changed.
func (d *dueChanges) apply(tenant string, pool *quota.Pool) (changed bool) {
	for _, entry := range d.cooled {
		changed = entry.tenant == tenant && pool.EndCooling(entry.holder) || changed
	}
	for _, entry := range d.timedOut {
		changed = entry.tenant == tenant && pool.StartCooling(entry.holder) || changed
	}
	for _, charge := range d.charges {
		changed = charge.tenant == tenant && pool.RemoveCharge(charge.id) || changed
	}
	return changed
}

// ageTable records since when this run of the process has seen entries of pools, by key.
type ageTable struct {
	firstSeen map[string]time.Time // retained between sweeps
	now       time.Time
	seen      map[string]bool // by this sweep
}

// isOlderThan reports whether an entry was first seen more than age ago. It records the entry as seen by this sweep.
func (a *ageTable) isOlderThan(key string, age time.Duration) bool {
	a.seen[key] = true
	firstSeen, ok := a.firstSeen[key]
	if !ok {
		a.firstSeen[key] = a.now
		return false
	}
	return a.now.Sub(firstSeen) > age
}

// removeUnseen removes the entries that this sweep has not seen.
func (a *ageTable) removeUnseen() {
	for key := range a.firstSeen {
		if !a.seen[key] {
			delete(a.firstSeen, key)
		}
	}
}

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

// silentHolderTTL is how long a silent holder keeps its units: by then it has stopped spending on its own.
const silentHolderTTL = quota.ContactTTL + quota.ContactTTL/10

// LiveHolders are the holders whose node's lease runs.
type LiveHolders struct {
	Holders   map[string]bool         // by coreapi.Holder
	Addresses map[string]coreapi.Node // by address
}

// holding names one holder's units of one tenant.
type holding struct{ tenant, holder string }

// expiredCharge names a charge of a tenant's tolerance that counts no longer.
type expiredCharge struct {
	tenant string
	id     uint64
}

// dueChanges is what a sweep of the pools has found due.
type dueChanges struct {
	cooled   []holding // units that have cooled
	departed []holding // units of holders that are gone
	charges  []expiredCharge

	successors map[string]coreapi.Node // live nodes at whose address other runs have units, by address
}

// HasCooling reports whether the last sweep found cooling units: the next one is due sooner.
func (p *Pools) HasCooling() bool { return p.hasCooling }

// Sweep finds units that have cooled, those of holders that are gone, and charges that count no longer. It returns the
// operation that frees the first, has the second cool and removes the third, for the core to submit, or nil where nothing
// is due. Time is counted from when this run of this process first saw each: a restart only makes them last longer.
//
// successors are live nodes beside which other runs at the same address hold units. Whether these have ended is for the
// core to find out (FindReplaced).
func (p *Pools) Sweep(committed *store.Store, document *configuration.Document, live LiveHolders) (operation func(*transaction.Tx) error, successors map[string]coreapi.Node) {
	ages := &ageTable{firstSeen: p.firstSeen, now: time.Now(), seen: map[string]bool{}}
	due := dueChanges{successors: map[string]coreapi.Node{}}
	p.hasCooling = false
	pools, _ := p.readAll(transaction.New(committed)) // one that can't be read is left out
	absent := p.cache.holders.absent(live)            // of all pools together: few, where a look at each pool's holders would be at many
	for tenant, pool := range pools {
		p.hasCooling = p.hasCooling || len(pool.Cooling) > 0
		due.add(tenant, pool, document, ages)
		due.addDeparted(tenant, pool, absent, live, ages)
	}
	ages.forgetUnseen()
	if len(due.cooled)+len(due.departed)+len(due.charges) == 0 {
		return nil, due.successors
	}
	return func(tx *transaction.Tx) error { return p.update(tx, due.apply) }, due.successors
}

// add adds the cooling units and the charges that are due in one tenant's pool.
func (d *dueChanges) add(tenant string, pool *quota.Pool, document *configuration.Document, ages *ageTable) {
	window := document.Windows[tenant]
	for holder := range pool.Cooling {
		if ages.isOver(coolingKey(tenant, holder), window+quota.Margin) || faultinjection.Disabled("cooling") {
			d.cooled = append(d.cooled, holding{tenant, holder})
		}
	}
	for _, charge := range pool.Charges {
		if ages.isOver(chargeKey(tenant, charge.ID), chargeTTL(max(document.ToleranceWindow, window))) {
			d.charges = append(d.charges, expiredCharge{tenant, charge.ID})
		}
	}
}

// addDeparted adds the absent holders whose units in one tenant's pool are to cool, and the nodes that may have replaced one.
func (d *dueChanges) addDeparted(tenant string, pool *quota.Pool, absent []string, live LiveHolders, ages *ageTable) {
	for _, holder := range absent {
		if _, holds := pool.Allocations[holder]; !holds {
			continue
		}
		if ages.isOver("silent/"+tenant+"/"+holder, silentHolderTTL) {
			d.departed = append(d.departed, holding{tenant, holder})
			continue
		}
		address := addressOfHolder(holder)
		if successor, ok := live.Addresses[address]; ok {
			d.successors[address] = successor
		}
	}
}

// apply makes the changes due in one tenant's pool, and reports whether there were any.
func (d *dueChanges) apply(tenant string, pool *quota.Pool) (changed bool) {
	for _, one := range d.cooled {
		changed = one.tenant == tenant && pool.EndCooling(one.holder) || changed
	}
	for _, one := range d.departed {
		changed = one.tenant == tenant && pool.StartCooling(one.holder) || changed
	}
	for _, charge := range d.charges {
		changed = charge.tenant == tenant && pool.RemoveCharge(charge.id) || changed
	}
	return changed
}

// ageTable tells for how long this run of the process has seen things.
type ageTable struct {
	firstSeen map[string]time.Time // kept from sweep to sweep
	now       time.Time
	seen      map[string]bool // in this sweep
}

// isOver reports whether a thing was first seen longer ago than the span.
func (a *ageTable) isOver(key string, span time.Duration) bool {
	a.seen[key] = true
	since, ok := a.firstSeen[key]
	if !ok {
		a.firstSeen[key] = a.now
		return false
	}
	return a.now.Sub(since) > span
}

// forgetUnseen drops what this sweep has not come upon.
func (a *ageTable) forgetUnseen() {
	for key := range a.firstSeen {
		if !a.seen[key] {
			delete(a.firstSeen, key)
		}
	}
}

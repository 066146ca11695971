// Package quotapool is the state machine of tenants' quota pools: which holder, a run of a router, has how many units of each
// tenant's quota, which units cool after their holder has gone, and what is charged to a tenant's tolerance. It sees a batch
// of the core's state and does no I/O; the core submits its operations and commits the batch. The rules of one pool are
// package quota's.
package quotapool

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// Pools are the quota pools of all tenants. Only the goroutine of the core's run loop may call its methods.
type Pools struct {
	cache      poolCache
	charges    map[string]openCharge    // of tenants' tolerances
	savings    map[string]*quota.Saving // of quotas whose requests cost unequal numbers of units
	firstSeen  map[string]time.Time     // by this run of the process: cooling and silent holders, and charges
	hasCooling bool                     // as the last sweep found it
}

// New makes the state machine.
func New() *Pools {
	return &Pools{
		cache:     newPoolCache(),
		charges:   map[string]openCharge{},
		savings:   map[string]*quota.Saving{},
		firstSeen: map[string]time.Time{},
	}
}

// Transfer acquires or returns units of one tenant. The demand tells how far an acquire was met, also where the transfer
// then failed; that of a return has no units.
func (p *Pools) Transfer(tx *transaction.Tx, holder string, move *coreapi.QuotaTransfer, document *configuration.Document) (result coreapi.QuotaTransferResult, demand Demand, err error) {
	pool, err := p.cache.get(tx, move.Tenant)
	if err != nil {
		return result, demand, err
	}
	limit, tolerance := document.Quotas[move.Tenant], document.Tolerances[move.Tenant]
	var changed bool
	if move.Return {
		result.Held, changed = pool.Return(holder, move.Sequence, move.Units)
	} else {
		before := pool.Allocations[holder].Units
		free := max(0, pool.MaxAllocated(limit, tolerance)-pool.AllocatedUnits())
		units, unmet := p.allocate(move, free, limit)
		result.Held, changed = pool.AcquireWithTolerance(holder, move.Sequence, units, limit, tolerance, p.chargeFor(move.Tenant))
		demand = Demand{Tenant: move.Tenant, Units: move.Units, Unmet: unmet || result.Held == before, Uneven: len(move.Costs) > 0,
			Quota: limit, Free: free - (result.Held - before)}
	}
	result.Limit = pool.LimitBase(limit)
	if changed {
		err = p.cache.putAllocation(tx, move.Tenant, pool, holder)
	}
	return result, demand, err
}

// allocate is how many of the free units an acquire gets. It reports whether a request that waits for them gets none.
func (p *Pools) allocate(move *coreapi.QuotaTransfer, free, limit int) (units int, unmet bool) {
	if len(move.Costs) == 0 {
		return min(move.Units, maxAcquire(free)), false
	}
	saving := p.savings[move.Tenant]
	if saving == nil {
		saving = &quota.Saving{}
		p.savings[move.Tenant] = saving
	}
	return saving.Allocate(time.Now(), free, limit, move.Costs, move.Units)
}

// maxAcquire is the most that one acquire gets of what is free.
func maxAcquire(free int) int { return (free + quota.AcquireDivisor - 1) / quota.AcquireDivisor }

// StartCooling has a holder's units of all tenants cool: its process is surely gone.
func (p *Pools) StartCooling(tx *transaction.Tx, holder string) error {
	return p.update(tx, func(_ string, pool *quota.Pool) bool { return pool.StartCooling(holder) })
}

// readAll reads all pools by their tenants, so that all their holders are known to the cache. With an error it gives those
// that can be read.
func (p *Pools) readAll(tx *transaction.Tx) (pools map[string]*quota.Pool, err error) {
	pools = map[string]*quota.Pool{}
	for _, tenant := range poolTenants(tx) {
		pool, readErr := p.cache.get(tx, tenant)
		if readErr != nil {
			err = readErr
			continue
		}
		pools[tenant] = pool
	}
	return pools, err
}

// update calls change for each pool, and puts those for which it reports a change.
func (p *Pools) update(tx *transaction.Tx, change func(tenant string, pool *quota.Pool) bool) error {
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	return p.changeEach(tx, pools, change)
}

// changeEach is update of pools that readAll has given.
func (p *Pools) changeEach(tx *transaction.Tx, pools map[string]*quota.Pool, change func(tenant string, pool *quota.Pool) bool) error {
	for tenant, pool := range pools {
		if change(tenant, pool) {
			if err := p.cache.put(tx, tenant, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

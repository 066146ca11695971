// Package quotapool is the state machine of the tenants' quota pools. It records how many units of each tenant's quota each
// holder (a run of a router) has, which units are cooling after their holder ended, and what is charged to a tenant's
// tolerance. It reads and changes the core's state through a batch and does no I/O; the core submits its operations and
// commits the batch. The rules of a single pool are in package quota.
package quotapool

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// Pools manages the quota pools of all tenants. Its methods may be called only from the goroutine of the core's run loop.
type Pools struct {
	cache      poolCache
	charges    map[string]openCharge    // of the tolerance, by tenant
	savings    map[string]*quota.Saving // by tenant, for quotas whose requests differ in cost
	firstSeen  map[string]time.Time     // by this run of the process: cooling units, absent holders and charges
	hasCooling bool                     // as of the last sweep
}

// New returns a state machine with nothing cached.
func New() *Pools {
	return &Pools{
		cache:     newPoolCache(),
		charges:   map[string]openCharge{},
		savings:   map[string]*quota.Saving{},
		firstSeen: map[string]time.Time{},
	}
}

// Transfer acquires or returns units of one tenant. The demand describes how far an acquire was met, even if storing the
// result failed; for a return its Units is 0.
func (p *Pools) Transfer(tx *transaction.Tx, holder string, transfer *coreapi.QuotaTransfer, document *configuration.Document) (result coreapi.QuotaTransferResult, demand Demand, err error) {
	pool, err := p.cache.get(tx, transfer.Tenant)
	if err != nil {
		return result, demand, err
	}
	limit, tolerance := document.Quotas[transfer.Tenant], document.Tolerances[transfer.Tenant]
	var changed bool
	if transfer.Return {
		result.HeldUnits, changed = pool.Return(holder, transfer.Sequence, transfer.Units)
	} else {
		before := pool.Allocations[holder].Units
		free := max(0, pool.MaxAllocated(limit, tolerance)-pool.AllocatedUnits())
		units, unmet := p.allocate(transfer, free, limit)
		result.HeldUnits, changed = pool.AcquireWithTolerance(holder, transfer.Sequence, units, limit, tolerance, p.currentChargeID(transfer.Tenant))
		demand = Demand{Tenant: transfer.Tenant, Units: transfer.Units, Unmet: unmet || result.HeldUnits == before, UnevenCosts: len(transfer.Costs) > 0,
			Quota: limit, Free: free - (result.HeldUnits - before)}
	}
	result.Limit = pool.LimitBase(limit)
	if changed {
		err = p.cache.putAllocation(tx, transfer.Tenant, pool, holder)
	}
	return result, demand, err
}

// allocate returns how many of the free units an acquire gets. unmet reports that a request waiting for them gets none.
func (p *Pools) allocate(transfer *coreapi.QuotaTransfer, free, limit int) (units int, unmet bool) {
	if len(transfer.Costs) == 0 {
		return min(transfer.Units, maxAcquire(free)), false
	}
	saving := p.savings[transfer.Tenant]
	if saving == nil {
		saving = &quota.Saving{}
		p.savings[transfer.Tenant] = saving
	}
	return saving.Allocate(time.Now(), free, limit, transfer.Costs, transfer.Units)
}

// maxAcquire is the largest number of the free units that one acquire gets.
func maxAcquire(free int) int { return (free + quota.AcquireDivisor - 1) / quota.AcquireDivisor }

// StartCooling starts the cooling period of a holder's units of all tenants. The holder's process must have ended.
func (p *Pools) StartCooling(tx *transaction.Tx, holder string) error {
	return p.update(tx, func(_ string, pool *quota.Pool) bool { return pool.StartCooling(holder) })
}

// readAll returns all pools by tenant. Afterwards the cache knows all their holders. With an error it returns the pools
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

// update calls change for each pool and stores the pools for which it returns true.
func (p *Pools) update(tx *transaction.Tx, change func(tenant string, pool *quota.Pool) bool) error {
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	return p.updatePools(tx, pools, change)
}

// updatePools is update for pools that readAll has returned.
func (p *Pools) updatePools(tx *transaction.Tx, pools map[string]*quota.Pool, change func(tenant string, pool *quota.Pool) bool) error {
	for tenant, pool := range pools {
		if change(tenant, pool) {
			if err := p.cache.put(tx, tenant, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

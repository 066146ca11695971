package quotapool

import (
	"slices"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// inFlightTime covers requests that a process sent before it ended and that had not arrived by then.
const inFlightTime = 50 * time.Millisecond

// addressOfHolder returns the address in a holder's name (see coreapi.Holder), or "" if the name has none.
func addressOfHolder(holder string) string {
	begin, end := strings.LastIndex(holder, "@")+1, strings.LastIndex(holder, "/")
	if begin == 0 || end < begin {
		return ""
	}
	return holder[begin:end]
}

// Successor is a run of a node that may have replaced earlier runs at the node's address, either of the same node or of
// another node that had the address before.
type Successor struct {
	Node        coreapi.Node
	LatestStart time.Time // the run started at this time or earlier
}

// ReplacedRuns lists the other runs at a successor's address that have units, allocated or cooling.
type ReplacedRuns struct {
	Successor
	Holders []string
}

// FindReplaced returns the successors, given by address, at whose address other runs have units. If a successor is seen
// alive after this call, these runs have ended: they started before the call, and only one process can listen at an
// address. A message received from the successor before the call proves nothing: it may have been delayed until after the
// successor itself had ended.
func (p *Pools) FindReplaced(tx *transaction.Tx, successors map[string]Successor) ([]ReplacedRuns, error) {
	pools, err := p.readAll(tx)
	if err != nil {
		return nil, err
	}
	var replaced []ReplacedRuns
	for address, holders := range p.otherRuns(pools, successors) {
		replaced = append(replaced, ReplacedRuns{Successor: successors[address], Holders: holders})
	}
	return replaced, nil
}

// otherRuns returns, by address, the holders with units at the successors' addresses other than the successors themselves.
func (p *Pools) otherRuns(pools map[string]*quota.Pool, successors map[string]Successor) map[string][]string {
	found := map[string][]string{}
	add := func(holder string) {
		address := addressOfHolder(holder)
		if !slices.Contains(found[address], holder) {
			found[address] = append(found[address], holder)
		}
	}
	isOther := func(holder string) bool {
		successor, ok := successors[addressOfHolder(holder)]
		return ok && holder != coreapi.Holder(successor.Node)
	}
	for holder := range p.cache.holders { // not for each pool: a large fleet has hundreds of holders and pools
		if isOther(holder) && hasAllocation(pools, holder) {
			add(holder)
		}
	}
	for _, pool := range pools {
		for holder := range pool.Cooling {
			if isOther(holder) {
				add(holder)
			}
		}
	}
	return found
}

// hasAllocation reports whether any of the pools has an allocation for a holder.
func hasAllocation(pools map[string]*quota.Pool, holder string) bool {
	for _, pool := range pools {
		if _, ok := pool.Allocations[holder]; ok {
			return true
		}
	}
	return false
}

// CoolReplaced starts the cooling period of the units of replaced runs. Their successors must have been seen alive after
// FindReplaced returned them. The period is counted from the start of the successor, since the last spends of the replaced
// runs are older.
func (p *Pools) CoolReplaced(tx *transaction.Tx, replaced []ReplacedRuns) error {
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	return p.updatePools(tx, pools, func(tenant string, pool *quota.Pool) bool {
		changed := false
		for _, runs := range replaced {
			changed = p.coolReplacedInPool(tenant, pool, runs) || changed
		}
		return changed
	})
}

// coolReplacedInPool is CoolReplaced for one successor and one tenant's pool. It reports whether the pool changed.
func (p *Pools) coolReplacedInPool(tenant string, pool *quota.Pool, replaced ReplacedRuns) (changed bool) {
	coolingSince := replaced.LatestStart.Add(inFlightTime - quota.Margin)
	for _, holder := range replaced.Holders {
		changed = pool.StartCooling(holder) || changed
		if _, isCooling := pool.Cooling[holder]; isCooling {
			p.setCoolingSince(tenant, holder, coolingSince)
		}
	}
	return changed
}

// setCoolingSince records when the cooling period of a holder's units started, unless an earlier time is recorded.
func (p *Pools) setCoolingSince(tenant, holder string, since time.Time) {
	key := coolingKey(tenant, holder)
	if recorded, ok := p.firstSeen[key]; !ok || since.Before(recorded) {
		p.firstSeen[key] = since
	}
}

// coolingKey is the key of a holder's cooling units in Pools.firstSeen.
func coolingKey(tenant, holder string) string { return "cool/" + tenant + "/" + holder }

package quotapool

import (
	"slices"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// inFlightTime covers the last requests that a process sent before its end and that had not arrived yet.
const inFlightTime = 50 * time.Millisecond

// addressOfHolder is the address in a holder's name, as coreapi.Holder makes it of a node's name, address and run; "": none.
func addressOfHolder(holder string) string {
	begin, end := strings.LastIndex(holder, "@")+1, strings.LastIndex(holder, "/")
	if begin == 0 || end < begin {
		return ""
	}
	return holder[begin:end]
}

// Successor is a run of a node that was heard of, and may have replaced earlier runs at the node's address: of the same node,
// or of another one that had the address before.
type Successor struct {
	Node    coreapi.Node
	BegunBy time.Time // it had begun by then
}

// Replaced is a successor with the other runs at its address that have units, held or cooling.
type Replaced struct {
	Successor
	Holders []string
}

// FindReplaced lists the successors, given by their addresses, beside which other runs at the same address have units. These runs have ended once the
// successor is seen alive after this call: they began before, and only one process can listen at an address. What was heard
// of the successor before proves nothing, since it may have been delayed until after the successor's own end.
func (p *Pools) FindReplaced(tx *transaction.Tx, successors map[string]Successor) ([]Replaced, error) {
	pools, err := p.readAll(tx)
	if err != nil {
		return nil, err
	}
	var replaced []Replaced
	for address, holders := range p.otherRuns(pools, successors) {
		replaced = append(replaced, Replaced{Successor: successors[address], Holders: holders})
	}
	return replaced, nil
}

// otherRuns lists the holders with units at the successors' addresses that are not the successors, by their addresses.
func (p *Pools) otherRuns(pools map[string]*quota.Pool, successors map[string]Successor) map[string][]string {
	found := map[string][]string{}
	add := func(holder string) {
		address := addressOfHolder(holder)
		if !slices.Contains(found[address], holder) {
			found[address] = append(found[address], holder)
		}
	}
	isOther := func(holder string) bool {
		successor, known := successors[addressOfHolder(holder)]
		return known && holder != coreapi.Holder(successor.Node)
	}
	for holder := range p.cache.holders { // once, not for each pool: a large fleet has hundreds of both
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

// hasAllocation reports whether a holder is named by any of the pools.
func hasAllocation(pools map[string]*quota.Pool, holder string) bool {
	for _, pool := range pools {
		if _, ok := pool.Allocations[holder]; ok {
			return true
		}
	}
	return false
}

// CoolReplaced has the units of runs cool whose successors were seen alive after FindReplaced had listed them. They cool
// since their successor began: their last spends are older.
func (p *Pools) CoolReplaced(tx *transaction.Tx, replaced []Replaced) error {
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	return p.changeEach(tx, pools, func(tenant string, pool *quota.Pool) bool {
		changed := false
		for _, one := range replaced {
			changed = p.coolReplacedIn(tenant, pool, one) || changed
		}
		return changed
	})
}

// coolReplacedIn is CoolReplaced of one successor and one tenant's pool. It reports whether the pool changed.
func (p *Pools) coolReplacedIn(tenant string, pool *quota.Pool, replaced Replaced) (changed bool) {
	endedBy := replaced.BegunBy.Add(inFlightTime - quota.Margin)
	for _, holder := range replaced.Holders {
		changed = pool.StartCooling(holder) || changed
		if _, cools := pool.Cooling[holder]; cools {
			p.setCoolingSince(tenant, holder, endedBy)
		}
	}
	return changed
}

// setCoolingSince notes since when a holder's units cool at the latest.
func (p *Pools) setCoolingSince(tenant, holder string, since time.Time) {
	key := coolingKey(tenant, holder)
	if known, ok := p.firstSeen[key]; !ok || since.Before(known) {
		p.firstSeen[key] = since
	}
}

// coolingKey names a holder's cooling units in Pools.firstSeen.
func coolingKey(tenant, holder string) string { return "cool/" + tenant + "/" + holder }

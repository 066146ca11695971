package quotapool

import (
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// inFlightTime covers the last requests that a process sent before its end and that had not arrived yet.
const inFlightTime = 50 * time.Millisecond

// NodeAddress is the part of a holder's name (coreapi.Holder) that all runs of a node at one address share.
func NodeAddress(n coreapi.Node) string { return n.Name + "@" + n.Addr }

// addressOfHolder is the NodeAddress in a holder's name.
func addressOfHolder(holder string) string {
	address, _, _ := strings.Cut(holder, "/")
	return address
}

// ReplacedRuns gathers the nodes whose earlier runs have ended. After a restart of the whole fleet there are
// as many as routers, and each would have all pools written anew. Its own mutex guards it; it is safe for concurrent use.
type ReplacedRuns struct {
	mu   sync.Mutex
	runs map[string]replacedRun // by NodeAddress
}

// replacedRun is a node's new run, and when the ones before it had ended at the latest.
type replacedRun struct {
	holder string
	ended  time.Time
}

// Add notes a node's new run, which began age ago, and reports whether it is the first since the last take. The earlier
// runs at its address ended before it began, so their last spends are at least as old as the new run.
func (r *ReplacedRuns) Add(n coreapi.Node, age time.Duration) (first bool) {
	return r.add(NodeAddress(n), replacedRun{holder: coreapi.Holder(n), ended: time.Now().Add(inFlightTime - quota.Margin - age)})
}

func (r *ReplacedRuns) add(address string, run replacedRun) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]replacedRun{}
	}
	r.runs[address] = run
	return len(r.runs) == 1
}

// take gives what was gathered, and begins anew.
func (r *ReplacedRuns) take() map[string]replacedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs
	r.runs = nil
	return runs
}

// CoolReplaced takes the runs that were gathered, and has the units of the runs that they replaced cool.
func (p *Pools) CoolReplaced(tx *transaction.Tx, replaced *ReplacedRuns) error {
	runs := replaced.take()
	replacedBy := func(holder string) (replacedRun, bool) {
		run, known := runs[addressOfHolder(holder)]
		return run, known && holder != run.holder
	}
	pools, err := p.readAll(tx)
	if err != nil {
		return err
	}
	// Looked for among the holders once, not among each pool's: a large fleet has hundreds of both.
	var ended []string
	for holder := range p.cache.holders {
		if _, replaced := replacedBy(holder); replaced {
			ended = append(ended, holder)
		}
	}
	return p.changeEach(tx, pools, func(tenant string, pool *quota.Pool) bool {
		changed := false
		for _, holder := range ended {
			changed = pool.StartCooling(holder) || changed
		}
		for holder := range pool.Cooling {
			if run, replaced := replacedBy(holder); replaced {
				p.setCoolingSince(tenant, holder, run.ended)
			}
		}
		return changed
	})
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

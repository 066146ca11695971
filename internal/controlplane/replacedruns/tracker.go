// Package replacedruns finds out which runs of routers have ended because another run of the same router took their place,
// so that their quota units can cool. A heartbeat of a run is no proof that the others at its address have ended: it may
// have been delayed in the network until after the end of the run that sent it. So the router itself is asked, once the
// runs that hold units are known.
package replacedruns

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
)

// gatherInterval is how long runs are gathered before they are looked up in the pools. After a restart of a whole fleet
// there are as many as routers, and each would have all pools written anew.
const gatherInterval = 20 * time.Millisecond

// Tracker gathers runs that may have replaced others, has those confirmed whose predecessors have units, and has the units
// of these cool. Where it fails at any step nothing cools: the sweep of the pools finds the run again. Its methods may be
// called concurrently.
type Tracker struct {
	ctx    context.Context
	pools  *quotapool.Pools // used within operations only
	runAt  RunAtFunc
	submit func(operation func(*transaction.Tx) error)

	mu       sync.Mutex
	gathered map[string]quotapool.Successor // by address; guarded by mu
}

// RunAtFunc asks the router that listens at an address which run of it there is. It has a time-out of its own: the units of all
// runs that are asked about together wait for the slowest answer.
type RunAtFunc func(ctx context.Context, addr string) (run uint64, err error)

// New makes a tracker whose queries end with ctx. submit has the run loop of the pools apply an operation some time later;
// it may drop it. Both functions may be called concurrently.
func New(ctx context.Context, pools *quotapool.Pools, runAt RunAtFunc, submit func(operation func(*transaction.Tx) error)) *Tracker {
	return &Tracker{ctx: ctx, pools: pools, runAt: runAt, submit: submit}
}

// Add notes a run of a node that was heard of, and that had begun age ago.
func (t *Tracker) Add(node coreapi.Node, age time.Duration) {
	if isFirst := t.gather(node, time.Now().Add(-age)); isFirst {
		time.AfterFunc(gatherInterval, t.find)
	}
}

// gather adds a run to those that are gathered, and reports whether it is the first of them. Of two reports of one run the
// one counts that says more of its age.
func (t *Tracker) gather(node coreapi.Node, begunBy time.Time) (isFirst bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isFirst = t.gathered == nil
	if isFirst {
		t.gathered = map[string]quotapool.Successor{}
	}
	known, ok := t.gathered[node.Addr]
	if ok && known.Node.Run == node.Run && known.BegunBy.Before(begunBy) {
		return isFirst
	}
	t.gathered[node.Addr] = quotapool.Successor{Node: node, BegunBy: begunBy}
	return isFirst
}

// take gives what was gathered, and begins anew.
func (t *Tracker) take() map[string]quotapool.Successor {
	t.mu.Lock()
	defer t.mu.Unlock()
	gathered := t.gathered
	t.gathered = nil
	return gathered
}

// find has the gathered runs looked up in the pools, and those confirmed beside which others have units.
func (t *Tracker) find() {
	successors := t.take()
	t.submit(func(tx *transaction.Tx) error {
		replaced, err := t.pools.FindReplaced(tx, successors)
		if len(replaced) > 0 {
			go t.confirm(replaced)
		}
		return err
	})
}

// confirm asks the successors whether they are alive, and has the units of the runs cool that the living ones replaced.
func (t *Tracker) confirm(replaced []quotapool.Replaced) {
	alive := make([]bool, len(replaced))
	var queries sync.WaitGroup
	for i, one := range replaced {
		queries.Go(func() { alive[i] = t.isAlive(one.Node) })
	}
	queries.Wait()
	var confirmed []quotapool.Replaced
	for i, one := range replaced {
		if alive[i] {
			confirmed = append(confirmed, one)
		}
	}
	if len(confirmed) > 0 {
		t.submit(func(tx *transaction.Tx) error { return t.pools.CoolReplaced(tx, confirmed) })
	}
}

// isAlive reports whether a node's run answers at its address.
func (t *Tracker) isAlive(node coreapi.Node) bool {
	if faultinjection.Disabled("run-query") {
		return true
	}
	run, err := t.runAt(t.ctx, node.Addr)
	return err == nil && run == node.Run
}

// Package replacedruns finds out which runs of routers have ended because another run replaced them at the same address, so
// that the cooling period of their quota units can start. A heartbeat from a run does not prove that the other runs at its
// address have ended: it may have been delayed in the network until after the end of the run that sent it. The tracker
// therefore queries the router once the runs that have units are known.
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

// batchDelay is how long runs are collected before they are looked up in the pools together. After a restart of a whole fleet
// every router has a new run, and a separate operation for each would write all pools again.
const batchDelay = 20 * time.Millisecond

// Tracker collects runs that may have replaced other runs, queries those whose predecessors have units, and starts the
// cooling period of these units if the run is confirmed. If a step fails, no cooling period starts, and the next sweep of
// the pools finds the run again. Its methods may be called concurrently.
type Tracker struct {
	ctx      context.Context
	pools    *quotapool.Pools // used only within operations
	queryRun QueryRunFunc
	submit   func(operation func(*transaction.Tx) error)

	mu      sync.Mutex
	pending map[string]quotapool.Successor // by address; guarded by mu
}

// QueryRunFunc asks the router that listens at an address for its run. It must have a time-out of its own: the units of all
// runs in a batch wait for the slowest response.
type QueryRunFunc func(ctx context.Context, addr string) (run uint64, err error)

// New returns a tracker whose queries are cancelled with ctx. submit schedules an operation on the run loop that owns the
// pools; it may drop the operation. Both functions may be called concurrently.
func New(ctx context.Context, pools *quotapool.Pools, queryRun QueryRunFunc, submit func(operation func(*transaction.Tx) error)) *Tracker {
	return &Tracker{ctx: ctx, pools: pools, queryRun: queryRun, submit: submit}
}

// Add adds a run of a node that a heartbeat or a sweep reported and that started at least age ago.
func (t *Tracker) Add(node coreapi.Node, age time.Duration) {
	if isFirst := t.addPending(node, time.Now().Add(-age)); isFirst {
		time.AfterFunc(batchDelay, t.findReplaced)
	}
}

// addPending adds a run to the pending ones and reports whether it is the first of them. Of two reports of the same run, the
// one with the earlier start is retained; a report of another run replaces them.
func (t *Tracker) addPending(node coreapi.Node, latestStart time.Time) (isFirst bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isFirst = t.pending == nil
	if isFirst {
		t.pending = map[string]quotapool.Successor{}
	}
	existing, ok := t.pending[node.Addr]
	if ok && existing.Node.Run == node.Run && existing.LatestStart.Before(latestStart) {
		return isFirst
	}
	t.pending[node.Addr] = quotapool.Successor{Node: node, LatestStart: latestStart}
	return isFirst
}

// takePending returns the pending runs and clears them.
func (t *Tracker) takePending() map[string]quotapool.Successor {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending := t.pending
	t.pending = nil
	return pending
}

// findReplaced looks up the pending runs in the pools and confirms those at whose address other runs have units.
func (t *Tracker) findReplaced() {
	successors := t.takePending()
	t.submit(func(tx *transaction.Tx) error {
		replaced, err := t.pools.FindReplaced(tx, successors)
		if len(replaced) > 0 {
			go t.confirm(replaced)
		}
		return err
	})
}

// confirm queries the successors and starts the cooling period of the units of runs whose successor is alive.
func (t *Tracker) confirm(replaced []quotapool.ReplacedRuns) {
	alive := make([]bool, len(replaced))
	var queries sync.WaitGroup
	for i, runs := range replaced {
		queries.Go(func() { alive[i] = t.isAlive(runs.Node) })
	}
	queries.Wait()
	var confirmed []quotapool.ReplacedRuns
	for i, runs := range replaced {
		if alive[i] {
			confirmed = append(confirmed, runs)
		}
	}
	if len(confirmed) > 0 {
		t.submit(func(tx *transaction.Tx) error { return t.pools.CoolReplaced(tx, confirmed) })
	}
}

// isAlive reports whether the router at the node's address responds with the node's run.
func (t *Tracker) isAlive(node coreapi.Node) bool {
	if faultinjection.Disabled("run-query") {
		return true
	}
	run, err := t.queryRun(t.ctx, node.Addr)
	return err == nil && run == node.Run
}

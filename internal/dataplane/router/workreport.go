package router

import (
	"fmt"
	"time"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/transport/dissemination"
)

// runnerTTL is the age of a runner's last heartbeat at which the runner is removed.
const runnerTTL = time.Minute

// maxSkippedReports is how many unchanged reports are skipped before one is sent again, because the other routers drop old
// reports.
const maxSkippedReports = 3

// workReporter broadcasts this router's work, which the other routers need for their estimates. It is used by a single
// goroutine.
type workReporter struct {
	router     *Router
	key        string // of the record with the report
	generation uint64
	version    uint64
	last       string // the last report that was broadcast, as text
	unchanged  int    // reports since then that were not broadcast
}

func newWorkReporter(r *Router) *workReporter {
	return &workReporter{router: r, key: runner.WorkPrefix + r.ctx.Name, generation: 1}
}

// report updates the totals of the other routers' work, and broadcasts this router's work if it has changed or
// maxSkippedReports were skipped.
func (w *workReporter) report() {
	r := w.router
	r.Runners.AggregateRemoteWork()
	r.Runners.RemoveExpired(runnerTTL)
	work := r.Runners.OwnWork()
	_, work.Queued = r.Scheduler.Waiting()
	body, err := work.MarshalMsg(nil)
	if err != nil {
		return
	}
	text := fmt.Sprint(work) // maps are printed in the order of their keys, so equal work gives equal text
	if w.unchanged++; text == w.last && w.unchanged <= maxSkippedReports {
		return
	}
	w.version, w.last, w.unchanged = w.version+1, text, 0
	// The other routers may send back the report of an earlier run of this router. A higher generation than its own replaces
	// it, without any comparison of clocks.
	if old, _, ok := r.Cluster.Records.Get(w.key); ok && (old.Generation > w.generation || old.Generation == w.generation && old.Version >= w.version) {
		w.generation = old.Generation + 1
	}
	r.Cluster.Broadcast(dissemination.Update{Records: []dissemination.Record{{Key: w.key, Generation: w.generation, Version: w.version, Body: body}}})
}

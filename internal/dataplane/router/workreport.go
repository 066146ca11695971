package router

import (
	"fmt"
	"time"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/transport/dissemination"
)

// runnerTTL is how long a runner is remembered whose heartbeats have ended.
const runnerTTL = time.Minute

// maxSkippedReports is how many unchanged reports are skipped before one is repeated, so that others know it still holds.
const maxSkippedReports = 3

// workReporter broadcasts this router's own work for the other routers' estimates. Only one goroutine uses it.
type workReporter struct {
	router     *Router
	key        string // of the record
	generation uint64
	version    uint64
	last       string // the report broadcast last, as text
	unchanged  int    // reports skipped since
}

func newWorkReporter(r *Router) *workReporter {
	return &workReporter{router: r, key: runner.WorkPrefix + r.ctx.Name, generation: 1}
}

// report sums up the other routers' work and broadcasts our own if it differs from the last report or that is old.
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
	text := fmt.Sprint(work) // maps print in order, so that equal work gives equal text
	if w.unchanged++; text == w.last && w.unchanged <= maxSkippedReports {
		return
	}
	w.version, w.last, w.unchanged = w.version+1, text, 0
	// The report of an earlier process of ours comes back from the others; ours goes above it. No clock is asked which
	// process is the later.
	if old, _, ok := r.Cluster.Records.Get(w.key); ok && (old.Generation > w.generation || old.Generation == w.generation && old.Version >= w.version) {
		w.generation = old.Generation + 1
	}
	r.Cluster.Broadcast(dissemination.Update{Records: []dissemination.Record{{Key: w.key, Generation: w.generation, Version: w.version, Body: body}}})
}

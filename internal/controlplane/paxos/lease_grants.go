package paxos

import (
	"maps"
	"time"
)

// unknownRun stands for the run of the primary that an acceptor had granted the lease before it was restarted.
const unknownRun = 0

// leaseGrants is until when an acceptor has granted the lease, by the runs of the primary's process that it was granted to.
// More than one may have a grant that has not run out: a run that has ended, and the one after it. The zero value has none.
type leaseGrants map[uint64]time.Time

// grant grants the lease to a run until a moment.
func (g *leaseGrants) grant(run uint64, until time.Time) {
	if *g == nil {
		*g = leaseGrants{}
	}
	now := time.Now()
	maps.DeleteFunc(*g, func(_ uint64, end time.Time) bool { return !now.Before(end) })
	(*g)[run] = until
}

// end ends the grant of a run.
func (g leaseGrants) end(run uint64) { delete(g, run) }

// endAll ends all grants.
func (g leaseGrants) endAll() { clear(g) }

// areActive reports whether some grant has not run out.
func (g leaseGrants) areActive(now time.Time) bool {
	for _, end := range g {
		if now.Before(end) {
			return true
		}
	}
	return false
}

// silentRun is a known run whose grant has not run out, and runs out before a moment: it has not been renewed for long.
func (g leaseGrants) silentRun(before time.Time) (run uint64, found bool) {
	now := time.Now()
	for run, end := range g {
		if run != unknownRun && now.Before(end) && end.Before(before) {
			return run, true
		}
	}
	return unknownRun, false
}

package paxos

import (
	"maps"
	"time"
)

// unknownRun stands for the run of the primary to which an acceptor may have granted the lease before its own restart.
const unknownRun = 0

// leaseGrants maps each run of the primary's process that was granted the lease to the expiry time of its grant. More than
// one grant may be active: that of a run that has ended and that of its successor. The zero value has no grants.
type leaseGrants map[uint64]time.Time

// grant grants the lease to a run until the given time, and drops expired grants.
func (g *leaseGrants) grant(run uint64, until time.Time) {
	if *g == nil {
		*g = leaseGrants{}
	}
	now := time.Now()
	maps.DeleteFunc(*g, func(_ uint64, end time.Time) bool { return !now.Before(end) })
	(*g)[run] = until
}

// revoke removes the grant of a run.
func (g leaseGrants) revoke(run uint64) { delete(g, run) }

// revokeAll removes all grants.
func (g leaseGrants) revokeAll() { clear(g) }

// anyActive reports whether at least one grant has not expired.
func (g leaseGrants) anyActive(now time.Time) bool {
	for _, end := range g {
		if now.Before(end) {
			return true
		}
	}
	return false
}

// staleRun returns a known run whose grant is active but expires before the given time, because it was not renewed recently.
func (g leaseGrants) staleRun(before time.Time) (run uint64, found bool) {
	now := time.Now()
	for run, end := range g {
		if run != unknownRun && now.Before(end) && end.Before(before) {
			return run, true
		}
	}
	return unknownRun, false
}

package registry

import (
	"time"

	"yarrowridge/internal/model/routing"
)

// pushGracePeriod is how long a report that arrived by dissemination takes precedence over the core's registry, since the
// core's response may have been made before the report.
const pushGracePeriod = 2 * time.Second

// isFresh reports whether a report has arrived by dissemination within the pushGracePeriod.
func (known entry) isFresh() bool { return time.Since(known.pushedAt) <= pushGracePeriod }

// merge accepts a runner's report if it supersedes the known one. changed reports whether it also changes anything for
// routers: most reports that a new primary resends do not. The caller holds the lock.
func (r *Registry) merge(runner routing.Runner) (accepted, changed bool) {
	old, known := r.runners[runner.ID]
	if known && !supersedes(runner, old) {
		return false, false
	}
	r.runners[runner.ID] = entry{runner: runner, pushedAt: old.pushedAt}
	return true, !known || !old.runner.EqualForRouting(runner)
}

// supersedes reports whether a report of a runner replaces the known one. RunnerGone is final. RunnerTimedOut replaces only
// RunnerReady, since a draining runner must get no work even as a last resort. It is set by the core, with the sequence number
// of the last heartbeat that it received or has on disk. That number may be lower than the one known here; the report is then
// accepted only if no report has just arrived by dissemination.
func supersedes(next routing.Runner, known entry) bool {
	switch {
	case known.runner.State == routing.RunnerGone:
		return false
	case next.State == routing.RunnerTimedOut:
		return known.runner.State == routing.RunnerReady &&
			(next.Sequence >= known.runner.Sequence || !known.isFresh())
	}
	return next.Sequence > known.runner.Sequence
}

// dropUnlisted drops the runners that are not in the core's complete list, except fresh ones, and reports whether it dropped
// any. The caller holds the lock.
func (r *Registry) dropUnlisted(listed []routing.Runner) (dropped bool) {
	keep := make(map[string]bool, len(listed))
	for _, runner := range listed {
		keep[runner.ID] = true
	}
	for id, known := range r.runners {
		if !keep[id] && !known.isFresh() {
			delete(r.runners, id)
			dropped = true
		}
	}
	return dropped
}

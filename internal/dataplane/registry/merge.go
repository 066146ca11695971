package registry

import (
	"time"

	"yarrowridge/internal/model/routing"
)

// pushGracePeriod is how long a report that dissemination brought is not undone by the core's registry, whose answer may
// have been made before it.
const pushGracePeriod = 2 * time.Second

// isFresh reports whether dissemination has brought a report just now.
func (known entry) isFresh() bool { return time.Since(known.pushedAt) <= pushGracePeriod }

// merge accepts a runner's report if it is newer than the one known, and reports whether it changes anything for routers.
// A new primary sends every runner's report anew: hardly one of them does. The caller holds the lock.
func (r *Registry) merge(runner routing.Runner) (accepted, changed bool) {
	old, known := r.runners[runner.ID]
	if known && !supersedes(runner, old) {
		return false, false
	}
	r.runners[runner.ID] = entry{runner: runner, pushedAt: old.pushedAt}
	return true, !known || !old.runner.EqualForRouting(runner)
}

// supersedes reports whether a report of a runner replaces the known one. A runner that has left stays gone. Silent is the
// core's own finding, with the last heartbeat that it received or has on disk: that may be an older one than we know, but
// does not count where a push has just brought a newer one.
func supersedes(next routing.Runner, known entry) bool {
	switch {
	case known.runner.State == routing.RunnerGone:
		return false
	case next.State == routing.RunnerTimedOut:
		return known.runner.State != routing.RunnerTimedOut &&
			(next.Sequence >= known.runner.Sequence || !known.isFresh())
	}
	return next.Sequence > known.runner.Sequence
}

// dropUnlisted drops the runners that the whole registry does not list, and reports whether there were any. The caller
// holds the lock.
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

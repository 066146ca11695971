// Package registry is a router's copy of the runners that the core knows by their heartbeats.
package registry

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

const (
	refreshEvery = 10 * time.Second // a whole list is asked for
	pushedKeep   = 2 * time.Second  // a list that was made before a push does not undo it
)

// Registry keeps the newest word of each runner. Its methods may be called by many at once.
type Registry struct {
	hook     func([]routing.Runner)
	snapshot atomic.Pointer[[]routing.Runner]

	mu        sync.Mutex
	epoch     uint64 // of the primary's registry that we follow, and how far
	version   uint64
	refreshed time.Time // when a whole list was last asked for
	runners   map[string]entry
}

type entry struct {
	runner routing.Runner
	pushed time.Time // when relays last brought it
}

// New makes an empty registry. hook (may be nil) gets the list after every change, in order. It runs under
// the registry's lock: of the registry it may call List only.
func New(hook func([]routing.Runner)) *Registry {
	r := &Registry{hook: hook, runners: map[string]entry{}}
	r.snapshot.Store(&[]routing.Runner{})
	return r
}

// List names the runners sorted by ID, each by its newest word that says anything new. The list is shared: it must
// not be changed.
func (r *Registry) List() []routing.Runner { return *r.snapshot.Load() }

// Position is how much of the primary's registry we have, for the next beat to the core. Every ten seconds
// it is none, so that a whole list mends whatever went wrong.
func (r *Registry) Position() (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.refreshed) > refreshEvery {
		r.refreshed = time.Now()
		return r.epoch, 0
	}
	return r.epoch, r.version
}

// Digest is of all runners known here, for a beat that asks for a whole list: one that is equal is not sent.
func (r *Registry) Digest() uint64 {
	digest := uint64(0)
	for _, runner := range r.List() {
		digest ^= runner.Digest()
	}
	return digest
}

// ApplyRecord takes a record that relays brought.
func (r *Registry) ApplyRecord(rec dissemination.Record) {
	var runner routing.Runner
	if _, err := runner.UnmarshalMsg(rec.Body); err != nil || dissemination.RunnerPrefix+runner.ID != rec.Key {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, news := r.take(runner)
	if kept {
		r.runners[runner.ID] = entry{runner: runner, pushed: time.Now()}
	}
	if news {
		r.publishOne(runner)
	}
}

// Apply takes the core's answer to a beat.
func (r *Registry) Apply(told *coreapi.HeartbeatResponse) {
	if told.RunnersEpoch == 0 {
		return // a core that keeps no registry
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch, r.version = told.RunnersEpoch, told.RunnersVersion
	changed := false
	for _, runner := range told.Runners {
		_, news := r.take(runner)
		changed = changed || news
	}
	if told.RunnersComplete {
		changed = r.dropOthers(told.Runners) || changed
	}
	if changed {
		r.publish()
	}
}

// take keeps a runner's word if it is newer than the one known, and reports whether it says anything else; the
// caller holds the lock. A new primary tells every runner's word anew: hardly one of them is news.
func (r *Registry) take(runner routing.Runner) (kept, news bool) {
	old, known := r.runners[runner.ID]
	if known && !supersedes(runner, old) {
		return false, false
	}
	r.runners[runner.ID] = entry{runner: runner, pushed: old.pushed}
	return true, !known || !old.runner.SaysSame(runner)
}

// supersedes reports whether a word of a runner replaces the one known. A runner that has left stays gone.
// Silent is the core's own finding, with the last heartbeat that it heard or has on disk: that may be an older
// one than we know, but not where a push has just told better.
func supersedes(next routing.Runner, known entry) bool {
	switch {
	case known.runner.State == routing.RunnerGone:
		return false
	case next.State == routing.RunnerSilent:
		return known.runner.State != routing.RunnerSilent &&
			(next.Sequence >= known.runner.Sequence || time.Since(known.pushed) > pushedKeep)
	}
	return next.Sequence > known.runner.Sequence
}

// dropOthers drops the runners that a whole list does not name; the caller holds the lock.
func (r *Registry) dropOthers(named []routing.Runner) bool {
	keep := make(map[string]bool, len(named))
	for _, runner := range named {
		keep[runner.ID] = true
	}
	dropped := false
	for id, known := range r.runners {
		if !keep[id] && time.Since(known.pushed) > pushedKeep {
			delete(r.runners, id)
			dropped = true
		}
	}
	return dropped
}

// publish makes the new list the one that is read; the caller holds the lock.
func (r *Registry) publish() {
	list := make([]routing.Runner, 0, len(r.runners))
	for _, known := range r.runners {
		list = append(list, known.runner)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	r.show(list)
}

// publishOne is publish where one runner's word has changed or is new: the rest is copied as it is. Many may come
// one after the other.
func (r *Registry) publishOne(runner routing.Runner) {
	old := r.List()
	at, known := slices.BinarySearchFunc(old, runner.ID, func(one routing.Runner, id string) int { return strings.Compare(one.ID, id) })
	list := make([]routing.Runner, 0, len(old)+1)
	list = append(append(list, old[:at]...), runner)
	if known {
		at++
	}
	r.show(append(list, old[at:]...))
}

// show makes a list the one that is read; the caller holds the lock.
func (r *Registry) show(list []routing.Runner) {
	r.snapshot.Store(&list)
	if r.hook != nil {
		r.hook(list)
	}
}

// Owns reports whether a record is about a registered runner.
func IsRunnerRecord(rec dissemination.Record) bool {
	return strings.HasPrefix(rec.Key, dissemination.RunnerPrefix)
}

// Package runnerregistry holds what the primary of the core knows of the fleet's runners: their last heartbeats, their
// stored form, and what all routers together saw of their failures and latency. It reaches neither the network nor the
// disk itself: its owner gives it functions for both.
package runnerregistry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
)

const (
	runnerTTL      = 60 * time.Second        // a runner without a heartbeat for this long is forgotten
	warmupDuration = 5 * time.Second         // a new primary has had a heartbeat of every living runner by then
	resumeGrace    = 1500 * time.Millisecond // a runner's time to send a heartbeat after a pause of the primary
	expiryInterval = 100 * time.Millisecond  // between two checks for runners that timed out
	firstVersion   = 1                       // 0 stands for "no version"
)

// Registry is the primary's record of runners. Its version goes up with every change that routers must know of. A new
// primary starts an epoch of its own, from the runners that its disk has. All methods may be called concurrently.
type Registry struct {
	timeout time.Duration
	notify  func(routing.Runner) <-chan struct{}

	mu              sync.Mutex // guards what follows, and is held during notify
	epoch           uint64     // 0: none was started yet
	leadingSince    time.Time  // since when the primary has led without a break
	startedAt       time.Time  // when this epoch began to take heartbeats
	version         uint64
	completeVersion uint64 // the version from which on every living runner is known; 0: warming up
	expiredAt       time.Time
	runners         map[string]*entry
}

// entry is one known runner.
type entry struct {
	runner      routing.Runner
	heartbeatAt time.Time       // of the last heartbeat
	version     uint64          // the registry's, at the runner's last change
	notified    <-chan struct{} // closed once routers were notified of the last change; nil: none in this epoch
}

// New makes an empty registry. A runner without a heartbeat for the timeout is timed out. notify is called with the
// registry's lock held, for each change that routers must learn of at once: it must not block nor call the registry. The
// channel that it returns is closed once the attempt to notify the routers has ended.
func New(timeout time.Duration, notify func(routing.Runner) <-chan struct{}) *Registry {
	return &Registry{timeout: timeout, notify: notify, runners: map[string]*entry{}}
}

// Epoch names one primary's count of versions. A process that restarts and leads the same view again counts anew, so the
// number of its run is part of the epoch.
func Epoch(viewEpoch, runID uint64) uint64 { return viewEpoch<<32 | runID&(1<<32-1) }

// StartEpoch starts taking heartbeats. A primary that has led without a break since leadingSince keeps what it knows when
// its view changes; each runner then has resumeGrace to send a heartbeat, since none was taken in between. Otherwise the
// registry starts a new epoch from the stored runners.
func (r *Registry) StartEpoch(epoch uint64, leadingSince, now time.Time, stored []routing.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch != 0 && leadingSince.Equal(r.leadingSince) {
		r.extendTimeouts(now)
		return
	}
	r.epoch, r.leadingSince, r.startedAt = epoch, leadingSince, now
	r.version, r.completeVersion, r.runners = firstVersion, 0, map[string]*entry{}
	for _, runner := range stored {
		r.runners[runner.ID] = &entry{runner: runner, heartbeatAt: now, version: r.version}
	}
}

// extendTimeouts lets no runner time out before resumeGrace is over. The caller holds the lock.
func (r *Registry) extendTimeouts(now time.Time) {
	earliest := now.Add(resumeGrace - r.timeout)
	for _, known := range r.runners {
		if known.heartbeatAt.Before(earliest) {
			known.heartbeatAt = earliest
		}
	}
}

// RecordHeartbeat records one heartbeat, which may be acknowledged once the channel is closed; nil: at once. A heartbeat
// that is not later than the last one changes nothing, and a runner that has left stays gone.
func (r *Registry) RecordHeartbeat(runner routing.Runner, now time.Time) (notified <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runners[runner.ID]
	if known == nil {
		r.version++
		known = &entry{runner: runner, heartbeatAt: now, version: r.version, notified: r.notify(runner)}
		r.runners[runner.ID] = known
		return known.notified
	}
	old := known.runner
	if old.State == routing.RunnerGone || runner.Sequence <= old.Sequence {
		return known.notified
	}
	known.runner, known.heartbeatAt = runner, now
	if !old.SaysSame(runner) {
		r.version++
		known.version = r.version
	}
	if old.State != runner.State || old.Address != runner.Address {
		known.notified = r.notify(runner)
	}
	// A heartbeat that repeats a change is not acknowledged before routers were notified of the change.
	return known.notified
}

// expire marks the runners that have timed out and forgets those without a heartbeat for runnerTTL. The caller holds the
// lock.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	for id, known := range r.runners {
		age := now.Sub(known.heartbeatAt)
		if age > runnerTTL {
			delete(r.runners, id)
			continue
		}
		state := known.runner.State
		if age > r.timeout && state != routing.RunnerGone && state != routing.RunnerSilent {
			known.runner.State = routing.RunnerSilent
			r.version++
			known.version = r.version
		}
	}
}

// FillResponse puts into the response to a router's heartbeat the runners that changed since the version it has, or all of
// them. Only a list sent once the registry is complete lets the router drop the runners that it does not name.
func (r *Registry) FillResponse(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	if !request.RunnersWanted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.completeVersion == 0 && now.Sub(r.startedAt) >= warmupDuration {
		r.version++ // so that a router which has the registry from before gets a complete list
		r.completeVersion = r.version
	}
	known := request.RunnersVersion
	all := request.RunnersEpoch != r.epoch || known == 0 || known < r.completeVersion || known > r.version
	response.RunnersEpoch, response.RunnersVersion = r.epoch, r.version
	if r.hasCurrentList(request) {
		return
	}
	response.RunnersComplete = all && r.completeVersion > 0
	for _, entry := range r.runners {
		if all || entry.version > known {
			response.Runners = append(response.Runners, entry.runner)
		}
	}
	slices.SortFunc(response.Runners, compareIDs)
}

// hasCurrentList reports whether a router that asks for a complete list has exactly that, by its digest. The caller holds
// the lock.
func (r *Registry) hasCurrentList(request *coreapi.HeartbeatRequest) bool {
	if request.RunnersEpoch != r.epoch || request.RunnersVersion != 0 || request.RunnersDigest == 0 {
		return false
	}
	digest := uint64(0)
	for _, known := range r.runners {
		digest ^= known.runner.Digest()
	}
	return digest == request.RunnersDigest
}

// Lookup gives what is known of a runner, and whether anything is.
func (r *Registry) Lookup(id string) (runner routing.Runner, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runners[id]; known != nil {
		return known.runner, true
	}
	return routing.Runner{}, false
}

// List gives all known runners, sorted by ID.
func (r *Registry) List(now time.Time) []routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	runners := make([]routing.Runner, 0, len(r.runners))
	for _, known := range r.runners {
		runners = append(runners, known.runner)
	}
	slices.SortFunc(runners, compareIDs)
	return runners
}

// compareIDs orders runners by their IDs.
func compareIDs(a, b routing.Runner) int { return cmp.Compare(a.ID, b.ID) }

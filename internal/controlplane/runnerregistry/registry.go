// Package runnerregistry holds what the primary core knows about the fleet's runners: their latest heartbeats, their stored
// records, and their failures and latency as reported by all routers. It does no I/O of its own: its owner passes in the
// functions that reach the network and the disk.
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
	runnerTTL      = 60 * time.Second        // a runner without a heartbeat for this long is removed
	warmupDuration = 5 * time.Second         // after this, a new primary has received a heartbeat from every live runner
	resumeGrace    = 1500 * time.Millisecond // how long a runner has to send a heartbeat after the primary was paused
	expiryInterval = 100 * time.Millisecond  // minimum time between two checks for runners that timed out
	firstVersion   = 1                       // 0 means "no version"
)

// Registry holds the runners that the primary knows. Its version increases with every change that routers need to know
// about. A new primary starts a new epoch with the runners stored on its disk. All methods are safe for concurrent use.
type Registry struct {
	timeout time.Duration
	notify  func(routing.Runner) <-chan struct{}

	mu              sync.Mutex // guards the fields below; held while notify is called
	epoch           uint64     // 0: no epoch was started yet
	leadingSince    time.Time  // the primary has led without interruption since then
	startedAt       time.Time  // when this epoch began to accept heartbeats
	version         uint64
	completeVersion uint64 // from this version on, every live runner is known; 0: still warming up
	expiredAt       time.Time
	runners         map[string]*entry
}

// entry holds one known runner.
type entry struct {
	runner      routing.Runner
	heartbeatAt time.Time       // when the last heartbeat was received
	version     uint64          // the registry's version at the runner's last change
	notified    <-chan struct{} // closed once the push of the last change has ended; nil: nothing was pushed in this epoch
}

// New returns an empty registry. A ready runner that sends no heartbeat for longer than timeout is timed out. notify is called
// with the registry's lock held, for each change that routers must learn of at once. It must neither block nor call the
// registry. The channel that it returns is closed once the attempt to notify the routers has ended.
func New(timeout time.Duration, notify func(routing.Runner) <-chan struct{}) *Registry {
	return &Registry{timeout: timeout, notify: notify, runners: map[string]*entry{}}
}

// Epoch identifies the sequence of versions of one primary. A process that restarts and leads the same view again starts a
// new sequence, so the epoch includes the low bits of its run ID.
func Epoch(viewEpoch, runID uint64) uint64 { return viewEpoch<<32 | runID&(1<<32-1) }

// StartEpoch starts accepting heartbeats. If the primary has led without interruption since the same leadingSince as before,
// and only its view has changed, the registry keeps its epoch and its runners. Each runner then has resumeGrace to send a
// heartbeat, since none was accepted in the meantime. Otherwise the registry starts a new epoch with the stored runners.
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

// extendTimeouts postpones every timeout that is due within resumeGrace to its end. The caller holds the lock.
func (r *Registry) extendTimeouts(now time.Time) {
	earliest := now.Add(resumeGrace - r.timeout)
	for _, entry := range r.runners {
		if entry.heartbeatAt.Before(earliest) {
			entry.heartbeatAt = earliest
		}
	}
}

// RecordHeartbeat records a heartbeat, which may be acknowledged once the returned channel is closed, or immediately if it is
// nil. A heartbeat whose sequence number is not above the last one changes nothing. A runner that has left stays gone.
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
	if !old.EqualForRouting(runner) {
		r.version++
		known.version = r.version
	}
	if old.State != runner.State || old.Address != runner.Address {
		known.notified = r.notify(runner)
	}
	// A heartbeat that repeats a change must not be acknowledged before the push of that change has ended.
	return known.notified
}

// expire sets the state of ready runners that have timed out, and removes runners without a heartbeat for runnerTTL. It does so
// once per expiryInterval at most. The caller holds the lock.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expiryInterval {
		return
	}
	r.expiredAt = now
	for id, entry := range r.runners {
		age := now.Sub(entry.heartbeatAt)
		if age > runnerTTL {
			delete(r.runners, id)
			continue
		}
		// A draining runner stays draining: routers use a runner that has timed out as a last resort, but never a draining one.
		if age > r.timeout && entry.runner.State == routing.RunnerReady {
			entry.runner.State = routing.RunnerTimedOut
			r.version++
			entry.version = r.version
		}
	}
}

// FillResponse adds runners to the response to a router's heartbeat: those that changed since the router's version, or all
// of them. Only a complete list sent after the warm-up allows the router to drop the runners that are not listed.
func (r *Registry) FillResponse(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	if !request.RunnersWanted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.completeVersion == 0 && now.Sub(r.startedAt) >= warmupDuration {
		r.version++ // so that routers with a version from the warm-up get a complete list
		r.completeVersion = r.version
	}
	since := request.RunnersVersion
	all := request.RunnersEpoch != r.epoch || since == 0 || since < r.completeVersion || since > r.version
	response.RunnersEpoch, response.RunnersVersion = r.epoch, r.version
	if r.hasCurrentList(request) {
		return
	}
	response.RunnersComplete = all && r.completeVersion > 0
	for _, entry := range r.runners {
		if all || entry.version > since {
			response.Runners = append(response.Runners, entry.runner)
		}
	}
	slices.SortFunc(response.Runners, compareIDs)
}

// hasCurrentList reports whether a router that asks for a complete list already has it, judging by the digest of its own
// list. The caller holds the lock.
func (r *Registry) hasCurrentList(request *coreapi.HeartbeatRequest) bool {
	if request.RunnersEpoch != r.epoch || request.RunnersVersion != 0 || request.RunnersDigest == 0 {
		return false
	}
	digest := uint64(0)
	for _, entry := range r.runners {
		digest ^= entry.runner.Digest()
	}
	return digest == request.RunnersDigest
}

// Lookup returns a runner by its ID. ok is false if the registry does not know it.
func (r *Registry) Lookup(id string) (runner routing.Runner, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runners[id]; known != nil {
		return known.runner, true
	}
	return routing.Runner{}, false
}

// List returns all known runners, sorted by ID.
func (r *Registry) List(now time.Time) []routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	runners := make([]routing.Runner, 0, len(r.runners))
	for _, entry := range r.runners {
		runners = append(runners, entry.runner)
	}
	slices.SortFunc(runners, compareIDs)
	return runners
}

// compareIDs orders runners by their IDs.
func compareIDs(a, b routing.Runner) int { return cmp.Compare(a.ID, b.ID) }

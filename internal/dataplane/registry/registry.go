// Package registry is a router's replica of the core's registry of runners. The core sends its changes with each heartbeat's
// answer; changes of state also come by dissemination between routers, which is sooner.
package registry

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// fullSyncInterval is how often the whole registry is asked for, so that any difference to it is repaired.
const fullSyncInterval = 10 * time.Second

// Registry has the newest report of each runner. Its methods may be called concurrently.
type Registry struct {
	onChange func([]routing.Runner)
	snapshot atomic.Pointer[[]routing.Runner]

	mu         sync.Mutex // guards the fields below, and is held over onChange
	epoch      uint64     // of the primary whose registry we follow
	version    uint64     // up to which we have that registry's changes
	fullSyncAt time.Time  // when the whole registry was last asked for
	runners    map[string]entry
}

// entry is what is known of one runner.
type entry struct {
	runner   routing.Runner
	pushedAt time.Time // when dissemination last brought a report; zero: never
}

// New makes an empty registry. onChange (may be nil) gets the list after every change, in order. It runs under the
// registry's lock: of the registry it may call List only.
func New(onChange func([]routing.Runner)) *Registry {
	r := &Registry{onChange: onChange, runners: map[string]entry{}}
	r.snapshot.Store(&[]routing.Runner{})
	return r
}

// Position is up to where we have the primary's registry, for the next heartbeat. Every ten seconds the version is 0, which
// asks for the whole registry.
func (r *Registry) Position() (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.fullSyncAt) > fullSyncInterval {
		r.fullSyncAt = time.Now()
		return r.epoch, 0
	}
	return r.epoch, r.version
}

// Digest covers all runners known here, for a heartbeat that asks for the whole registry: one with an equal digest is not
// sent.
func (r *Registry) Digest() uint64 {
	digest := uint64(0)
	for _, runner := range r.List() {
		digest ^= runner.Digest()
	}
	return digest
}

// IsRunnerRecord reports whether a record is a report of a registered runner.
func IsRunnerRecord(record dissemination.Record) bool {
	return strings.HasPrefix(record.Key, dissemination.RunnerKeyPrefix)
}

// ApplyRecord applies a report that dissemination brought. One that cannot be decoded is ignored.
func (r *Registry) ApplyRecord(record dissemination.Record) {
	var runner routing.Runner
	if _, err := runner.UnmarshalMsg(record.Body); err != nil || dissemination.RunnerKeyPrefix+runner.ID != record.Key {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	accepted, changed := r.merge(runner)
	if accepted {
		r.runners[runner.ID] = entry{runner: runner, pushedAt: time.Now()}
	}
	if changed {
		r.publishOne(runner)
	}
}

// Apply applies the core's answer to a heartbeat.
func (r *Registry) Apply(response *coreapi.HeartbeatResponse) {
	if response.RunnersEpoch == 0 {
		return // a core without a registry
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch, r.version = response.RunnersEpoch, response.RunnersVersion
	changed := false
	for _, runner := range response.Runners {
		_, runnerChanged := r.merge(runner)
		changed = changed || runnerChanged
	}
	if response.RunnersComplete {
		changed = r.dropUnlisted(response.Runners) || changed
	}
	if changed {
		r.publish()
	}
}

// Package registry implements a router's replica of the core's registry of runners. The core sends changes in its heartbeat
// responses. Changes of a runner's state also arrive by dissemination between routers, which is faster.
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

// fullSyncInterval is the interval of full synchronizations with the core's registry, which repair any difference.
const fullSyncInterval = 10 * time.Second

// Registry holds the newest report of each runner. Its methods may be called concurrently.
type Registry struct {
	onChange func([]routing.Runner)
	snapshot atomic.Pointer[[]routing.Runner]

	mu         sync.Mutex // guards the fields below, and is held during onChange
	epoch      uint64     // of the primary whose registry is replicated
	version    uint64     // of that registry, up to which its changes are applied here
	fullSyncAt time.Time  // when a full synchronization was last requested
	runners    map[string]entry
}

// entry is the accepted report of one runner.
type entry struct {
	runner   routing.Runner
	pushedAt time.Time // when a report last arrived by dissemination; zero: never
}

// New returns an empty registry. onChange, which may be nil, is called with the list after every change, in order. It runs
// under the registry's lock and may call no method of the registry other than List.
func New(onChange func([]routing.Runner)) *Registry {
	r := &Registry{onChange: onChange, runners: map[string]entry{}}
	r.snapshot.Store(&[]routing.Runner{})
	return r
}

// Position returns the primary's epoch and the registry version up to which this replica is current, for the next heartbeat.
// Every ten seconds the version is 0, which requests a full synchronization.
func (r *Registry) Position() (epoch, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.fullSyncAt) > fullSyncInterval {
		r.fullSyncAt = time.Now()
		return r.epoch, 0
	}
	return r.epoch, r.version
}

// Digest returns the digest of all listed runners. A heartbeat that requests a full synchronization includes it, so that the
// core need not send a registry with the same digest.
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

// ApplyRecord applies a report that arrived by dissemination. A record that cannot be decoded, or whose key does not match
// the runner's ID, is ignored.
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

// Apply applies the core's response to a heartbeat.
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

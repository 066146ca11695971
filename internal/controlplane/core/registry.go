package core

import (
	"context"
	"sort"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

const (
	runnerForgetAfter   = 60 * time.Second        // a runner unheard for so long is forgotten
	registrySettleAfter = 5 * time.Second         // a new primary has heard every living runner by then
	runnerGrace         = 1500 * time.Millisecond // to be heard again after a pause of the primary
	runnerCheckEvery    = 100 * time.Millisecond  // between two looks for silent runners
	runnerGatherSpan    = 5 * time.Millisecond    // changes that come this close together are pushed as one
	registryBegun       = 1                       // the first version; 0 stands for "none"
)

// RunnerRegistry is the primary's knowledge of runners. Its version goes up with every change that routers
// must know. A new primary begins a registry with an epoch of its own, from what its disk has of runners.
type RunnerRegistry struct {
	silence  time.Duration
	announce func(routing.Runner) <-chan struct{} // tells routers at once; closed when that has been tried

	mu        sync.Mutex
	epoch     uint64
	ledSince  time.Time // since when the primary has led without a break
	begunAt   time.Time // of heartbeats being taken in this epoch
	version   uint64
	settled   uint64 // the version at which every living runner had been heard; 0: not yet
	checkedAt time.Time
	runners   map[string]*registered
}

// registered is one known runner.
type registered struct {
	runner  routing.Runner
	heardAt time.Time       // its last heartbeat
	version uint64          // of its last change
	told    <-chan struct{} // closed when routers were told its last change; nil: there was none in this epoch
}

// NewRunnerRegistry makes an empty registry. A runner unheard for the silence span is silent. announce is
// called under the registry's lock for each change that routers must learn of at once; the channel that it
// returns is closed when they have been told.
func NewRunnerRegistry(silence time.Duration, announce func(routing.Runner) <-chan struct{}) *RunnerRegistry {
	return &RunnerRegistry{silence: silence, announce: announce, runners: map[string]*registered{}}
}

// registryEpoch names one primary's count of versions. A primary that restarts and leads the same view
// again counts anew, so the run is part of it.
func registryEpoch(view, born uint64) uint64 { return view<<32 | born&(1<<32-1) }

// Begin starts taking heartbeats. A primary that has led without a break since led keeps what it knows when
// its view changes; each runner gets a while to be heard again, since none was heard in between. Otherwise the
// registry starts from the stored runners, with a new epoch.
func (r *RunnerRegistry) Begin(epoch uint64, led, now time.Time, stored []routing.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.epoch != 0 && led.Equal(r.ledSince) {
		for _, known := range r.runners {
			if least := now.Add(runnerGrace - r.silence); known.heardAt.Before(least) {
				known.heardAt = least
			}
		}
		return
	}
	r.epoch, r.ledSince, r.begunAt = epoch, led, now
	r.version, r.settled, r.runners = registryBegun, 0, map[string]*registered{}
	for _, runner := range stored {
		r.runners[runner.ID] = &registered{runner: runner, heardAt: now, version: r.version}
	}
}

// Heartbeat takes one heartbeat. It may be acknowledged once the channel is closed; nil: at once. A heartbeat
// that is not later than the last one changes nothing, and a runner that has left stays gone.
func (r *RunnerRegistry) Heartbeat(runner routing.Runner, now time.Time) (told <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runners[runner.ID]
	if known == nil {
		r.version++
		known = &registered{runner: runner, heardAt: now, version: r.version, told: r.announce(runner)}
		r.runners[runner.ID] = known
		return known.told
	}
	old := known.runner
	if old.State == routing.RunnerGone || runner.Sequence <= old.Sequence {
		return known.told
	}
	known.runner, known.heardAt = runner, now
	if !old.SaysSame(runner) {
		r.version++
		known.version = r.version
	}
	if old.State != runner.State || old.Address != runner.Address {
		known.told = r.announce(runner)
	}
	// A heartbeat that says the same again is not acknowledged before the change that it repeats.
	return known.told
}

// check marks silent runners and forgets those unheard for long; the caller holds the lock.
func (r *RunnerRegistry) check(now time.Time) {
	if now.Sub(r.checkedAt) < runnerCheckEvery {
		return
	}
	r.checkedAt = now
	for id, known := range r.runners {
		unheard := now.Sub(known.heardAt)
		if unheard > runnerForgetAfter {
			delete(r.runners, id)
			continue
		}
		state := known.runner.State
		if unheard > r.silence && state != routing.RunnerGone && state != routing.RunnerSilent {
			known.runner.State = routing.RunnerSilent
			r.version++
			known.version = r.version
		}
	}
}

// Tell answers a router's heartbeat with the runners changed since the version that it has, or with all.
// Only a list sent once the registry has settled lets the router drop runners that are not named.
func (r *RunnerRegistry) Tell(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse, now time.Time) {
	if !request.RunnersWanted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.check(now)
	if r.settled == 0 && now.Sub(r.begunAt) >= registrySettleAfter {
		r.version++ // so that a router which has the registry from before gets a whole list
		r.settled = r.version
	}
	has := request.RunnersVersion
	all := request.RunnersEpoch != r.epoch || has == 0 || has < r.settled || has > r.version
	response.RunnersEpoch, response.RunnersVersion = r.epoch, r.version
	if r.holdsAll(request) {
		return
	}
	response.RunnersComplete = all && r.settled > 0
	for _, known := range r.runners {
		if all || known.version > has {
			response.Runners = append(response.Runners, known.runner)
		}
	}
	sort.Slice(response.Runners, func(i, j int) bool { return response.Runners[i].ID < response.Runners[j].ID })
}

// holdsAll reports whether a router that asks for a whole list has exactly that; the caller holds the lock.
func (r *RunnerRegistry) holdsAll(request *coreapi.HeartbeatRequest) bool {
	if request.RunnersEpoch != r.epoch || request.RunnersVersion != 0 || request.RunnersDigest == 0 {
		return false
	}
	digest := uint64(0)
	for _, known := range r.runners {
		digest ^= known.runner.Digest()
	}
	return digest == request.RunnersDigest
}

// Known gives what stands of a runner; without an ID where nothing does.
func (r *RunnerRegistry) Known(id string) routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runners[id]; known != nil {
		return known.runner
	}
	return routing.Runner{}
}

// List names all known runners, sorted by ID.
func (r *RunnerRegistry) List(now time.Time) []routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.check(now)
	out := make([]routing.Runner, 0, len(r.runners))
	for _, known := range r.runners {
		out = append(out, known.runner)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// takeRunner takes a runner's heartbeat. A change of state is handed to the first routers of every zone
// before it is acknowledged, so that it outlives us.
func (s *Server) takeRunner(ctx context.Context, request *coreapi.RunnerHeartbeat) (*coreapi.Empty, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	switch request.Runner.State {
	case routing.RunnerReady, routing.RunnerDraining, routing.RunnerGone:
	default:
		return nil, wire.StatusError{Code: coreapi.CodeInvalidRunner}
	}
	if request.Runner.ID == "" {
		return nil, wire.StatusError{Code: coreapi.CodeInvalidRunner}
	}
	told := s.registry.Heartbeat(request.Runner, time.Now())
	// A late heartbeat says what is no longer so: kept is what stands.
	if err := s.storeRunner(ctx, s.registry.Known(request.Runner.ID)); err != nil {
		return nil, err
	}
	if told != nil {
		<-told
	}
	return &coreapi.Empty{}, nil
}

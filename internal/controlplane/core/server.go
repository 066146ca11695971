// Package core implements one process of the control plane. A Server combines the packages beside this one: paxos chooses
// views, leadership and renewal determine whether this process may answer as primary, pipeline and replication make writes
// durable, and service answers routers, runners and operators. The run loop's goroutine acts as primary, backup or other
// member, one step at a time, and applies all writes.
package core

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/discovery"
	"yarrowridge/internal/controlplane/failuredetector"
	"yarrowridge/internal/controlplane/handover"
	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/renewal"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/service"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

const (
	tickInterval = 50 * time.Millisecond  // between two steps of the run loop, unless it is woken earlier
	stepTimeout  = 500 * time.Millisecond // for one phase of a proposal, and for related calls to other members
)

// Server is one core process.
type Server struct {
	ctx      daemon.Context
	settings Settings
	runID    uint64 // identifies this run of the process; random, not zero
	handlers wire.Handlers
	caller   *wire.Caller

	// State on disk. All methods may be called concurrently.
	disk     store.Disk
	store    atomic.Pointer[store.Store] // replaced once the disk has recovered
	acceptor *paxos.Acceptor
	backup   *replication.Backup

	// Leadership, and components that depend on it. All methods may be called concurrently.
	leadership *leadership.Leadership
	detector   *failuredetector.Detector // detects that the lease holder has ended
	renewer    *renewal.Renewer
	handover   *handover.Coordinator
	pipeline   pipeline.Pipeline
	candidates membership.Candidates
	service    *service.Service // for routers, runners and operators

	runLoopState
}

// runLoopState holds fields that only the run loop's goroutine uses.
type runLoopState struct {
	replicator *replication.Replicator
	finder     *discovery.Finder // SetSeeds may be called from any goroutine

	highestNumber    uint64    // the highest proposal number seen so far
	formerPrimary    string    // the primary that this process took over from
	predecessor      string    // the primary that this process last followed as backup; "" once it accepts writes itself
	nextMemberChange time.Time // earliest time of the next membership change
	nextAttempt      time.Time // earliest time of the next attempt: see attemptDue
}

// Open recovers a core's state from its disk. A disk with damaged state counts as blank: the process gives up its identity,
// so that it neither votes nor leads on the basis of state that it has lost. Open returns only disk errors.
func Open(ctx daemon.Context, settings Settings, disk store.Disk) (*Server, error) {
	settings = settings.WithDefaults()
	if err := store.RemoveIncompleteWrites(disk, ctx.Log); err != nil {
		return nil, err
	}
	acceptor, err := paxos.Open(disk, settings.LeaseTerm, ctx.WithComponent("view").Log)
	if err != nil {
		return nil, err
	}
	opened, err := openStore(ctx, disk, acceptor)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ctx:      ctx,
		settings: settings,
		disk:     disk,
		acceptor: acceptor,
		caller:   wire.NewCaller(ctx.Net),
		runID:    rand.Uint64() | 1,
	}
	s.backup = replication.NewBackup(replicationHost{s}, acceptor)
	s.replicator = replication.NewReplicator(ctx, acceptor.ID, s.call)
	s.leadership = leadership.New(settings.LeaseTerm, s.runID, acceptor.View().Epoch)
	s.detector = failuredetector.New(acceptor, s.call, settings.LeaseTerm)
	s.renewer = renewal.New(ctx, renewal.Config{Leadership: s.leadership, LeaseTerm: settings.LeaseTerm, RunID: s.runID, ID: acceptor.ID, View: acceptor.View,
		Call: s.call, Learn: s.learn, LeaseHeld: s.wakeRunLoop})
	s.handover = handover.New(s.call, settings.LeaseTerm)
	s.pipeline = pipeline.New(committer{s})
	finderConfig := discovery.Config{Addr: settings.Addr, Founders: settings.Founders, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap, LeaseTerm: settings.LeaseTerm}
	s.finder = discovery.NewFinder(ctx, finderConfig, acceptor, s.call, s.learn)
	s.service = service.New(ctx, service.Settings{Codec: settings.Codec, RunnerTimeout: settings.RunnerSilentAfter}, serviceHost{s}, s.caller)
	s.store.Store(opened)
	s.handlers = wire.Handlers{"view": s.handleView, "core": s.handleCore}
	return s, nil
}

// Handle answers calls from other processes. It may be called concurrently.
func (s *Server) Handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	return s.handlers.Dispatch(ctx, kind, body)
}

// Run leads, follows or waits, depending on the view, until the context ends.
func (s *Server) Run() {
	go runloop.Run(s.ctx, nil, s.settings.LeaseTerm/6, func(struct{}) {}, s.renewer.Renew)
	s.takeStep()
	s.pipeline.Run(s.ctx, tickInterval, s.takeStep)
	s.caller.Close()
}

// wakeRunLoop makes the run loop take its next step at once instead of at the next tick. If the step queue is full, the step
// is taken at the next tick.
func (s *Server) wakeRunLoop() { s.pipeline.StepLater(s.takeStep) }

// call calls a core process by its address. Calls to this process do not use the network.
func (s *Server) call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	if addr != s.settings.Addr {
		return s.caller.Call(ctx, addr, kind, request, response)
	}
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return err
	}
	reply, err := s.handlers.Dispatch(ctx, kind, body)
	if err != nil || response == nil {
		return err
	}
	raw, err := reply.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = response.UnmarshalMsg(raw)
	return err
}

// UnavailableReason returns why this core cannot serve its fleet now, or "".
func (s *Server) UnavailableReason() string {
	v := s.acceptor.View()
	switch {
	case s.leadership.HasDiskFailed():
		return "the disk is in trouble"
	case v.Epoch == 0:
		return "no fleet yet"
	case !v.HasMember(s.acceptor.ID()):
		return "waiting for a seat"
	}
	return ""
}

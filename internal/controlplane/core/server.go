// Package core is one process of the control plane. A Server puts together what the packages beside it do: paxos chooses
// views, leadership and renewal tell whether this process may answer, pipeline and replication make writes durable, and
// service answers routers, runners and operators. Its run loop's goroutine leads or follows, one step at a time, and applies
// all writes.
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
	tickInterval = 50 * time.Millisecond  // between two steps of the run loop, where nothing wakes it
	stepTimeout  = 500 * time.Millisecond // for one phase of a proposal, and for calls that go with it
)

// Server is one core process.
type Server struct {
	ctx      daemon.Context
	settings Settings
	runID    uint64 // of this process, at random; not zero
	handlers wire.Handlers
	caller   *wire.Caller

	// What is on disk. All methods may be called concurrently.
	disk     store.Disk
	store    atomic.Pointer[store.Store] // replaced once the disk has recovered
	acceptor *paxos.Acceptor
	backup   *replication.Backup

	// Primacy and what needs it. All methods may be called concurrently.
	leadership *leadership.Leadership
	detector   *failuredetector.Detector // of the lease holder's end
	renewer    *renewal.Renewer
	handover   *handover.Coordinator
	pipeline   pipeline.Pipeline
	candidates membership.Candidates
	service    *service.Service // of routers, runners and operators

	runLoopState
}

// runLoopState is what only the run loop's goroutine touches.
type runLoopState struct {
	replicator *replication.Replicator
	finder     *discovery.Finder // but SetSeeds

	highestNumber    uint64    // of a proposal seen so far
	formerPrimary    string    // the primary that we took over from
	predecessor      string    // the primary that we last followed as backup; "" once we are ready
	nextMemberChange time.Time // earliest next change of the members
	nextAttempt      time.Time // earliest next attempt at what attemptDue guards
}

// Open recovers a core's state from its disk. A disk whose state is damaged counts as blank: its identity is given up, so
// that it neither accepts proposals nor leads on what it no longer has. An error is one of the disk.
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
	s.backup = replication.NewBackup(host{s}, acceptor)
	s.replicator = replication.NewReplicator(ctx, acceptor.ID, s.call)
	s.leadership = leadership.New(settings.LeaseTerm, s.runID, acceptor.View().Epoch)
	s.detector = failuredetector.New(acceptor, s.call, settings.LeaseTerm)
	s.renewer = renewal.New(ctx, renewal.Config{Leadership: s.leadership, LeaseTerm: settings.LeaseTerm, RunID: s.runID, ID: acceptor.ID, View: acceptor.View,
		Call: s.call, Learn: s.learn, LeaseHeld: s.wakeRunLoop})
	s.handover = handover.New(s.call, settings.LeaseTerm)
	s.pipeline = pipeline.New(committer{s})
	search := discovery.Config{Addr: settings.Addr, Founders: settings.Founders, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap, LeaseTerm: settings.LeaseTerm}
	s.finder = discovery.NewFinder(ctx, search, acceptor, s.call, s.learn)
	s.service = service.New(ctx, service.Settings{Codec: settings.Codec, RunnerTimeout: settings.RunnerSilentAfter}, serviceHost{s}, s.caller)
	s.store.Store(opened)
	s.handlers = wire.Handlers{"view": s.handleView, "core": s.handleCore}
	return s, nil
}

// Handle answers calls from other processes. It may be called concurrently.
func (s *Server) Handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	return s.handlers.Dispatch(ctx, kind, body)
}

// Run leads, follows or waits, as the view says, until the context ends.
func (s *Server) Run() {
	go runloop.Run(s.ctx, nil, s.settings.LeaseTerm/6, func(struct{}) {}, s.renewer.Renew)
	s.takeStep()
	s.pipeline.Run(s.ctx, tickInterval, s.takeStep)
	s.caller.Close()
}

// wakeRunLoop has the run loop take its next step at once, not at the next tick: what that step waited for has come. Where too
// many steps wait the tick will do.
func (s *Server) wakeRunLoop() { s.pipeline.StepLater(s.takeStep) }

// call reaches a process of the core by its address; this one without the network.
func (s *Server) call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	if addr != s.settings.Addr {
		return s.caller.Call(ctx, addr, kind, request, response)
	}
	body, err := request.MarshalMsg(nil)
	if err != nil {
		return err
	}
	own, err := s.handlers.Dispatch(ctx, kind, body)
	if err != nil || response == nil {
		return err
	}
	raw, err := own.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = response.UnmarshalMsg(raw)
	return err
}

// UnavailableReason tells why this core is of no use to its fleet now, or "".
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

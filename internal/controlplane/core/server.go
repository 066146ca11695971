// Package core is the peer that knows the fleet: its server side is the control plane, its client
// side is how routers and other cores speak to it.
package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/discovery"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/controlplane/runnerregistry"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// How long the parts of a hand-over may take.
const (
	tickEvery         = 50 * time.Millisecond
	stepTimeout       = 500 * time.Millisecond  // one step of a decision
	backupSilentAfter = 1500 * time.Millisecond // a backup silent so long is removed
	diskTimeout       = 1500 * time.Millisecond // a disk slower than this is in trouble
	replaceTimeout    = 3 * time.Second         // a write waits so long for a new backup
	replaceStepPause  = 5 * time.Millisecond    // between two looks whether the lease of the new epoch stands: all writes wait
)

// Server is one core process.
type Server struct {
	ctx      daemon.Context
	settings Settings
	disk     store.Disk
	store    atomic.Pointer[store.Store]
	acceptor *paxos.Acceptor
	caller   *wire.Caller
	handlers wire.Handlers
	runID    uint64 // of this process, at random; not zero

	backup          *replication.Backup
	leadership      *leadership.Leadership
	candidates      membership.Candidates
	routerAddresses discovery.RouterDirectory
	pipeline        pipeline.Pipeline

	runLoopState

	// State machines of what is stored. Only the run loop calls their methods.
	documents *configuration.Documents
	claims    *idempotency.Claims
	pools     *quotapool.Pools

	mu       sync.Mutex
	config   coreapi.StoredConfig // the newest one committed; here, since it is set and read together with ready
	routers  routerleases.Table   // the routers whose lease runs
	scarcity quotapool.Scarcity   // tenants whose idle units are wanted back

	registry       *runnerregistry.Registry
	runnerStorage  runnerregistry.Storage
	runnerOutliers runnerregistry.OutlierDetector
	runnerLatency  runnerregistry.LatencyTracker
	replaced       quotapool.ReplacedRuns
}

// runLoopState is what only the run loop touches.
type runLoopState struct {
	replicator *replication.Replicator
	finder     *discovery.Finder

	highestBallot    uint64    // highest ballot number seen
	formerPrimary    string    // the primary that we took over from
	predecessor      string    // the primary that we last followed as backup; "" once we are ready
	nextMemberChange time.Time // earliest next change of the members
	nextAttempt      time.Time // earliest next attempt at what attemptDue guards

	sweptAt       time.Time
	claimsSweptAt time.Time
	announcedAt   time.Time // when silent places were last told the view
}

// Open reads the disk and makes a core. A disk whose state is damaged counts as blank: its
// identity is given up, so that it neither votes nor leads on what it no longer has.
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
		ctx:       ctx,
		settings:  settings,
		disk:      disk,
		acceptor:  acceptor,
		caller:    wire.NewCaller(ctx.Net),
		runID:     rand.Uint64() | 1,
		documents: configuration.New(settings.Codec),
		pools:     quotapool.New(),
	}
	s.backup = replication.NewBackup(host{s}, acceptor)
	s.replicator = replication.NewReplicator(ctx, acceptor.ID, s.call)
	s.leadership = leadership.New(settings.LeaseTerm, s.runID, acceptor.View().Epoch)
	s.pipeline = pipeline.New(committer{s})
	search := discovery.Config{Addr: settings.Addr, Founders: settings.Founders, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap, LeaseTerm: settings.LeaseTerm}
	s.finder = discovery.NewFinder(ctx, search, acceptor, s.call, s.learn)
	s.routerAddresses = discovery.RouterDirectory{Committed: s.store.Load, SubmitLater: s.submitLater, Notify: s.announceTo}
	s.claims = idempotency.New(func() int { return s.documents.MaxFinishedKeys(s.committedConfig()) })
	s.registry = runnerregistry.New(settings.RunnerSilentAfter, runnerregistry.NewNotifier(s.pushRunners).Notify)
	s.runnerStorage = runnerregistry.Storage{Committed: s.store.Load, Submit: s.Submit, SubmitLater: s.submitLater}
	s.store.Store(opened)
	s.handlers = wire.Handlers{"view": s.handleView, "core": s.handleCore}
	return s, nil
}

// Handle answers calls from other processes.
func (s *Server) Handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	return s.handlers.Dispatch(ctx, kind, body)
}

// Run leads, watches or waits, as the view says, until the context ends.
func (s *Server) Run() {
	go runloop.Run(s.ctx, nil, s.settings.LeaseTerm/6, func(struct{}) {}, s.renew)
	s.takeStep()
	s.pipeline.Run(s.ctx, tickEvery, s.takeStep)
	s.caller.Close()
}

// wake has the run loop take its next step at once, not at the next tick: what that step waited for has come. Where the
// queue is full the tick will do.
func (s *Server) wake() { s.pipeline.StepLater(s.takeStep) }

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

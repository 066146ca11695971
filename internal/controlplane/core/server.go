// Package core is one process of the control plane. A Server puts together what the packages beside it do: paxos chooses
// views, leadership and lease tell whether this process may answer, pipeline and replication make writes durable, and
// configuration, idempotency, quotapool, routerleases and runnerregistry hold what is written. Its run loop's goroutine
// leads or follows, one step at a time, and applies all writes.
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
	"yarrowridge/internal/controlplane/failuredetector"
	"yarrowridge/internal/controlplane/handover"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/replacedruns"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/controlplane/runnerregistry"
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
	leadership      *leadership.Leadership
	detector        *failuredetector.Detector // of the lease holder's end
	handover        *handover.Coordinator
	pipeline        pipeline.Pipeline
	candidates      membership.Candidates
	routerAddresses discovery.RouterDirectory // the run loop calls Announce
	registry        *runnerregistry.Registry
	runnerStorage   runnerregistry.Storage
	runnerOutliers  runnerregistry.OutlierDetector
	runnerLatency   runnerregistry.LatencyTracker
	replacedRuns    *replacedruns.Tracker

	runLoopState

	mu       sync.Mutex           // guards the fields below; taken before any lock of leadership or registry
	config   coreapi.StoredConfig // the newest one committed; here, since it is set and read together with ready
	routers  routerleases.Table   // the routers whose lease runs
	scarcity quotapool.Scarcity   // tenants whose idle units are wanted back
}

// runLoopState is what only the run loop's goroutine touches.
type runLoopState struct {
	replicator *replication.Replicator
	finder     *discovery.Finder // but SetSeeds

	// State machines of what is stored.
	documents *configuration.Documents
	claims    *idempotency.Claims
	pools     *quotapool.Pools

	highestNumber    uint64    // of a proposal seen so far
	formerPrimary    string    // the primary that we took over from
	predecessor      string    // the primary that we last followed as backup; "" once we are ready
	nextMemberChange time.Time // earliest next change of the members
	nextAttempt      time.Time // earliest next attempt at what attemptDue guards

	sweptAt       time.Time
	claimsSweptAt time.Time
	announcedAt   time.Time // when silent routers were last told the view
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
	s.documents, s.pools = configuration.New(settings.Codec), quotapool.New()
	s.backup = replication.NewBackup(host{s}, acceptor)
	s.replicator = replication.NewReplicator(ctx, acceptor.ID, s.call)
	s.leadership = leadership.New(settings.LeaseTerm, s.runID, acceptor.View().Epoch)
	s.detector = failuredetector.New(acceptor, s.call, settings.LeaseTerm)
	s.handover = handover.New(s.call, settings.LeaseTerm)
	s.pipeline = pipeline.New(committer{s})
	search := discovery.Config{Addr: settings.Addr, Founders: settings.Founders, Seeds: settings.Seeds, Bootstrap: settings.Bootstrap, LeaseTerm: settings.LeaseTerm}
	s.finder = discovery.NewFinder(ctx, search, acceptor, s.call, s.learn)
	s.routerAddresses = discovery.RouterDirectory{Committed: s.store.Load, SubmitLater: s.submitLater(pipeline.ClassRouter), Notify: s.announceTo}
	s.claims = idempotency.New(func() int { return s.documents.MaxFinishedKeys(s.committedConfig()) })
	s.registry = runnerregistry.New(settings.RunnerSilentAfter, runnerregistry.NewNotifier(s.pushRunners).Notify)
	s.runnerStorage = runnerregistry.Storage{Committed: s.store.Load, Submit: s.submitRunner, SubmitLater: s.submitLater(pipeline.ClassRunner)}
	s.replacedRuns = replacedruns.New(ctx, s.pools, s.routerRunAt, s.submitLater(pipeline.ClassQuota))
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
	go runloop.Run(s.ctx, nil, s.settings.LeaseTerm/6, func(struct{}) {}, s.renew)
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

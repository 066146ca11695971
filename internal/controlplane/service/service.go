// Package service implements the calls that routers, runners and operators make to the primary: configurations, idempotency
// keys, quota units, heartbeats and the session directory. Durable state is written through the core's pipeline. Router leases,
// the runner registry and the runners' statistics are kept in memory, and each new primary rebuilds them.
package service

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/discovery"
	"yarrowridge/internal/controlplane/idempotency"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/replacedruns"
	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/controlplane/runnerregistry"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// Host is the service's interface to the core process. All methods are safe for concurrent use, and only Submit blocks.
type Host interface {
	// View returns the newest view that the process knows.
	View() view.View
	// IsPrimary reports whether the process is the primary of the newest view and has a lease from a majority.
	IsPrimary() bool
	// AcceptsWrites reports whether the process accepts writes as long as it is primary. Whether it still is, IsPrimary reports.
	AcceptsWrites() bool
	// RequirePrimary returns an error with a code of coreapi unless the process is a primary that may respond now.
	RequirePrimary() error
	// Store returns the committed state.
	Store() *store.Store
	// Submit applies an operation on the run loop and waits until it is committed. weight is the number of ordinary operations
	// that it counts as. The error is that of apply, or has a code of coreapi. The run loop itself must not call Submit.
	Submit(ctx context.Context, class pipeline.Class, weight int, apply func(*transaction.Tx) error) error
	// SubmitLater schedules an operation on the run loop, or drops it if the queue of its class is full.
	SubmitLater(class pipeline.Class, apply pipeline.Operation)
}

// Settings configure a service.
type Settings struct {
	Codec         configuration.Codec // decodes and validates the configuration
	RunnerTimeout time.Duration       // a runner times out if it sends no heartbeat for this long
}

// Service serves the callers of one core process. Its methods are safe for concurrent use, except those documented as
// called only by the run loop.
type Service struct {
	ctx    daemon.Context
	host   Host
	codec  configuration.Codec
	caller *wire.Caller

	routerAddresses discovery.RouterDirectory // only the run loop calls Announce
	registry        *runnerregistry.Registry
	runnerStorage   runnerregistry.Storage
	runnerOutliers  runnerregistry.OutlierDetector
	runnerLatency   runnerregistry.LatencyTracker
	replacedRuns    *replacedruns.Tracker

	runLoopState

	mu       sync.Mutex           // guards the fields below; acquired before any lock of the host or the registry
	config   coreapi.StoredConfig // the newest committed one; guarded by mu since it is set and read together with Host.AcceptsWrites
	routers  routerleases.Table   // routers with an active lease
	scarcity quotapool.Scarcity   // tenants whose idle units routers are asked to return
}

// runLoopState is state that only the run loop's goroutine uses.
type runLoopState struct {
	// State machines of the stored state.
	documents *configuration.Documents
	claims    *idempotency.Claims
	pools     *quotapool.Pools

	sweptAt       time.Time
	claimsSweptAt time.Time
	announcedAt   time.Time // when the view was last sent to routers without a lease
}

// New returns a service that calls other processes through caller. The owner of caller closes it.
func New(ctx daemon.Context, settings Settings, host Host, caller *wire.Caller) *Service {
	s := &Service{ctx: ctx, host: host, codec: settings.Codec, caller: caller}
	s.documents, s.pools = configuration.New(settings.Codec), quotapool.New()
	s.routerAddresses = discovery.RouterDirectory{Committed: host.Store, SubmitLater: s.submitLater(pipeline.ClassRouter), Notify: s.announceTo}
	s.claims = idempotency.New(func() int { return s.documents.MaxFinishedKeys(s.committedConfig()) })
	s.registry = runnerregistry.New(settings.RunnerTimeout, runnerregistry.NewNotifier(s.pushRunners).Notify)
	s.runnerStorage = runnerregistry.Storage{Committed: host.Store, Submit: s.submitRunner, SubmitLater: s.submitLater(pipeline.ClassRunner)}
	s.replacedRuns = replacedruns.New(ctx, s.pools, s.queryRun, s.submitLater(pipeline.ClassQuota))
	return s
}

// Start starts serving as primary of an epoch; leadingSince is when the process became its primary. It loads the committed
// state and then calls acceptWrites, so that a caller that finds writes accepted also gets the loaded state. Only the run loop
// calls it. It fails if the stored configuration can't be read; in that case nothing was started.
func (s *Service) Start(epoch uint64, leadingSince time.Time, acceptWrites func()) (configVersion uint64, err error) {
	config, err := configuration.Current(s.host.Store())
	if err != nil {
		return 0, err
	}
	s.claims.Load(s.host.Store())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StartEpoch(runnerregistry.Epoch(epoch, s.ctx.RunID), leadingSince, time.Now(), s.runnerStorage.LoadAll())
	s.config = config
	s.routers.Start(s.routerAddresses.Count(), time.Now())
	acceptWrites()
	return config.Version, nil
}

// ApplyCommitted updates the state in memory from a committed batch: the configuration that nodes are notified of, and the
// finished keys. Only the run loop calls it.
func (s *Service) ApplyCommitted(tx *transaction.Tx) {
	s.claims.ApplyCommitted(tx)
	if config, ok := configuration.Written(tx); ok {
		s.mu.Lock()
		s.config = config
		s.mu.Unlock()
	}
}

// Status is a snapshot of the service's state.
type Status struct {
	AcceptsWrites bool
	ConfigVersion uint64         // of the newest committed configuration
	Routers       []coreapi.Node // with an active lease, sorted by name
	Runners       int
}

// Status returns the current state. It first ends the leases that have expired.
func (s *Service) Status() Status {
	runners := len(s.registry.List(time.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers.Expire(time.Now())
	return Status{AcceptsWrites: s.host.AcceptsWrites(), ConfigVersion: s.config.Version, Routers: s.routers.List(), Runners: runners}
}

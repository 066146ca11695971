// Package service answers what routers, runners and operators ask of the primary: configurations, idempotency keys, quota
// units, heartbeats and the session directory. What has to last it writes through the core's pipeline; leases of routers,
// runners and their statistics are in memory, and begin anew with each primary.
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

// Host is the core process, as its service sees it. All methods may be called concurrently; none but Submit blocks.
type Host interface {
	// View is the newest view that the process knows.
	View() view.View
	// IsPrimary reports whether the process leads the newest view by a majority's lease.
	IsPrimary() bool
	// AcceptsWrites reports whether the process has begun to take writes, for as long as it is primary.
	AcceptsWrites() bool
	// RequirePrimary is the error, with a code, where the process is no primary that may answer now.
	RequirePrimary() error
	// Store is the committed state.
	Store() *store.Store
	// Submit has the run loop apply an operation that is as much work as some others (weight), and waits until it is
	// committed. Its error has a code of coreapi. The run loop must not call it.
	Submit(ctx context.Context, class pipeline.Class, weight int, apply func(*transaction.Tx) error) error
	// SubmitLater has the run loop apply an operation, or drops it where its class has no room.
	SubmitLater(class pipeline.Class, apply pipeline.Operation)
}

// Settings are what a service is told.
type Settings struct {
	Codec         configuration.Codec // reads the configuration
	RunnerTimeout time.Duration       // a runner without a heartbeat for so long is silent
}

// Service answers the callers of one core process. Its methods may be called concurrently, but for those that say that the run
// loop calls them.
type Service struct {
	ctx    daemon.Context
	host   Host
	codec  configuration.Codec
	caller *wire.Caller

	routerAddresses discovery.RouterDirectory // the run loop calls Announce
	registry        *runnerregistry.Registry
	runnerStorage   runnerregistry.Storage
	runnerOutliers  runnerregistry.OutlierDetector
	runnerLatency   runnerregistry.LatencyTracker
	replacedRuns    *replacedruns.Tracker

	runLoopState

	mu       sync.Mutex           // guards the fields below; taken before any lock of the host's or the registry's
	config   coreapi.StoredConfig // the newest one committed; here, since it is set and read together with whether writes are taken
	routers  routerleases.Table   // the routers whose lease runs
	scarcity quotapool.Scarcity   // tenants whose idle units are wanted back
}

// runLoopState is what only the run loop's goroutine touches.
type runLoopState struct {
	// State machines of what is stored.
	documents *configuration.Documents
	claims    *idempotency.Claims
	pools     *quotapool.Pools

	sweptAt       time.Time
	claimsSweptAt time.Time
	announcedAt   time.Time // when silent routers were last told the view
}

// New makes the service of a process. caller reaches other processes; it is the process's to close.
func New(ctx daemon.Context, settings Settings, host Host, caller *wire.Caller) *Service {
	s := &Service{ctx: ctx, host: host, codec: settings.Codec, caller: caller}
	s.documents, s.pools = configuration.New(settings.Codec), quotapool.New()
	s.routerAddresses = discovery.RouterDirectory{Committed: host.Store, SubmitLater: s.submitLater(pipeline.ClassRouter), Notify: s.announceTo}
	s.claims = idempotency.New(func() int { return s.documents.MaxFinishedKeys(s.committedConfig()) })
	s.registry = runnerregistry.New(settings.RunnerTimeout, runnerregistry.NewNotifier(s.pushRunners).Notify)
	s.runnerStorage = runnerregistry.Storage{Committed: host.Store, Submit: s.submitRunner, SubmitLater: s.submitLater(pipeline.ClassRunner)}
	s.replacedRuns = replacedruns.New(ctx, s.pools, s.routerRunAt, s.submitLater(pipeline.ClassQuota))
	return s
}

// Start begins to serve as primary of an epoch that the process has led since a time: it reads the committed state, and calls
// beginWrites once all else is there. Whoever sees that writes are taken, and then asks the service, gets what was read. The
// run loop calls it. An error means that the stored configuration can't be read; nothing has begun then.
func (s *Service) Start(epoch uint64, ledSince time.Time, beginWrites func()) (configVersion uint64, err error) {
	config, err := configuration.Current(s.host.Store())
	if err != nil {
		return 0, err
	}
	s.claims.Load(s.host.Store())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.StartEpoch(runnerregistry.Epoch(epoch, s.ctx.RunID), ledSince, time.Now(), s.runnerStorage.LoadAll())
	s.config = config
	s.routers.Start(s.routerAddresses.Count(), time.Now())
	beginWrites()
	return config.Version, nil
}

// ApplyCommitted takes up what a committed batch says: the configuration that nodes are told of, and the finished keys. The
// run loop calls it.
func (s *Service) ApplyCommitted(tx *transaction.Tx) {
	s.claims.ApplyCommitted(tx)
	if config, ok := configuration.Written(tx); ok {
		s.mu.Lock()
		s.config = config
		s.mu.Unlock()
	}
}

// Status is what the service knows at one moment.
type Status struct {
	AcceptsWrites bool
	ConfigVersion uint64         // of the newest configuration committed
	Routers       []coreapi.Node // whose lease runs, sorted by name
	Runners       int
}

// Status tells what the service knows now.
func (s *Service) Status() Status {
	runners := len(s.registry.List(time.Now()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers.Expire(time.Now())
	return Status{AcceptsWrites: s.host.AcceptsWrites(), ConfigVersion: s.config.Version, Routers: s.routers.List(), Runners: runners}
}

// Package cluster implements a router's membership in the fleet. A Member renews the router's lease at the core by
// heartbeats. From the core's responses and from other routers it maintains the peer directory, the active configuration,
// the time up to which that configuration is known to be the newest, and the disseminated records.
package cluster

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/dataplane/registry"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	repairInterval    = 300 * time.Millisecond
	coreTimeout       = 3 * time.Second  // without a response for longer, the core has timed out
	recordTTL         = 60 * time.Second // a record that has not been renewed for so long expires
	outboxCapacity    = 1024             // updates waiting to be forwarded; further ones are left to anti-entropy

	// firstHeartbeatRetry is the delay between heartbeats until the core has answered one. Each heartbeat itself includes
	// a search for the primary.
	firstHeartbeatRetry = 50 * time.Millisecond
)

// Member is one router's membership in the fleet. Its methods may be called concurrently, except RegisterHandler and Run.
// Its state is split by concern into structs that each have their own synchronization. No two of their locks are held at
// once.
type Member struct {
	// Core is the client for calls to the core. It is set by NewMember and must not be replaced.
	Core *coreclient.Client
	// Records is this router's replica of the disseminated records. It is set by NewMember and must not be replaced.
	Records *dissemination.Store

	// The following fields do not change after NewMember.
	ctx           daemon.Context
	addr          string // for other processes of the fleet
	clientAddr    string // for clients
	startedAt     time.Time
	caller        *wire.Caller
	outbox        chan dissemination.Update
	onRecord      func(dissemination.Record)
	configHandler func(version uint64, raw []byte) error // nil: configurations are parsed by the member
	runners       *registry.Registry                     // nil: no replica of the registry is kept
	runnerStats   func() []coreapi.RunnerStats           // nil: no statistics are reported
	onFindings    func(RunnerFindings)

	handlers map[string]wire.Handler // by the name before the dot of a message kind; does not change once calls are served
	seeds    atomic.Pointer[[]string]

	config       activeConfig
	confirmation confirmation
	peers        peerDirectory
	lease        lease
	readiness    readiness

	announcedVersion uint64 // of the configuration in the core's last response; used by the heartbeat goroutine only
}

// Option configures an optional feature of a Member.
type Option func(*Member)

// WithConfigHandler passes configurations to apply in their encoded form instead of parsing them. apply is called for each
// newer configuration, in order. It runs under a lock of Records and must not use Records. If it returns an error, the
// active configuration stays.
func WithConfigHandler(apply func(version uint64, raw []byte) error) Option {
	return func(m *Member) { m.configHandler = apply }
}

// WithRegistry keeps runners up to date as a replica of the core's registry of runners.
func WithRegistry(runners *registry.Registry) Option {
	return func(m *Member) { m.runners = runners }
}

// RunnerFindings are the core's conclusions about runners from the observations of all routers.
type RunnerFindings struct {
	Failing    []coreapi.FailingRunner
	LowLatency []string // IDs of the runners whose streams have the shortest gaps between tokens
}

// WithRunnerStats reports in each heartbeat the runner statistics since the previous one, and passes the core's findings to
// onFindings. Both functions are called by the heartbeat goroutine only.
func WithRunnerStats(stats func() []coreapi.RunnerStats, onFindings func(RunnerFindings)) Option {
	return func(m *Member) { m.runnerStats, m.onFindings = stats, onFindings }
}

// NewMember returns a member that other processes reach at addr and clients at clientAddr. onRecord, which may be nil, is
// called for every newer record that the member does not handle itself (configurations, and with WithRegistry registered
// runners), for one key from older to newer. It runs under a lock of Records and must not use Records.
func NewMember(ctx daemon.Context, addr, clientAddr string, seeds []string, onRecord func(dissemination.Record), options ...Option) *Member {
	m := &Member{ctx: ctx, addr: addr, clientAddr: clientAddr, caller: wire.NewCaller(ctx.Net), onRecord: onRecord,
		outbox: make(chan dissemination.Update, outboxCapacity), startedAt: time.Now(), handlers: map[string]wire.Handler{}}
	m.Core = coreclient.NewClient(ctx, m.caller, seeds)
	m.peers.self, m.peers.setCorePeers = ctx.Name, m.Core.SetPeers
	m.seeds.Store(&seeds)
	m.Records = dissemination.NewStore(m.applyRecord)
	m.config.init()
	for _, option := range options {
		option(m)
	}
	return m
}

// SetSeeds replaces the addresses of the seeds after a change of the settings.
func (m *Member) SetSeeds(seeds []string) {
	m.seeds.Store(&seeds)
	m.Core.SetSeeds(seeds)
}

// Run sends heartbeats, forwards updates and runs anti-entropy until the context ends. It must be called only once.
func (m *Member) Run() {
	go m.sendHeartbeats()
	go m.runEvery(repairInterval, m.repair)
	runloop.Run(m.ctx, m.outbox, 0, m.forward, nil)
	m.caller.Close()
}

// runEvery calls do at an interval until the context ends. The first call comes after a random part of the interval, so
// that routers that started together do not all call the core at the same moment.
func (m *Member) runEvery(interval time.Duration, do func()) {
	if runloop.Sleep(m.ctx, rand.N(interval)) {
		do()
		runloop.Run(m.ctx, nil, interval, func(struct{}) {}, do)
	}
}

// Package cluster is a router's membership in the fleet. A Member renews the router's lease at the core by heartbeats and
// keeps what they and the other routers bring: the peer directory, the configuration in force, the records that routers
// disseminate among each other, and since when that configuration is known to be the newest one.
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
	coreTimeout       = 3 * time.Second  // without an answer for longer, the core counts as silent
	recordTTL         = 60 * time.Second // a record that nobody has renewed for so long is dropped
	outboxCapacity    = 1024             // updates that wait to be forwarded; more are left to anti-entropy

	// firstHeartbeatRetry is between the heartbeats of a router that the core has not answered yet. Each of them looks
	// for a primary itself.
	firstHeartbeatRetry = 50 * time.Millisecond
)

// Member is one router's membership in the fleet. Its methods may be called concurrently, but for RegisterHandler and Run.
// Its state is split by concern: each part guards itself, and no part's lock is held while another's is taken.
type Member struct {
	// Core calls the core. It is set by NewMember and must not be replaced.
	Core *coreclient.Client
	// Records are what this router has of the fleet's records. It is set by NewMember and must not be replaced.
	Records *dissemination.Store

	// These are not changed after NewMember.
	ctx         daemon.Context
	addr        string // where other processes reach this router
	clientAddr  string // where clients reach it
	startedAt   time.Time
	caller      *wire.Caller
	outbox      chan dissemination.Update
	onRecord    func(dissemination.Record)
	onDocument  func(version uint64, raw []byte) error // nil: configurations are parsed here
	runners     *registry.Registry                     // nil: none is kept
	runnerStats func() []coreapi.RunnerStats           // nil: none are reported
	onFindings  func(RunnerFindings)

	handlers map[string]wire.Handler // not changed once calls are served
	seeds    atomic.Pointer[[]string]

	config       activeConfig
	confirmation confirmation
	peers        peerDirectory
	lease        lease
	readiness    readiness

	announcedVersion uint64 // the configuration that the core last named; only the heartbeats' goroutine touches it
}

// Option sets what NewMember leaves out by default.
type Option func(*Member)

// WithConfigHandler has the member pass configurations to apply as they are, in place of parsing them. apply is called for each
// newer one, in order, under a lock of Records, which it must not use. If it fails, the configuration in force stays.
func WithConfigHandler(apply func(version uint64, raw []byte) error) Option {
	return func(m *Member) { m.onDocument = apply }
}

// WithRegistry has the member keep a replica of the core's registry of runners.
func WithRegistry(runners *registry.Registry) Option {
	return func(m *Member) { m.runners = runners }
}

// RunnerFindings are what the core concludes of runners from what all routers observed.
type RunnerFindings struct {
	Failing    []coreapi.FailingRunner
	LowLatency []string // IDs of the runners whose streams have the shortest gaps between tokens
}

// WithRunnerStats has each heartbeat report what was observed of runners since the last one, and passes the core's findings
// on. Both functions are called by the heartbeats' goroutine only, one at a time.
func WithRunnerStats(stats func() []coreapi.RunnerStats, onFindings func(RunnerFindings)) Option {
	return func(m *Member) { m.runnerStats, m.onFindings = stats, onFindings }
}

// NewMember makes a member that is reached at addr by other processes and at clientAddr by clients. onRecord (may be nil)
// is called for every newer record besides the configuration and the registered runners, for one key from older to newer,
// under a lock of Records, which it must not use.
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

// SetSeeds replaces the seeds after a change of the settings.
func (m *Member) SetSeeds(seeds []string) {
	m.seeds.Store(&seeds)
	m.Core.SetSeeds(seeds)
}

// Run sends heartbeats, forwards updates and runs anti-entropy until the context ends. It is called once.
func (m *Member) Run() {
	go m.sendHeartbeats()
	go m.runEvery(repairInterval, m.repair)
	runloop.Run(m.ctx, m.outbox, 0, m.forward, nil)
	m.caller.Close()
}

// runEvery calls do at an interval until the context ends. The first call is at a random time within it, so that routers
// that started together do not all call the core at one moment.
func (m *Member) runEvery(interval time.Duration, do func()) {
	if runloop.Sleep(m.ctx, rand.N(interval)) {
		do()
		runloop.Run(m.ctx, nil, interval, func(struct{}) {}, do)
	}
}

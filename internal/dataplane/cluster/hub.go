// Package node is the peer "another router": the hub holds this router's lease at the core, its
// copy of the news, and the talk with its neighbours in the relay tree.
package cluster

import (
	"math/rand/v2"
	"sync"
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

// How often the hub does what.
const (
	heartbeatEvery = 400 * time.Millisecond
	repairEvery    = 300 * time.Millisecond
	staleAfter     = 3 * time.Second
	forgetAfter    = 60 * time.Second
)

// Hub is one router's share in the fleet's control.
type Member struct {
	ctx           daemon.Context
	addr          string
	clientAddr    string
	seeds         atomic.Pointer[[]string]
	caller        *wire.Caller
	Core          *coreclient.Client
	Records       *dissemination.Store
	outbox        chan dissemination.Update
	current       atomic.Pointer[configuration] // in force; nil before the first
	configChanged atomic.Pointer[chan struct{}] // closed by the next configuration
	onNews        func(dissemination.Record)

	announcedVersion uint64                                 // the version that the core last named; only the heartbeat touches it
	document         func(version uint64, raw []byte) error // nil: the configuration is read here
	runners          *registry.Registry                     // nil: none is kept
	tally            func() []coreapi.RunnerStats           // nil: none is told
	findings         func(RunnerFindings)

	mu              sync.Mutex
	nodesVersion    uint64
	nodes           []coreapi.Node
	neighbours      []dissemination.Node
	coreHeard       time.Time // last answer of the core
	confirmedAt     time.Time // see ConfirmedAt
	initialSyncDone bool      // the core, or failing that all nodes of the zone that answer, have been asked
	started         time.Time
	scarceTenants   []string
	routersBefore   int  // as a primary told that does not know the nodes yet
	draining        bool // no new clients, please
	leaving         bool // the lease is given up
	handlers        map[string]wire.Handler
}

// Option changes what a hub does with its news.
type Option func(*Member)

// Document has the hub pass on configurations as they are, in place of reading them. take is called for
// each newer one, in order, under the store's lock. With an error the old one stays in force.
func WithDocument(take func(version uint64, raw []byte) error) Option {
	return func(h *Member) { h.document = take }
}

// Runners has the hub keep a copy of the core's registry of runners.
func WithRegistry(reg *registry.Registry) Option {
	return func(h *Member) { h.runners = reg }
}

// RunnerFindings are what the core says of runners from what all routers saw of them.
type RunnerFindings struct {
	Failing    []coreapi.FailingRunner
	LowLatency []string // IDs of the runners whose streams have the shortest pauses
}

// Health has the hub tell the core what was seen of runners since the last heartbeat, and pass on what all routers
// together saw.
func WithRunnerStats(tally func() []coreapi.RunnerStats, findings func(RunnerFindings)) Option {
	return func(h *Member) { h.tally, h.findings = tally, findings }
}

// NewHub makes a hub. onNews sees every record of news that is taken, besides the configuration and the
// registered runners.
func NewMember(ctx daemon.Context, addr, clientAddr string, seeds []string, onNews func(dissemination.Record), options ...Option) *Member {
	h := &Member{ctx: ctx, addr: addr, clientAddr: clientAddr, caller: wire.NewCaller(ctx.Net), onNews: onNews,
		outbox: make(chan dissemination.Update, 1024), started: time.Now(), handlers: map[string]wire.Handler{}}
	h.Core = coreclient.NewClient(ctx, h.caller, seeds)
	h.seeds.Store(&seeds)
	h.Records = dissemination.NewStore(h.takeRecord)
	next := make(chan struct{})
	h.configChanged.Store(&next)
	for _, option := range options {
		option(h)
	}
	return h
}

// SetSeeds replaces the seeds: the settings have changed.
func (h *Member) SetSeeds(seeds []string) {
	h.seeds.Store(&seeds)
	h.Core.SetSeeds(seeds)
}

// Run sends heartbeats, spreads news and repairs until the context ends.
func (h *Member) Run() {
	go h.sendHeartbeats()
	go h.every(repairEvery, h.repair)
	runloop.Run(h.ctx, h.outbox, 0, h.forward, nil)
	h.caller.Close()
}

// startPause is between tries of a router that the core has not answered yet. Each try looks for a primary itself.
const startPause = 50 * time.Millisecond

// sendHeartbeats sends one heartbeat after the other. Nothing is served before the core has been asked, so a router
// that starts does not wait for its turn. Its later heartbeats begin at random, so that nodes that started together do
// not all call the core at one moment.
func (h *Member) sendHeartbeats() {
	for !h.sendHeartbeat() {
		if !runloop.Sleep(h.ctx, startPause) {
			return
		}
	}
	h.every(heartbeatEvery, func() { h.sendHeartbeat() })
}

// every does something again and again. The first time is at random, so that nodes that started together do
// not all call the core at one moment.
func (h *Member) every(span time.Duration, do func()) {
	if runloop.Sleep(h.ctx, rand.N(span)) {
		do()
		runloop.Run(h.ctx, nil, span, func(struct{}) {}, do)
	}
}

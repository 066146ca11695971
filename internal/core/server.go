// Package core is the peer that knows the fleet: its server side is the control plane, its client
// side is how routers and other cores speak to it.
package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/env"
	"yarrowridge/internal/lease"
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// How long the parts of a hand-over may take.
const (
	tickEvery         = 50 * time.Millisecond
	stepTimeout       = 500 * time.Millisecond  // one step of a decision
	backupSilentAfter = 1500 * time.Millisecond // a backup silent so long is let go
	diskTimeout       = 1500 * time.Millisecond // a disk slower than this is in trouble
	replicateTimeout  = 600 * time.Millisecond  // a backup that holds a write no sooner is let go: all writes wait for it
	replaceTimeout    = 3 * time.Second         // a write waits so long for a new backup
	nodeLeaseTerm     = 2 * time.Second         // a node's lease
	maxBatchBytes     = 1 << 20                 // bytes of state in one Copy
	maxBatchJobs      = 256                     // writes synced together
)

// The codes of "no" that callers tell apart.
const (
	NotPrimary    = "not-primary" // surely not taken: ask the primary
	NotReady      = "not-ready"   // surely not taken: ask again
	InDoubt       = "in-doubt"    // may yet take effect
	StaleEpoch    = "old-epoch"
	DiskFailed    = "disk-trouble"
	NameTaken     = "name-taken" // another node with this name holds a lease
	RunEnded      = "run-ended"  // a beat of a run that another at its address has replaced
	InvalidRunner = "bad-runner" // a heartbeat without an ID or with a state that no runner has
)

// Server is one core process.
type Server struct {
	ctx       env.Ctx
	settings  Settings
	disk      store.Disk
	store     atomic.Pointer[store.Store]
	seeds     atomic.Pointer[[]string] // where the fleet is looked for
	voter     *view.Voter
	caller    *wire.Caller
	handlers  wire.Hands
	jobs      chan *job
	runID     uint64   // of this process, at random; not zero
	storeGate env.Gate // held while a batch or a copy is taken as backup

	// Only the run loop touches these.
	highestBallot    uint64               // highest ballot number seen
	copiedTo         map[string]bool      // the backups that hold all we hold, in this run
	deposed          string               // the primary that we took over from
	nextMemberChange time.Time            // earliest next change of the members
	nextViewSearch   time.Time            // earliest next look for a newer view
	snapshots        uint64               // copies made
	nextAttempt      time.Time            // earliest next try at taking over
	failedAt         map[string]time.Time // members that lately failed as backup
	firstSeen        map[string]time.Time // cooling and silent holders: since when
	poolCache        poolCache
	charges          map[string]openCharge // of tenants' tolerances
	claimsSeen       map[string]time.Time  // since when this run knows each claim, and each part of the keys that ran
	sweptAt          time.Time
	claimsSweptAt    time.Time            // of the claims
	hasCoolingUnits  bool                 // units of some quota cool
	announcedAt      time.Time            // when silent places were last told the view
	silentSince      map[string]time.Time // places from which nobody beats: since when
	finishedKeys     finishedKeys
	finishedParts    int       // parts put by this run
	document         *Document // the last document read, and whose it is
	documentVersion  uint64

	mu            sync.Mutex
	epoch         uint64
	renewRounds   uint64    // rounds of requests for the lease
	ledSince      time.Time // of leading this epoch
	lease         *lease.Lease
	ready         bool
	leaseStoodAt  time.Time // when the lease last stood
	renewPausedAt time.Time // since when we ask for no lease, having failed to get one
	otherPromised bool      // a voter refused to renew since it vowed for the next epoch
	diskFailed    bool
	config        StoredConfig // newest layout committed
	nodes         map[string]*liveNode
	nodesVersion  uint64
	readySince    time.Time // of being ready
	// routersBefore is how many routers the disk had then.
	routersBefore int

	scarceSince map[string]time.Time
	candidates  map[string]candidate
	incoming    *incomingSnapshot

	registry   *RunnerRegistry
	runnerNews runnerNews
	health     runnerHealth

	replaced replacedRuns
}

type liveNode struct {
	node    Node
	heardAt time.Time
}

// candidate is a process that wants to become a member.
type candidate struct {
	member                view.Member
	firstAsked, lastAsked time.Time // of its wishes: the first, the newest
}

type incomingSnapshot struct {
	epoch, snapshot uint64
	part            int
	puts            []store.Put
}

// Open reads the disk and makes a core. A disk whose state is damaged counts as blank: its
// identity is given up, so that it neither votes nor leads on what it no longer has.
//
//	srv, err := core.Open(ctx, set, disk)
func Open(ctx env.Ctx, set Settings, disk store.Disk) (*Server, error) {
	set = set.WithDefaults()
	if err := store.Tidy(disk, ctx.Log); err != nil {
		return nil, err
	}
	vot, err := view.Open(disk, set.LeaseTerm, ctx.Part("view").Log)
	if err != nil {
		return nil, err
	}
	st, err := store.Open(disk, ctx.Part("store").Log)
	if errors.Is(err, store.ErrBroken) {
		ctx.Log.Error("State is damaged; set aside. This disk counts as blank.", "trouble", err.Error())
		if err := setAside(disk); err != nil {
			return nil, err
		}
		if err := vot.Reset(); err != nil {
			return nil, err
		}
		st, err = store.Open(disk, ctx.Log)
	}
	if err != nil {
		return nil, err
	}
	s := &Server{storeGate: env.NewGate(), runID: rand.Uint64() | 1, ctx: ctx, settings: set, disk: disk, voter: vot, caller: wire.NewCaller(ctx.Net),
		jobs: make(chan *job, 4*maxBatchJobs), failedAt: map[string]time.Time{},
		copiedTo:  map[string]bool{},
		firstSeen: map[string]time.Time{}, poolCache: poolCache{}, silentSince: map[string]time.Time{}, lease: lease.New(set.LeaseTerm), nodes: map[string]*liveNode{},
		scarceSince: map[string]time.Time{}, candidates: map[string]candidate{}}
	s.registry = NewRunnerRegistry(set.RunnerSilentAfter, s.announce)
	s.store.Store(st)
	s.seeds.Store(&set.Seeds)
	s.handlers = wire.Hands{"view": s.handleView, "core": s.handleCore}
	return s, nil
}

func setAside(d store.Disk) error {
	all, err := d.List()
	if err != nil {
		return err
	}
	for _, n := range all {
		if len(n) > 2 && n[:2] == "v-" {
			if err := d.Rename(n, "bad-"+n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Handle answers calls from other processes.
//
//	go wire.Serve(ctx, l, srv.Handle)
func (s *Server) Handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	return s.handlers.Do(ctx, kind, body)
}

// Run leads, watches or waits, as the view says, until the context ends.
//
//	srv.Run()
func (s *Server) Run() {
	go env.Loop(s.ctx, nil, s.settings.LeaseTerm/6, func(struct{}) {}, s.renew)
	s.takeStep()
	env.Loop(s.ctx, s.jobs, tickEvery, s.runBatch, s.takeStep)
	s.caller.Close()
}

// wake has the run loop take its next step at once, not at the next tick: what that step waited for has come.
func (s *Server) wake() {
	select {
	case s.jobs <- &job{done: make(chan error, 1), step: s.takeStep}:
	default: // the tick will do it
	}
}

// call reaches a voter; ourselves without the wire.
func (s *Server) call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	if addr != s.settings.Addr {
		return s.caller.Call(ctx, addr, kind, in, out)
	}
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	ans, err := s.handlers.Do(ctx, kind, body)
	if err != nil || out == nil {
		return err
	}
	raw, err := ans.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(raw)
	return err
}

func (s *Server) hasDiskFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskFailed
}

// failDisk notes that our own disk can't be relied on: we stop leading, and hold nothing as backup,
// until the disk has been proved again.
func (s *Server) failDisk(err error) {
	s.mu.Lock()
	was := s.diskFailed
	s.diskFailed, s.ready = true, false
	s.renewRounds++
	turn := s.renewRounds
	s.mu.Unlock()
	if !was {
		s.release(turn)
		s.ctx.Log.Error("Disk is in trouble. Leading stops.", "trouble", err.Error())
		go s.recoverDisk()
	}
}

// UnavailableReason tells why this core is of no use to its fleet now, or "".
//
//	if why := srv.UnavailableReason(); why != "" { ... }
func (s *Server) UnavailableReason() string {
	v := s.voter.View()
	switch {
	case s.hasDiskFailed():
		return "the disk is in trouble"
	case v.Epoch == 0:
		return "no fleet yet"
	case !v.HasMember(s.voter.Id()):
		return "waiting for a seat"
	}
	return ""
}

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
	tick     = 50 * time.Millisecond
	step     = 500 * time.Millisecond  // one step of a decision
	silent   = 1500 * time.Millisecond // a backup silent so long is let go
	diskWait = 1500 * time.Millisecond // a disk slower than this is in trouble
	holdWait = 600 * time.Millisecond  // a backup that holds a write no sooner is let go: all writes wait for it
	mendWait = 3 * time.Second         // a write waits so long for a new backup
	nodeTerm = 2 * time.Second         // a node's lease
	chunk    = 1 << 20                 // bytes of state in one Copy
	most     = 256                     // writes synced together
)

// The codes of "no" that callers tell apart.
const (
	NotPrimary = "not-primary" // surely not taken: ask the primary
	NotReady   = "not-ready"   // surely not taken: ask again
	InDoubt    = "in-doubt"    // may yet take effect
	OldEpoch   = "old-epoch"
	DiskBad    = "disk-trouble"
	NameTaken  = "name-taken" // another node with this name holds a lease
	RunEnded   = "run-ended"  // a beat of a run that another at its address has replaced
	BadRunner  = "bad-runner" // a heartbeat without an ID or with a state that no runner has
)

// Server is one core process.
type Server struct {
	ctx   env.Ctx
	set   Settings
	disk  store.Disk
	st    atomic.Pointer[store.Store]
	seeds atomic.Pointer[[]string] // where the fleet is looked for
	vot   *view.Voter
	cal   *wire.Caller
	own   wire.Hands
	box   chan *job
	run   uint64   // of this process, at random; not zero
	keep  env.Gate // held while a batch or a copy is taken as backup

	// Only the run loop touches these.
	top     uint64               // highest ballot number seen
	synced  map[string]bool      // the backups that hold all we hold, in this run
	deposed string               // the primary that we took over from
	change  time.Time            // earliest next change of the members
	look    time.Time            // earliest next look for a newer view
	turn    uint64               // copies made
	next    time.Time            // earliest next try at taking over
	bad     map[string]time.Time // members that lately failed as backup
	aged    map[string]time.Time // cooling and silent holders: since when
	pool    poolCache
	charges map[string]openCharge // of tenants' tolerances
	claims  map[string]time.Time  // since when this run knows each claim, and each part of the keys that ran
	swept   time.Time
	swept10 time.Time            // of the claims
	cooling bool                 // units of some quota cool
	greeted time.Time            // when silent places were last told the view
	mute    map[string]time.Time // places from which nobody beats: since when
	ran     ran
	ranTurn int       // parts put by this run
	doc     *Document // the last document read, and whose it is
	docSeq  uint64

	mu    sync.Mutex
	epoch uint64
	asks  uint64    // rounds of requests for the lease
	began time.Time // of leading this epoch
	ls    *lease.Lease
	ready bool
	stood time.Time // when the lease last stood
	rest  time.Time // since when we ask for no lease, having failed to get one
	vowed bool      // a voter refused to renew since it vowed for the next epoch
	sick  bool
	sheet StoredConfig // newest layout committed
	nodes map[string]*seat
	roll  uint64
	since time.Time // of being ready
	// routersBefore is how many routers the disk had then.
	routersBefore int

	short  map[string]time.Time
	spare  map[string]spare
	copied *copying

	runners *RunnerRegistry
	news    runnerNews
	health  runnerHealth

	replaced replacedRuns
}

type seat struct {
	node Node
	at   time.Time
}

// spare is a process that wants to become a member.
type spare struct {
	who       view.Member
	first, at time.Time // of its wishes: the first, the newest
}

type copying struct {
	epoch, turn uint64
	part        int
	puts        []store.Put
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
		if err := aside(disk); err != nil {
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
	s := &Server{keep: env.NewGate(), run: rand.Uint64() | 1, ctx: ctx, set: set, disk: disk, vot: vot, cal: wire.NewCaller(ctx.Net),
		box: make(chan *job, 4*most), bad: map[string]time.Time{},
		synced: map[string]bool{},
		aged:   map[string]time.Time{}, pool: poolCache{}, mute: map[string]time.Time{}, ls: lease.New(set.LeaseTerm), nodes: map[string]*seat{},
		short: map[string]time.Time{}, spare: map[string]spare{}}
	s.runners = NewRunnerRegistry(set.RunnerSilentAfter, s.announce)
	s.st.Store(st)
	s.seeds.Store(&set.Seeds)
	s.own = wire.Hands{"view": s.viewHand, "core": s.coreHand}
	return s, nil
}

func aside(d store.Disk) error {
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

// Hand answers calls from other processes.
//
//	go wire.Serve(ctx, l, srv.Hand)
func (s *Server) Hand(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	return s.own.Do(ctx, kind, body)
}

// Run leads, watches or waits, as the view says, until the context ends.
//
//	srv.Run()
func (s *Server) Run() {
	go env.Loop(s.ctx, nil, s.set.LeaseTerm/6, func(struct{}) {}, s.renew)
	s.beat()
	env.Loop(s.ctx, s.box, tick, s.work, s.beat)
	s.cal.Close()
}

// hurry has the run loop take its next step at once, not at the next tick: what that step waited for has come.
func (s *Server) hurry() {
	select {
	case s.box <- &job{done: make(chan error, 1), ctl: s.beat}:
	default: // the tick will do it
	}
}

// call reaches a voter; ourselves without the wire.
func (s *Server) call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	if addr != s.set.Addr {
		return s.cal.Call(ctx, addr, kind, in, out)
	}
	body, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	ans, err := s.own.Do(ctx, kind, body)
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

func (s *Server) isSick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sick
}

// trouble notes that our own disk can't be relied on: we stop leading, and hold nothing as backup,
// until the disk has been proved again.
func (s *Server) trouble(err error) {
	s.mu.Lock()
	was := s.sick
	s.sick, s.ready = true, false
	s.asks++
	turn := s.asks
	s.mu.Unlock()
	if !was {
		s.release(turn)
		s.ctx.Log.Error("Disk is in trouble. Leading stops.", "trouble", err.Error())
		go s.heal()
	}
}

// Why tells why this core is of no use to its fleet now, or "".
//
//	if why := srv.Why(); why != "" { ... }
func (s *Server) Why() string {
	v := s.vot.View()
	switch {
	case s.isSick():
		return "the disk is in trouble"
	case v.Epoch == 0:
		return "no fleet yet"
	case !v.HasMember(s.vot.Id()):
		return "waiting for a seat"
	}
	return ""
}

// Package core is the peer that knows the fleet: its server side is the control plane, its client
// side is how routers and other cores speak to it.
package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/env"
	"yarrowridge/internal/lease"
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// Set is what a core is told about its place.
type Set struct {
	Addr       string
	Founders   []string
	Seeds      []string
	Bootstrap  bool          // without founders, the seeds found the fleet
	Losses     int           // disks that may be lost at once: so many backups hold a write before it is acknowledged
	MaxMembers int           // the most cores that vote; more wait until one is lost
	Term       time.Duration // lease of the primacy
	Lost       time.Duration // silence after which a member may be replaced by a newcomer
	Codec      Codec         // reads the configuration; nil: layouts

	RunnerSilence time.Duration // a runner without a heartbeat for so long is silent
}

// Fill puts defaults where nothing is set.
//
//	set = set.Fill()
func (s Set) Fill() Set {
	if s.Term == 0 {
		s.Term = 1500 * time.Millisecond
	}
	if s.Lost == 0 {
		s.Lost = 10 * time.Second
	}
	if s.Losses == 0 {
		s.Losses = 1
	}
	if s.MaxMembers == 0 {
		s.MaxMembers = 9
	}
	if s.Codec == nil {
		s.Codec = layoutCodec{}
	}
	if s.RunnerSilence == 0 {
		s.RunnerSilence = 4 * time.Second
	}
	return s
}

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
	BadRunner  = "bad-runner" // a heartbeat without an ID or with a state that no runner has
)

// Server is one core process.
type Server struct {
	ctx   env.Ctx
	set   Set
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
	pot     potCache
	claims  map[string]time.Time // since when this run knows each claim, and each part of the keys that ran
	swept   time.Time
	swept10 time.Time            // of the claims
	cooling bool                 // units of some quota cool
	greeted time.Time            // when silent places were last told the view
	mute    map[string]time.Time // places from which nobody beats: since when
	ran     ran
	ranTurn int       // parts put by this run
	doc     *Document // the last document read, and whose it is
	docSeq  uint64

	mu     sync.Mutex
	epoch  uint64
	asks   uint64    // rounds of requests for the lease
	began  time.Time // of leading this epoch
	ls     *lease.Lease
	ready  bool
	stood  time.Time // when the lease last stood
	rest   time.Time // since when we ask for no lease, having failed to get one
	vowed  bool      // a voter refused to renew since it vowed for the next epoch
	sick   bool
	sheet  Sheet // newest layout committed
	nodes  map[string]*seat
	roll   uint64
	since  time.Time // of being ready
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

// job is one operation of the run loop; its state says who may still end it.
type job struct {
	do    func(*Tx) error
	ctl   func()       // in place of do: a step of the run loop's own
	state atomic.Int32 // 0 waiting, 1 taken, 2 given up
	done  chan error
	err   error
}

// Tx is what a job sees: the committed state with the batch's own puts over it.
type Tx struct {
	st   *store.Store
	over map[string]*store.Put
	puts []store.Put
	size int  // bytes put: a batch has to fit one frame to the backup
	ran  bool // it has a part of the keys that ran
}

// Get reads a key.
//
//	raw, ok := tx.Get("layout")
func (t *Tx) Get(key string) ([]byte, bool) {
	if p, ok := t.over[key]; ok {
		return p.Val, !p.Gone
	}
	return t.st.Get(key)
}

// Put sets a key.
//
//	err := tx.Put("layout", &sheet)
func (t *Tx) Put(key string, val msgp.Marshaler) error {
	raw, err := val.MarshalMsg(nil)
	if err != nil {
		return err
	}
	t.add(store.Put{Key: key, Val: raw})
	return nil
}

// Drop removes a key.
//
//	tx.Drop("claim/t/k")
func (t *Tx) Drop(key string) { t.add(store.Put{Key: key, Gone: true}) }

func (t *Tx) add(p store.Put) {
	t.puts = append(t.puts, p)
	t.size += len(p.Key) + len(p.Val)
	t.over[p.Key] = &p
}

// Open reads the disk and makes a core. A disk whose state is damaged counts as blank: its
// identity is given up, so that it neither votes nor leads on what it no longer has.
//
//	srv, err := core.Open(ctx, set, disk)
func Open(ctx env.Ctx, set Set, disk store.Disk) (*Server, error) {
	set = set.Fill()
	if err := store.Tidy(disk, ctx.Log); err != nil {
		return nil, err
	}
	vot, err := view.Open(disk, set.Term, ctx.Part("view").Log)
	if err != nil {
		return nil, err
	}
	st, err := store.Open(disk, ctx.Part("store").Log)
	if errors.Is(err, store.ErrBroken) {
		ctx.Log.Error("State is damaged; set aside. This disk counts as blank.", "trouble", err.Error())
		if err := aside(disk); err != nil {
			return nil, err
		}
		if err := vot.Blank(); err != nil {
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
		aged:   map[string]time.Time{}, pot: potCache{}, mute: map[string]time.Time{}, ls: lease.New(set.Term), nodes: map[string]*seat{},
		short: map[string]time.Time{}, spare: map[string]spare{}}
	s.runners = NewRunnerRegistry(set.RunnerSilence, s.announce)
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
	go env.Loop(s.ctx, nil, s.set.Term/6, func(struct{}) {}, s.renew)
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

// renew asks all voters to lease us the primacy. It runs beside the run loop, so that a lease
// goes on while a copy or a decision takes its time.
//
// A primary that no majority answers only asks for signs of life, until one does: a request that
// arrives, but whose answer does not, would keep the voters from following another.
func (s *Server) renew() {
	v := s.vot.View()
	s.mu.Lock()
	lead := v.Prime == s.vot.Id() && s.epoch == v.Epoch && !s.sick && v.Epoch > 0
	ls := s.ls
	heard := time.Since(s.began) < s.set.Term/2 || ls.Hears(v.Most, s.set.Term/2)
	if !heard || ls.Stands(v.Most) {
		s.stood = time.Now()
	} else if time.Since(s.stood) > 2*s.set.Term && time.Since(s.began) > 2*s.set.Term {
		// A majority answers, but too few follow us. They must not be kept from following another,
		// so we ask for nothing for a while, then try again.
		if s.rest.Before(s.stood) || time.Since(s.rest) > 4*s.set.Term {
			s.rest = time.Now()
		}
		lead = lead && time.Since(s.rest) > 2*s.set.Term+rand.N(s.set.Term)
	}
	s.asks++
	in := view.Renew{View: v, Run: s.run, Turn: s.asks}
	s.mu.Unlock()
	if !lead {
		return
	}
	for _, m := range v.Members {
		if heard {
			go s.renewAt(in, m, ls)
		} else {
			go s.probe(m, ls)
		}
	}
}

// renewAt asks one voter for the lease.
func (s *Server) renewAt(in view.Renew, m view.Member, ls *lease.Lease) {
	ctx, end := context.WithTimeout(s.ctx, s.set.Term/2)
	defer end()
	var g view.Grant
	asked := time.Now()
	if s.call(ctx, m.Addr, "view.renew", &in, &g) != nil || g.Id != m.Id {
		return
	}
	ls.Saw(m.Id)
	switch {
	case g.Ok:
		stood := ls.Stands(in.View.Most)
		ls.Grant(m.Id, asked)
		if !stood && ls.Stands(in.View.Most) {
			s.hurry()
		}
	case g.View.Epoch > in.View.Epoch:
		s.learn(g.View)
	case g.Vow:
		s.mu.Lock()
		s.vowed = true
		s.mu.Unlock()
	}
}

// probe asks one voter for a sign of life.
func (s *Server) probe(m view.Member, ls *lease.Lease) {
	ctx, end := context.WithTimeout(s.ctx, s.set.Term/2)
	defer end()
	var told view.Told
	if s.call(ctx, m.Addr, "view.ask", &view.Ask{}, &told) == nil && told.Id == m.Id {
		ls.Saw(m.Id)
		s.learn(told.View)
	}
}

func (s *Server) learn(v view.View) {
	if err := s.vot.Learn(v); err != nil {
		s.trouble(err)
	}
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

// release gives our lease back to all voters, so that a backup need not wait for its end.
func (s *Server) release(turn uint64) {
	v := s.vot.View()
	if v.Prime != s.vot.Id() {
		return
	}
	for _, m := range v.Members {
		go func() {
			ctx, end := context.WithTimeout(s.ctx, step)
			defer end()
			s.call(ctx, m.Addr, "view.release", &view.Release{Epoch: v.Epoch, Run: s.run, Turn: turn}, nil)
		}()
	}
}

// heal waits until the disk takes a synced file again, then reads all anew from it.
func (s *Server) heal() {
	for env.Wait(s.ctx, 2*time.Second) {
		if s.disk.Write("probe", []byte("probe")) != nil {
			continue
		}
		s.keep.Lock()
		// A write that got stuck must end before the disk is read anew.
		s.st.Load().Close()
		st, err := store.Open(s.disk, s.ctx.Log)
		if err == nil {
			s.st.Store(st)
			s.mu.Lock()
			s.sick = false
			s.epoch = 0 // leading starts over, with a fresh copy to the backup
			s.mu.Unlock()
			s.ctx.Log.Info("Disk is sound again.")
		}
		s.keep.Unlock()
		if err == nil {
			return
		}
	}
}

// beat is the run loop's tick: it does what our place in the view asks for.
func (s *Server) beat() {
	if s.isSick() {
		return
	}
	v, me := s.vot.View(), s.vot.Id()
	switch {
	case v.Epoch == 0:
		s.seek()
	case v.Prime == me:
		s.lead(v, me)
	case v.IsBackup(me):
		s.watch(v, me)
	case v.Addr(me) != s.set.Addr: // no member, or one that has moved
		s.join(v)
	default:
		s.lookAround(v)
	}
}

func (s *Server) pause(d time.Duration) bool {
	if time.Now().Before(s.next) {
		return false
	}
	s.next = time.Now().Add(d/2 + rand.N(d))
	return true
}

// ask asks every address what it knows of the core.
func (s *Server) ask(to []string) map[string]view.Told {
	ctx, end := context.WithTimeout(s.ctx, step)
	defer end()
	out := map[string]view.Told{}
	var mu sync.Mutex
	var all sync.WaitGroup
	done := map[string]bool{}
	for _, a := range to {
		if done[a] {
			continue
		}
		done[a] = true
		all.Go(func() {
			var t view.Told
			if s.call(ctx, a, "view.ask", &view.Ask{}, &t) == nil {
				mu.Lock()
				out[a] = t
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return out
}

// decide tries to bring about the next view, and learns what came of it.
func (s *Server) decide(cur, next view.View, all bool) bool {
	t := &view.Try{Me: s.vot.Id(), Call: s.call, Cur: cur, Next: next, All: all, Wait: step, Top: s.top}
	got, err := t.Run(s.ctx)
	s.top = t.Top
	if err != nil {
		s.ctx.Log.Warn("View not decided.", "after", cur.Epoch, "trouble", err.Error())
		return false
	}
	s.learn(got)
	if got.Epoch == cur.Epoch+1 {
		to := append(append([]view.Member{}, cur.Members...), got.Members...)
		for _, m := range to {
			if m.Id != s.vot.Id() {
				go func() {
					ctx, end := context.WithTimeout(s.ctx, step)
					defer end()
					s.call(ctx, m.Addr, "view.learn", &view.Learn{View: got}, nil)
				}()
			}
		}
	}
	s.hurry()
	s.ctx.Log.Info("View decided.", "epoch", got.Epoch, "primary", got.Addr(got.Prime), "backups", addrs(got, got.Backups()), "members", len(got.Members))
	return true
}

// stands tells whether we are primary of the epoch now, by a majority's lease.
func (s *Server) stands(v view.View) bool {
	s.mu.Lock()
	ls, ok := s.ls, s.epoch == v.Epoch && !s.sick
	s.mu.Unlock()
	return ok && ls.Stands(v.Most) && s.vot.View().Epoch == v.Epoch
}

func (s *Server) setReady(to bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = to
}

// start opens for writes: the backup holds all we hold, and the lease stands.
func (s *Server) start(v view.View) {
	var sheet Sheet
	if raw, ok := s.st.Load().Get("layout"); ok {
		if _, err := sheet.UnmarshalMsg(raw); err != nil {
			s.ctx.Log.Error("Stored layout unread.", "trouble", err.Error())
			return
		}
	}
	s.ran.load(s.st.Load())
	s.mu.Lock()
	s.runners.Begin(registryEpoch(v.Epoch, s.ctx.Born), s.began, time.Now(), s.storedRunners())
	s.ready, s.sheet, s.since = true, sheet, time.Now()
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addrs(v, v.Backups()), "sequence", sheet.Seq)
}

// Yield hands the primacy to the backup, which holds all we hold, before a planned stop.
//
//	srv.Yield()
func (s *Server) Yield() {
	j := &job{done: make(chan error, 1), ctl: func() {
		v, me := s.vot.View(), s.vot.Id()
		s.mu.Lock()
		ready := s.ready
		s.mu.Unlock()
		if v.Prime != me || !ready {
			return
		}
		s.setReady(false)
		s.decide(v, heir(v, v.Backups()[0]), false)
	}}
	t := time.NewTimer(2 * time.Second)
	defer t.Stop()
	select {
	case s.box <- j:
	case <-t.C:
		return
	}
	select {
	case <-j.done:
	case <-t.C:
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
	case !v.Has(s.vot.Id()):
		return "waiting for a seat"
	}
	return ""
}

// Submit passes an operation to the run loop and waits for its outcome. The error is NotReady
// where the operation surely was not and will not be taken, InDoubt where it may be.
//
//	err := srv.Submit(ctx, func(tx *core.Tx) error { ... })
func (s *Server) Submit(ctx context.Context, do func(*Tx) error) error {
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready {
		if v := s.vot.View(); v.Prime != s.vot.Id() {
			return wire.Fault{Code: NotPrimary}
		}
		return wire.Fault{Code: NotReady}
	}
	j := &job{do: do, done: make(chan error, 1)}
	select {
	case s.box <- j:
	default:
		return wire.Fault{Code: NotReady}
	}
	select {
	case err := <-j.done:
		return err
	case <-ctx.Done():
		if j.state.CompareAndSwap(0, 2) {
			return wire.Fault{Code: NotReady}
		}
		return wire.Fault{Code: InDoubt}
	}
}

// work takes a job and all that wait behind it, and syncs them as one batch.
func (s *Server) work(first *job) {
	if first.ctl != nil {
		first.ctl()
		close(first.done)
		return
	}
	s.mu.Lock()
	ready, epoch := s.ready, s.epoch
	s.mu.Unlock()
	v := s.vot.View()
	tx := &Tx{st: s.st.Load(), over: map[string]*store.Put{}}
	ok := ready && v.Epoch == epoch && s.stands(v)
	var live []*job
	for j, n := first, 0; j != nil; n++ {
		switch {
		case !j.state.CompareAndSwap(0, 1):
		case !ok:
			j.done <- wire.Fault{Code: NotReady}
		default:
			mark := len(tx.puts)
			if j.err = j.do(tx); j.err != nil {
				tx.undo(mark)
			}
			live = append(live, j)
		}
		j = nil
		if n < most && tx.size < chunk {
			select {
			case j = <-s.box:
				if j.ctl != nil {
					defer s.work(j)
					j = nil
				}
			default:
			}
		}
	}
	err := s.commit(v, tx)
	for _, j := range live {
		if err != nil {
			j.done <- err
		} else {
			j.done <- j.err
		}
	}
	if err == nil && len(tx.puts) > 0 {
		if err := tx.st.Tidy(); err != nil {
			s.trouble(err)
		}
	}
}

// last gives the newest put of each key: what a batch puts several times is stored and sent once.
func (t *Tx) last() []store.Put {
	if len(t.over) == len(t.puts) {
		return t.puts
	}
	newest := make(map[string]int, len(t.over))
	for i := range t.puts {
		newest[t.puts[i].Key] = i
	}
	out := make([]store.Put, 0, len(newest))
	for i, p := range t.puts {
		if newest[p.Key] == i {
			out = append(out, p)
		}
	}
	return out
}

// undo strikes the puts a failed job made.
func (t *Tx) undo(mark int) {
	for _, p := range t.puts[mark:] {
		t.size -= len(p.Key) + len(p.Val)
	}
	t.puts = t.puts[:mark]
	clear(t.over)
	for i := range t.puts {
		t.over[t.puts[i].Key] = &t.puts[i]
	}
}

// commit holds the batch on our disk and the backups' and looks at the lease once more. Only then is it done.
func (s *Server) commit(v view.View, tx *Tx) error {
	doubt := wire.Fault{Code: InDoubt}
	if len(tx.puts) == 0 {
		if !s.stands(v) {
			return wire.Fault{Code: NotReady}
		}
		return nil
	}
	st := tx.st
	b := store.Batch{Seq: st.Seq() + 1, Puts: tx.last()}
	mine, far := make(chan error, 1), make(chan []string, 1)
	go func() { mine <- st.Add(b) }()
	go func() { far <- s.holdAt(v, b) }()
	slow := time.NewTimer(diskWait)
	defer slow.Stop()
	select {
	case err := <-mine:
		if err != nil {
			s.trouble(err)
			return doubt
		}
	case <-slow.C:
		s.trouble(eris.New("sync takes too long"))
		return doubt
	}
	if failed := <-far; len(failed) > 0 {
		s.failed(failed)
		if !s.mend(v, failed) {
			return doubt
		}
	} else if !s.stands(v) {
		return doubt
	}
	s.published(tx)
	return nil
}

// mend leads on until other backups hold all, the unanswered batch included.
func (s *Server) mend(v view.View, failed []string) bool {
	s.setReady(false)
	me := s.vot.Id()
	next := v
	for _, id := range failed {
		next = next.WithoutBackup(id)
	}
	s.decide(v, next, false)
	for end := time.Now().Add(mendWait); time.Now().Before(end); {
		cur := s.vot.View()
		if cur.Prime != me || s.isSick() {
			return false
		}
		s.lead(cur, me)
		s.mu.Lock()
		ready := s.ready
		s.mu.Unlock()
		if ready && s.stands(s.vot.View()) {
			return true
		}
		if !env.Wait(s.ctx, tick) {
			return false
		}
	}
	return false
}

// published makes a committed layout the one that is told to nodes.
func (s *Server) published(tx *Tx) {
	for _, p := range tx.puts {
		if strings.HasPrefix(p.Key, ranHead) {
			s.ran.take(p)
		}
	}
	if p, ok := tx.over["layout"]; ok {
		var sheet Sheet
		if _, err := sheet.UnmarshalMsg(p.Val); err == nil {
			s.mu.Lock()
			s.sheet = sheet
			s.mu.Unlock()
		}
	}
}

// Package node is the peer "another router": the hub holds this router's lease at the core, its
// copy of the news, and the talk with its neighbours in the relay tree.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/layout"
	"yarrowridge/internal/registry"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// How often the hub does what.
const (
	beatEvery = 400 * time.Millisecond
	mendEvery = 300 * time.Millisecond
	staleFrom = 3 * time.Second
	forget    = 60 * time.Second
)

// Hub is one router's share in the fleet's control.
type Hub struct {
	ctx   env.Ctx
	addr  string
	face  string
	seeds atomic.Pointer[[]string]
	cal   *wire.Caller
	Core  *core.Client
	Board *relay.Board
	box   chan relay.Tell
	now   atomic.Pointer[configuration] // in force; nil before the first
	turn  atomic.Pointer[chan struct{}] // closed by the next layout
	hook  func(relay.Rec)

	told     uint64                                  // the sequence that the core last named; only the beat touches it
	document func(sequence uint64, raw []byte) error // nil: the configuration is a layout
	runners  *registry.Registry                      // nil: none is kept
	tally    func() []core.RunnerTally               // nil: none is told
	failing  func([]core.FailingRunner)

	mu    sync.Mutex
	roll  uint64
	nodes []core.Node
	near  []relay.Seat
	heard time.Time // last answer of the core
	asked bool      // the core, or failing that all hall peers that answer, have been asked
	begun time.Time
	short []string
	quit  bool // no new origins, please
	leave bool // the lease is given up
	more  map[string]wire.Hand
}

// configuration is what the core gave and this router obeys.
type configuration struct {
	sequence uint64
	raw      []byte
	layout   *layout.Config // nil where the configuration is another document
}

// Option changes what a hub does with its news.
type Option func(*Hub)

// Document has the hub pass on configurations in place of reading them as layouts. take is called for
// each newer one, in order, under the board's lock. With an error the old one stays in force.
//
//	hub := node.NewHub(ctx, addr, face, seeds, hook, node.Document(take))
func Document(take func(sequence uint64, raw []byte) error) Option {
	return func(h *Hub) { h.document = take }
}

// Runners has the hub keep a copy of the core's registry of runners.
//
//	hub := node.NewHub(ctx, addr, face, seeds, hook, node.Runners(registry.New(nil)))
func Runners(reg *registry.Registry) Option {
	return func(h *Hub) { h.runners = reg }
}

// Health has the hub tell the core how attempts at runners ended since the last beat, and pass on which
// runners fail for all routers together.
//
//	hub := node.NewHub(ctx, addr, face, seeds, hook, node.Health(balancer.Tally, balancer.Failing))
func Health(tally func() []core.RunnerTally, failing func([]core.FailingRunner)) Option {
	return func(h *Hub) { h.tally, h.failing = tally, failing }
}

// NewHub makes a hub. hook sees every record of news that is taken, besides the configuration and the
// registered runners.
//
//	hub := node.NewHub(ctx, "127.0.0.1:7501", "127.0.0.1:8501", seeds, hook)
func NewHub(ctx env.Ctx, addr, face string, seeds []string, hook func(relay.Rec), options ...Option) *Hub {
	h := &Hub{ctx: ctx, addr: addr, face: face, cal: wire.NewCaller(ctx.Net), hook: hook,
		box: make(chan relay.Tell, 1024), begun: time.Now(), more: map[string]wire.Hand{}}
	h.Core = core.NewClient(ctx, h.cal, seeds)
	h.seeds.Store(&seeds)
	h.Board = relay.NewBoard(h.see)
	next := make(chan struct{})
	h.turn.Store(&next)
	for _, option := range options {
		option(h)
	}
	return h
}

// see runs under the board's lock, for one key from older to newer.
func (h *Hub) see(r relay.Rec) {
	switch {
	case r.Key == relay.LayoutKey && h.document != nil:
		h.takeDocument(r)
	case r.Key == relay.LayoutKey:
		h.takeLayout(r)
	case h.runners != nil && registry.Owns(r):
		h.runners.See(r)
	case h.hook != nil:
		h.hook(r)
	}
}

func (h *Hub) takeDocument(r relay.Rec) {
	if err := h.document(r.Turn, r.Body); err != nil {
		h.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "sequence", r.Turn, "trouble", err.Error())
		return
	}
	h.obey(&configuration{sequence: r.Turn, raw: r.Body})
	h.ctx.Log.Info("Configuration taken up.", "sequence", r.Turn)
}

func (h *Hub) takeLayout(r relay.Rec) {
	lay, bad := layout.Parse(r.Body)
	if len(bad) > 0 {
		h.ctx.Log.Error("Layout from the core is not understood. The old one stays.", "sequence", r.Turn, "trouble", bad[0].Path+": "+bad[0].Text)
		return
	}
	lay.Version = r.Turn
	next := &configuration{sequence: lay.Version, raw: lay.Raw, layout: lay}
	if old := h.now.Load(); strike.Out("late") && old != nil {
		time.AfterFunc(12*time.Second, func() { h.now.Store(next) })
		return
	} else if strike.Out("slip") && old != nil {
		time.AfterFunc(time.Second, func() { h.now.Store(old) })
	}
	h.obey(next)
	h.ctx.Log.Info("Layout taken up.", "sequence", r.Turn)
}

// obey puts a configuration in force and wakes those who wait for the next.
func (h *Hub) obey(c *configuration) {
	h.now.Store(c)
	next := make(chan struct{})
	close(*h.turn.Swap(&next))
}

// SetSeeds replaces the seeds: the settings have changed.
//
//	hub.SetSeeds([]string{"127.0.0.1:7401"})
func (h *Hub) SetSeeds(seeds []string) {
	h.seeds.Store(&seeds)
	h.Core.SetSeeds(seeds)
}

// Layout is the newest layout held; nil before the first, and where the configuration is another document.
//
//	lay := hub.Layout()
func (h *Hub) Layout() *layout.Config {
	if c := h.now.Load(); c != nil {
		return c.layout
	}
	return nil
}

// Sequence is the sequence of the configuration obeyed; 0 before the first.
//
//	seq := hub.Sequence()
func (h *Hub) Sequence() uint64 {
	if c := h.now.Load(); c != nil {
		return c.sequence
	}
	return 0
}

// Hash is the hex SHA-256 of the configuration obeyed, as it was put; "" before the first.
//
//	same := hub.Hash() == layout.HashKey(string(raw))
func (h *Hub) Hash() string {
	if c := h.now.Load(); c != nil {
		return layout.HashKey(string(c.raw))
	}
	return ""
}

// Turn is closed once a newer layout is in force. Ask for it before Layout, so as to miss none.
//
//	turn, lay := hub.Turn(), hub.Layout()
func (h *Hub) Turn() <-chan struct{} { return *h.turn.Load() }

// Me is this node as its peers know it.
//
//	n := hub.Me()
func (h *Hub) Me() core.Node {
	n := core.Node{Name: h.ctx.Name, Hall: h.ctx.Zone, Addr: h.addr, Face: h.face, Born: h.ctx.Born}
	n.Seq = h.Sequence()
	n.Ready = h.Ready() == ""
	return n
}

// Ready tells why no new origins should be sent to this node, or "".
//
//	if why := hub.Ready(); why != "" { ... }
func (h *Hub) Ready() string {
	h.mu.Lock()
	quit := h.quit
	h.mu.Unlock()
	if quit {
		return "leaving"
	}
	return h.Can()
}

// Quit begins leaving: we are no longer ready, but go on serving what comes.
//
//	hub.Quit()
func (h *Hub) Quit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quit = true
}

// Can tells why this node can't serve at all yet, or "".
//
//	if why := hub.Can(); why != "" { ... }
func (h *Hub) Can() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.now.Load() == nil:
		return "no layout yet"
	case !h.asked:
		return "neither the core nor the hall's nodes have been asked yet"
	}
	return ""
}

// Stale tells whether the core has not been heard for a while: the layout may be old.
//
//	if hub.Stale() { ... }
func (h *Hub) Stale() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.heard) > staleFrom
}

// Fresh tells whether the core has answered one of the last two beats.
//
//	if hub.Fresh() { ... }
func (h *Hub) Fresh() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.heard) < 2*beatEvery+beatEvery/2
}

// Nodes lists the nodes that the core last named.
//
//	all := hub.Nodes()
func (h *Hub) Nodes() []core.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes
}

// Part splits a number between the nodes of the roll: the parts of all add up to no more than it.
//
//	mine := hub.Part(4)
func (h *Hub) Part(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.nodes {
		if o.Name == h.ctx.Name {
			part := n / len(h.nodes)
			if i < n%len(h.nodes) {
				part++
			}
			return part
		}
	}
	return 0
}

// Near lists our neighbours in the relay tree.
//
//	for _, s := range hub.Near() { ... }
func (h *Hub) Near() []relay.Seat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.near
}

// Short lists the tenants whose idle units the core wants back.
//
//	for _, t := range hub.Short() { ... }
func (h *Hub) Short() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.short
}

// Own adds a hand for another owner's calls on the same listener.
//
//	hub.Own("piece", pool.Hand)
func (h *Hub) Own(name string, hand wire.Hand) { h.more[name] = hand }

// Hand answers calls from other processes.
//
//	go wire.Serve(ctx, l, hub.Hand)
func (h *Hub) Hand(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.Told{Addr: h.addr, View: h.Core.View()}, nil
	case "node.tell":
		return wire.On(body, func(in *relay.Tell) (*core.Done, error) {
			h.Spread(*in)
			return &core.Done{}, nil
		})
	case "node.sum":
		return wire.On(body, func(in *relay.Sum) (*relay.Diff, error) {
			d := h.Board.Diff(*in)
			return &d, nil
		})
	case "node.fix":
		return wire.On(body, func(in *relay.Fix) (*relay.Tell, error) {
			h.Spread(relay.Tell{From: in.From, Recs: in.Recs})
			return &relay.Tell{From: h.ctx.Name, Recs: h.Board.Pick(in.Want)}, nil
		})
	case "node.view":
		return wire.On(body, func(in *view.Learn) (*core.Done, error) {
			h.Core.Learn(in.View)
			return &core.Done{}, nil
		})
	case "node.roll":
		return &Roll{h.Nodes()}, nil
	}
	return wire.Hands(h.more).Do(ctx, kind, body)
}

// Spread takes news and hands on what was new to the neighbours, but for the one it came from.
//
//	hub.Spread(relay.Tell{Recs: recs})
func (h *Hub) Spread(t relay.Tell) {
	fresh := h.Board.Take(t.Recs)
	if len(fresh) == 0 {
		return
	}
	select {
	case h.box <- relay.Tell{From: t.From, Recs: fresh}:
	default: // the digests will carry it
	}
}

// Run beats, spreads and mends until the context ends.
//
//	hub.Run()
func (h *Hub) Run() {
	go h.beats()
	go h.every(mendEvery, h.mend)
	env.Loop(h.ctx, h.box, 0, h.hand, nil)
	h.cal.Close()
}

// startPause is between tries of a router that the core has not answered yet. Each try looks for a primary itself.
const startPause = 50 * time.Millisecond

// beats beats again and again. Nothing is served before the core has been asked, so a router that starts does not
// wait for its turn. Its later beats begin at random, so that nodes that started together do not all call the core
// at one moment.
func (h *Hub) beats() {
	for !h.beat() {
		if !env.Wait(h.ctx, startPause) {
			return
		}
	}
	h.every(beatEvery, func() { h.beat() })
}

// every does something again and again. The first time is at random, so that nodes that started together do
// not all call the core at one moment.
func (h *Hub) every(span time.Duration, do func()) {
	if env.Wait(h.ctx, rand.N(span)) {
		do()
		env.Loop(h.ctx, nil, span, func(struct{}) {}, do)
	}
}

// hand sends news on, with all that has piled up behind it.
func (h *Hub) hand(t relay.Tell) {
	for _, n := range h.Near() {
		if n.Name == t.From {
			continue
		}
		go func() {
			ctx, end := context.WithTimeout(h.ctx, time.Second)
			defer end()
			h.cal.Call(ctx, n.Addr, "node.tell", &relay.Tell{From: h.ctx.Name, Recs: t.Recs}, nil)
		}()
	}
}

// Sure hands records to every node directly, beside the tree, and tells whether one at least holds
// them. It waits until all have answered, a quarter second at most: if we are gone right after, the
// tree that led through us must not be what others depend on.
//
//	if hub.Sure(ctx, recs) { ... }
func (h *Hub) Sure(ctx context.Context, recs []relay.Rec) bool {
	nodes := h.Nodes()
	ch := make(chan bool, len(nodes))
	ask := 0
	for _, n := range nodes {
		if n.Name == h.ctx.Name {
			continue
		}
		ask++
		go func() {
			one, end := context.WithTimeout(h.ctx, time.Second)
			defer end()
			ch <- h.cal.Call(one, n.Addr, "node.tell", &relay.Tell{From: h.ctx.Name, Recs: recs}, nil) == nil
		}()
	}
	wait := time.NewTimer(250 * time.Millisecond)
	defer wait.Stop()
	late := wait.C
	sure := ask == 0
	for ; ask > 0; ask-- {
		select {
		case ok := <-ch:
			sure = sure || ok
			if sure && late == nil {
				return true
			}
		case <-late:
			if sure {
				return true
			}
			late = nil // nobody yet: wait on for the first
			ask++
		case <-ctx.Done():
			return sure
		}
	}
	return sure
}

// beat renews our lease at the core and learns what has changed. It tells whether the core has answered.
func (h *Hub) beat() bool {
	h.mu.Lock()
	roll, leave := h.roll, h.leave
	h.mu.Unlock()
	if leave {
		return true
	}
	ctx, end := context.WithTimeout(h.ctx, 1500*time.Millisecond)
	defer end()
	var out core.Told
	in := core.Beat{Node: h.Me(), Roll: roll, AgeMs: int(time.Since(h.begun).Milliseconds()), ViewEpoch: h.Core.View().Epoch}
	if h.runners != nil {
		in.RunnersWanted = true
		in.RunnersEpoch, in.RunnersVersion = h.runners.Position()
		if in.RunnersVersion == 0 {
			in.RunnersDigest = h.runners.Digest()
		}
	}
	if h.tally != nil {
		in.Tallies = h.tally()
	}
	if err := h.Core.Call(ctx, "core.beat", &in, &out, true); err != nil {
		if wire.Is(err, core.NameTaken) {
			h.ctx.Log.Error("Another router has our name. Each needs its own.", "name", h.ctx.Name)
			return true
		}
		h.ctx.Log.Debug("No answer from the core.", "trouble", err.Error())
		h.alone()
		return false
	}
	h.Core.Learn(out.View)
	h.mu.Lock()
	was := time.Since(h.heard) > staleFrom && !h.heard.IsZero()
	h.heard = time.Now()
	h.short = out.Short
	if out.Whole {
		h.roll = out.Roll
		h.seat(out.Nodes)
	}
	h.mu.Unlock()
	if was {
		h.ctx.Log.Info("The core is heard again.")
	}
	if h.runners != nil {
		h.runners.Apply(&out)
	}
	if h.failing != nil {
		h.failing(out.Failing)
	}
	// One that was not understood is not fetched again and again. A new one is on its way by the relays: it is
	// fetched only if it was missing for a whole beat, else a large part of the fleet would ask the primary at once.
	rec, _, _ := h.Board.Get(relay.LayoutKey)
	overdue := h.Sequence() == 0 || rec.Turn < h.told
	h.told = out.Seq
	if h.Sequence() < out.Seq && rec.Turn < out.Seq && overdue {
		var sheet core.Sheet
		if h.Core.Call(ctx, "core.layout", &core.Want{}, &sheet, true) == nil && sheet.Seq > 0 {
			h.Spread(relay.Tell{Recs: []relay.Rec{relay.LayoutRec(sheet.Seq, sheet.Raw)}})
		}
	}
	if h.now.Load() == nil || h.Sequence() < out.Seq {
		return true // asked, but not answered in full
	}
	h.mu.Lock()
	h.asked = true
	h.mu.Unlock()
	return true
}

// seat takes a new roll; the caller holds the lock.
func (h *Hub) seat(nodes []core.Node) {
	h.nodes = nodes
	var seats []relay.Seat
	var addrs []string
	for _, n := range nodes {
		seats = append(seats, relay.Seat{Name: n.Name, Hall: n.Hall, Addr: n.Addr})
		if n.Name != h.ctx.Name {
			addrs = append(addrs, n.Addr)
		}
	}
	h.near = relay.Near(h.ctx.Name, seats)
	h.Core.Peers(addrs)
}

// alone is what a node without a core does: a blank one asks all hall peers it can reach.
func (h *Hub) alone() {
	h.mu.Lock()
	asked, nodes := h.asked, h.nodes
	h.mu.Unlock()
	if asked || time.Since(h.begun) < 2*time.Second {
		return
	}
	ctx, end := context.WithTimeout(h.ctx, time.Second)
	defer end()
	if len(nodes) == 0 {
		for _, a := range *h.seeds.Load() {
			var r Roll
			if h.cal.Call(ctx, a, "node.roll", &Ask{}, &r) == nil && len(r.Nodes) > len(nodes) {
				nodes = r.Nodes
			}
		}
	}
	for _, n := range nodes {
		if n.Hall == h.ctx.Zone && n.Name != h.ctx.Name {
			h.mendWith(ctx, n.Addr)
		}
	}
	if h.now.Load() == nil {
		return
	}
	h.ctx.Log.Warn("No core to be found. Serving with the hall's layout.")
	h.mu.Lock()
	h.asked = true
	if len(h.nodes) == 0 {
		h.seat(append(nodes, core.Node{Name: h.ctx.Name, Hall: h.ctx.Zone, Addr: h.addr, Born: h.ctx.Born}))
	}
	h.mu.Unlock()
}

// mend compares our news with one neighbour's, or any node's every other time, by digests.
func (h *Hub) mend() {
	h.Board.Drop(forget)
	near := h.Near()
	nodes := h.Nodes()
	// A neighbour that does not answer may be what news is stuck behind: another is asked at once.
	for range 3 {
		to := ""
		if len(near) > 0 && rand.N(2) > 0 {
			to = near[rand.N(len(near))].Addr
		} else if len(nodes) > 0 {
			to = nodes[rand.N(len(nodes))].Addr
		}
		if to == "" || to == h.addr {
			continue
		}
		ctx, end := context.WithTimeout(h.ctx, 500*time.Millisecond)
		ok := h.mendWith(ctx, to)
		end()
		if ok {
			return
		}
	}
}

func (h *Hub) mendWith(ctx context.Context, to string) bool {
	sum := h.Board.Sum(h.ctx.Name)
	var diff relay.Diff
	if h.cal.Call(ctx, to, "node.sum", &sum, &diff) != nil {
		return false
	}
	fix := h.Board.Fix(h.ctx.Name, diff)
	if len(fix.Recs)+len(fix.Want) == 0 {
		return true
	}
	var back relay.Tell
	if h.cal.Call(ctx, to, "node.fix", &fix, &back) != nil {
		return false
	}
	h.Spread(back)
	return true
}

// Leave gives up the lease: the core names us no more, our units cool. Serving what has been
// read goes on meanwhile.
//
//	hub.Leave()
func (h *Hub) Leave() {
	h.mu.Lock()
	h.leave = true
	h.mu.Unlock()
	ctx, end := context.WithTimeout(h.ctx, time.Second)
	defer end()
	if err := h.Core.Call(ctx, "core.beat", &core.Beat{Node: h.Me(), Leave: true}, &core.Told{}, true); err != nil {
		h.ctx.Log.Warn("The core was not told that we leave.", "trouble", err.Error())
	}
}

// Call reaches another process of the fleet.
//
//	err := hub.Call(ctx, addr, "piece.copy", &in, nil)
func (h *Hub) Call(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	return h.cal.Call(ctx, addr, kind, in, out)
}

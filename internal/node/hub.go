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
	"yarrowridge/internal/fleetconfig"
	"yarrowridge/internal/registry"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// How often the hub does what.
const (
	heartbeatEvery = 400 * time.Millisecond
	repairEvery    = 300 * time.Millisecond
	staleAfter     = 3 * time.Second
	forgetAfter    = 60 * time.Second
)

// Hub is one router's share in the fleet's control.
type Hub struct {
	ctx           env.Ctx
	addr          string
	clientAddr    string
	seeds         atomic.Pointer[[]string]
	caller        *wire.Caller
	Core          *core.Client
	Records       *relay.Store
	outbox        chan relay.News
	current       atomic.Pointer[configuration] // in force; nil before the first
	configChanged atomic.Pointer[chan struct{}] // closed by the next layout
	onNews        func(relay.Record)

	announcedVersion uint64                                  // the sequence that the core last named; only the beat touches it
	document         func(sequence uint64, raw []byte) error // nil: the configuration is a layout
	runners          *registry.Registry                      // nil: none is kept
	tally            func() []core.RunnerTally               // nil: none is told
	failing          func([]core.FailingRunner)

	mu            sync.Mutex
	roll          uint64
	nodes         []core.Node
	neighbours    []relay.Node
	coreHeard     time.Time // last answer of the core
	asked         bool      // the core, or failing that all hall peers that answer, have been asked
	started       time.Time
	scarceTenants []string
	draining      bool // no new origins, please
	leaving       bool // the lease is given up
	handlers      map[string]wire.Hand
}

// configuration is what the core gave and this router obeys.
type configuration struct {
	version uint64
	raw     []byte
	config  *fleetconfig.Config // nil where the configuration is another document
}

// Option changes what a hub does with its news.
type Option func(*Hub)

// Document has the hub pass on configurations in place of reading them as configurations. take is called for
// each newer one, in order, under the store's lock. With an error the old one stays in force.
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
func NewHub(ctx env.Ctx, addr, clientAddr string, seeds []string, onNews func(relay.Record), options ...Option) *Hub {
	h := &Hub{ctx: ctx, addr: addr, clientAddr: clientAddr, caller: wire.NewCaller(ctx.Net), onNews: onNews,
		outbox: make(chan relay.News, 1024), started: time.Now(), handlers: map[string]wire.Hand{}}
	h.Core = core.NewClient(ctx, h.caller, seeds)
	h.seeds.Store(&seeds)
	h.Records = relay.NewStore(h.see)
	next := make(chan struct{})
	h.configChanged.Store(&next)
	for _, option := range options {
		option(h)
	}
	return h
}

// see runs under the store's lock, for one key from older to newer.
func (h *Hub) see(r relay.Record) {
	switch {
	case r.Key == relay.ConfigKey && h.document != nil:
		h.takeDocument(r)
	case r.Key == relay.ConfigKey:
		h.takeConfig(r)
	case h.runners != nil && registry.Owns(r):
		h.runners.See(r)
	case h.onNews != nil:
		h.onNews(r)
	}
}

func (h *Hub) takeDocument(r relay.Record) {
	if err := h.document(r.Version, r.Body); err != nil {
		h.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "sequence", r.Version, "trouble", err.Error())
		return
	}
	h.obey(&configuration{version: r.Version, raw: r.Body})
	h.ctx.Log.Info("Configuration taken up.", "sequence", r.Version)
}

func (h *Hub) takeConfig(r relay.Record) {
	config, bad := fleetconfig.Parse(r.Body)
	if len(bad) > 0 {
		h.ctx.Log.Error("Layout from the core is not understood. The old one stays.", "sequence", r.Version, "trouble", bad[0].Path+": "+bad[0].Text)
		return
	}
	config.Version = r.Version
	next := &configuration{version: config.Version, raw: config.Raw, config: config}
	if old := h.current.Load(); strike.Out("late") && old != nil {
		time.AfterFunc(12*time.Second, func() { h.current.Store(next) })
		return
	} else if strike.Out("slip") && old != nil {
		time.AfterFunc(time.Second, func() { h.current.Store(old) })
	}
	h.obey(next)
	h.ctx.Log.Info("Layout taken up.", "sequence", r.Version)
}

// obey puts a configuration in force and wakes those who wait for the next.
func (h *Hub) obey(c *configuration) {
	h.current.Store(c)
	next := make(chan struct{})
	close(*h.configChanged.Swap(&next))
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
func (h *Hub) Config() *fleetconfig.Config {
	if c := h.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// Sequence is the sequence of the configuration obeyed; 0 before the first.
//
//	seq := hub.Sequence()
func (h *Hub) ConfigVersion() uint64 {
	if c := h.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// Hash is the hex SHA-256 of the configuration obeyed, as it was put; "" before the first.
//
//	same := hub.Hash() == fleetconfig.HashKey(string(raw))
func (h *Hub) Hash() string {
	if c := h.current.Load(); c != nil {
		return fleetconfig.HashKey(string(c.raw))
	}
	return ""
}

// Turn is closed once a newer layout is in force. Ask for it before Layout, so as to miss none.
//
//	turn, lay := hub.Turn(), hub.Layout()
func (h *Hub) ConfigChanged() <-chan struct{} { return *h.configChanged.Load() }

// Me is this node as its peers know it.
//
//	n := hub.Me()
func (h *Hub) Me() core.Node {
	n := core.Node{Name: h.ctx.Name, Hall: h.ctx.Zone, Addr: h.addr, Face: h.clientAddr, Born: h.ctx.Born}
	n.Seq = h.ConfigVersion()
	n.Ready = h.Ready() == ""
	return n
}

// Ready tells why no new origins should be sent to this node, or "".
//
//	if why := hub.Ready(); why != "" { ... }
func (h *Hub) Ready() string {
	h.mu.Lock()
	quit := h.draining
	h.mu.Unlock()
	if quit {
		return "leaving"
	}
	return h.Servable()
}

// Quit begins leaving: we are no longer ready, but go on serving what comes.
//
//	hub.Quit()
func (h *Hub) StartDraining() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Can tells why this node can't serve at all yet, or "".
//
//	if why := hub.Can(); why != "" { ... }
func (h *Hub) Servable() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.current.Load() == nil:
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
	return time.Since(h.coreHeard) > staleAfter
}

// Fresh tells whether the core has answered one of the last two beats.
//
//	if hub.Fresh() { ... }
func (h *Hub) Fresh() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.coreHeard) < 2*heartbeatEvery+heartbeatEvery/2
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
//	for _, s := range hub.Neighbours() { ... }
func (h *Hub) Neighbours() []relay.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.neighbours
}

// Short lists the tenants whose idle units the core wants back.
//
//	for _, t := range hub.Short() { ... }
func (h *Hub) ScarceTenants() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scarceTenants
}

// Own adds a hand for another owner's calls on the same listener.
//
//	hub.Own("piece", pool.Hand)
func (h *Hub) Handle(name string, hand wire.Hand) { h.handlers[name] = hand }

// Hand answers calls from other processes.
//
//	go wire.Serve(ctx, l, hub.Hand)
func (h *Hub) Serve(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return &view.Told{Addr: h.addr, View: h.Core.View()}, nil
	case "node.tell":
		return wire.On(body, func(in *relay.News) (*core.Done, error) {
			h.Spread(*in)
			return &core.Done{}, nil
		})
	case "node.sum":
		return wire.On(body, func(in *relay.Digests) (*relay.Difference, error) {
			d := h.Records.Compare(*in)
			return &d, nil
		})
	case "node.fix":
		return wire.On(body, func(in *relay.Repair) (*relay.News, error) {
			h.Spread(relay.News{From: in.From, Records: in.Records})
			return &relay.News{From: h.ctx.Name, Records: h.Records.Select(in.Wanted)}, nil
		})
	case "node.view":
		return wire.On(body, func(in *view.Learn) (*core.Done, error) {
			h.Core.Learn(in.View)
			return &core.Done{}, nil
		})
	case "node.roll":
		return &Roll{h.Nodes()}, nil
	}
	return wire.Hands(h.handlers).Do(ctx, kind, body)
}

// Spread takes news and hands on what was new to the neighbours, but for the one it came from.
//
//	hub.Spread(relay.News{Records: records})
func (h *Hub) Spread(news relay.News) {
	fresh := h.Records.Take(news.Records)
	if len(fresh) == 0 {
		return
	}
	select {
	case h.outbox <- relay.News{From: news.From, Records: fresh}:
	default: // the digests will carry it
	}
}

// Run beats, spreads and mends until the context ends.
//
//	hub.Run()
func (h *Hub) Run() {
	go h.every(heartbeatEvery, h.sendHeartbeat)
	go h.every(repairEvery, h.repair)
	env.Loop(h.ctx, h.outbox, 0, h.forward, nil)
	h.caller.Close()
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
func (h *Hub) forward(news relay.News) {
	for _, n := range h.Neighbours() {
		if n.Name == news.From {
			continue
		}
		go func() {
			ctx, end := context.WithTimeout(h.ctx, time.Second)
			defer end()
			h.caller.Call(ctx, n.Addr, "node.tell", &relay.News{From: h.ctx.Name, Records: news.Records}, nil)
		}()
	}
}

// Sure hands records to every node directly, beside the tree, and tells whether one at least holds
// them. It waits until all have answered, a quarter second at most: if we are gone right after, the
// tree that led through us must not be what others depend on.
//
//	if hub.Sure(ctx, recs) { ... }
func (h *Hub) SpreadToAll(ctx context.Context, records []relay.Record) bool {
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
			ch <- h.caller.Call(one, n.Addr, "node.tell", &relay.News{From: h.ctx.Name, Records: records}, nil) == nil
		}()
	}
	wait := time.NewTimer(250 * time.Millisecond)
	defer wait.Stop()
	late := wait.C
	held := ask == 0
	for ; ask > 0; ask-- {
		select {
		case ok := <-ch:
			held = held || ok
			if held && late == nil {
				return true
			}
		case <-late:
			if held {
				return true
			}
			late = nil // nobody yet: wait on for the first
			ask++
		case <-ctx.Done():
			return held
		}
	}
	return held
}

// beat renews our lease at the core and learns what has changed.
func (h *Hub) sendHeartbeat() {
	h.mu.Lock()
	roll, leave := h.roll, h.leaving
	h.mu.Unlock()
	if leave {
		return
	}
	ctx, end := context.WithTimeout(h.ctx, 1500*time.Millisecond)
	defer end()
	var out core.Told
	in := core.Beat{Node: h.Me(), Roll: roll, AgeMs: int(time.Since(h.started).Milliseconds()), ViewEpoch: h.Core.View().Epoch}
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
			return
		}
		h.ctx.Log.Debug("No answer from the core.", "trouble", err.Error())
		h.askZone()
		return
	}
	h.Core.Learn(out.View)
	h.mu.Lock()
	was := time.Since(h.coreHeard) > staleAfter && !h.coreHeard.IsZero()
	h.coreHeard = time.Now()
	h.scarceTenants = out.Short
	if out.Whole {
		h.roll = out.Roll
		h.takeNodes(out.Nodes)
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
	record, _, _ := h.Records.Get(relay.ConfigKey)
	overdue := h.ConfigVersion() == 0 || record.Version < h.announcedVersion
	h.announcedVersion = out.Seq
	if h.ConfigVersion() < out.Seq && record.Version < out.Seq && overdue {
		var sheet core.Sheet
		if h.Core.Call(ctx, "core.layout", &core.Want{}, &sheet, true) == nil && sheet.Seq > 0 {
			h.Spread(relay.News{Records: []relay.Record{relay.ConfigRecord(sheet.Seq, sheet.Raw)}})
		}
	}
	if h.current.Load() == nil || h.ConfigVersion() < out.Seq {
		return // asked, but not answered in full
	}
	h.mu.Lock()
	h.asked = true
	h.mu.Unlock()
}

// seat takes a new roll; the caller holds the lock.
func (h *Hub) takeNodes(nodes []core.Node) {
	h.nodes = nodes
	var relayNodes []relay.Node
	var addrs []string
	for _, n := range nodes {
		relayNodes = append(relayNodes, relay.Node{Name: n.Name, Zone: n.Hall, Addr: n.Addr})
		if n.Name != h.ctx.Name {
			addrs = append(addrs, n.Addr)
		}
	}
	h.neighbours = relay.Neighbours(h.ctx.Name, relayNodes)
	h.Core.Peers(addrs)
}

// alone is what a node without a core does: a blank one asks all hall peers it can reach.
func (h *Hub) askZone() {
	h.mu.Lock()
	asked, nodes := h.asked, h.nodes
	h.mu.Unlock()
	if asked || time.Since(h.started) < 2*time.Second {
		return
	}
	ctx, end := context.WithTimeout(h.ctx, time.Second)
	defer end()
	if len(nodes) == 0 {
		for _, a := range *h.seeds.Load() {
			var r Roll
			if h.caller.Call(ctx, a, "node.roll", &Ask{}, &r) == nil && len(r.Nodes) > len(nodes) {
				nodes = r.Nodes
			}
		}
	}
	for _, n := range nodes {
		if n.Hall == h.ctx.Zone && n.Name != h.ctx.Name {
			h.repairWith(ctx, n.Addr)
		}
	}
	if h.current.Load() == nil {
		return
	}
	h.ctx.Log.Warn("No core to be found. Serving with the hall's layout.")
	h.mu.Lock()
	h.asked = true
	if len(h.nodes) == 0 {
		h.takeNodes(append(nodes, core.Node{Name: h.ctx.Name, Hall: h.ctx.Zone, Addr: h.addr, Born: h.ctx.Born}))
	}
	h.mu.Unlock()
}

// mend compares our news with one neighbour's, or any node's every other time, by digests.
func (h *Hub) repair() {
	h.Records.Forget(forgetAfter)
	neighbours := h.Neighbours()
	nodes := h.Nodes()
	// A neighbour that does not answer may be what news is stuck behind: another is asked at once.
	for range 3 {
		to := ""
		if len(neighbours) > 0 && rand.N(2) > 0 {
			to = neighbours[rand.N(len(neighbours))].Addr
		} else if len(nodes) > 0 {
			to = nodes[rand.N(len(nodes))].Addr
		}
		if to == "" || to == h.addr {
			continue
		}
		ctx, end := context.WithTimeout(h.ctx, 500*time.Millisecond)
		ok := h.repairWith(ctx, to)
		end()
		if ok {
			return
		}
	}
}

func (h *Hub) repairWith(ctx context.Context, to string) bool {
	sum := h.Records.Digests(h.ctx.Name)
	var diff relay.Difference
	if h.caller.Call(ctx, to, "node.sum", &sum, &diff) != nil {
		return false
	}
	fix := h.Records.Repair(h.ctx.Name, diff)
	if len(fix.Records)+len(fix.Wanted) == 0 {
		return true
	}
	var back relay.News
	if h.caller.Call(ctx, to, "node.fix", &fix, &back) != nil {
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
	h.leaving = true
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
	return h.caller.Call(ctx, addr, kind, in, out)
}

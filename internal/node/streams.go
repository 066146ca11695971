package node

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/wire"
)

// Bounds of what is held of streams.
const (
	StreamMost = 8 << 20          // bytes of one stream; beyond it is no longer copied nor resumed
	AllMost    = 128 << 20        // bytes of all streams on one router, own and others'
	StreamKeep = 60 * time.Second // an ended stream can be resumed for so long
	ownerQuiet = 3 * time.Second  // an understudy asks after an owner silent for so long
	copyWait   = 400 * time.Millisecond
	copyTries  = 3 // understudies tried before a stream goes on without one
	seatWait   = 3 * time.Second
)

// LostRouter is the trouble of a stream whose router is gone.
const LostRouter = "router-lost"

// Stream is the numbered pieces of one answer, on its router or on the understudy.
type Stream struct {
	Id, Tenant  string
	owner, addr string // empty on the stream's own router
	mu          sync.Mutex
	pieces      [][]byte
	shown       int // of them, may be read: held by the understudy too, where we are not it
	size        int
	query       *StreamQuery // on repeatable lanes: what a second run takes
	turn        int
	asked       bool // it is being found out whether the owner is gone
	end         bool
	lost        string
	over        bool // too large to be held
	at          time.Time
	more        chan struct{}

	// Only the carrying task touches these.
	study  string // the understudy's address
	name   string
	failed int
}

// Streams are all streams held on this router.
type Streams struct {
	ctx  env.Ctx
	hub  *Hub
	mu   sync.Mutex
	all  map[string]*Stream
	size int

	// Heir carries a stream on whose router is gone. Without one, such a stream ends in trouble.
	Heir func(st *Stream, q *StreamQuery)
}

// NewStreams makes the store and answers other routers' calls about streams.
//
//	ss := node.NewStreams(ctx, hub)
func NewStreams(ctx env.Ctx, hub *Hub) *Streams {
	s := &Streams{ctx: ctx, hub: hub, all: map[string]*Stream{}}
	hub.Own("stream", s.hand)
	return s
}

// Run drops what has had its time, until the context ends.
//
//	go ss.Run()
func (s *Streams) Run() {
	env.Loop(s.ctx, nil, time.Second, func(struct{}) {}, s.sweep)
}

func (s *Streams) sweep() {
	s.mu.Lock()
	all := make([]*Stream, 0, len(s.all))
	for _, st := range s.all {
		all = append(all, st)
	}
	s.mu.Unlock()
	for _, st := range all {
		st.mu.Lock()
		old := time.Since(st.at) > StreamKeep && (st.end || st.lost != "" || st.owner != "")
		st.mu.Unlock()
		if old {
			s.drop(st)
		} else {
			go s.mourn(st)
		}
	}
}

func (s *Streams) drop(st *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all[st.Id] == st {
		delete(s.all, st.Id)
		st.mu.Lock()
		s.size -= st.size
		st.mu.Unlock()
	}
}

// mourn finds out whether a silent owner is gone, and if so carries its stream on, or ends it in
// trouble. The roll alone does not decide it: while the core is away the roll says nothing.
func (s *Streams) mourn(st *Stream) {
	st.mu.Lock()
	quiet := st.owner != "" && !st.asked && !st.end && st.lost == "" && time.Since(st.at) > ownerQuiet
	st.asked = st.asked || quiet
	addr, query := st.addr, st.query
	st.mu.Unlock()
	if !quiet {
		return
	}
	ctx, end := context.WithTimeout(s.ctx, copyWait)
	defer end()
	var out StreamTold
	err := s.hub.Call(ctx, addr, "stream.read", &StreamAsk{Id: st.Id, Tenant: st.Tenant, After: 1 << 30}, &out)
	switch {
	case err == nil && out.Have:
		st.mu.Lock()
		st.at = time.Now() // alive, if silent: its stream is kept
		st.mu.Unlock()
	case query != nil && s.Heir != nil:
		s.inherit(st, query)
	default:
		st.note(func() { st.lost = LostRouter })
		s.ctx.Log.Warn("Stream lost with its router.", "query", st.Id, "peer", addr)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.asked = false
}

// inherit takes a stream over, if the core grants it: the same turn can be claimed by its router,
// who would then name another understudy, or by us, and by nobody else.
func (s *Streams) inherit(st *Stream, query *StreamQuery) {
	st.mu.Lock()
	turn := st.turn
	st.mu.Unlock()
	got, err := s.seat(s.ctx, st.Id, turn)
	if err != nil {
		s.ctx.Log.Warn("The core can't be asked who carries a stream on.", "query", st.Id, "trouble", err.Error())
		return // asked again with the next sweep
	}
	st.mu.Lock()
	same := st.turn == turn
	mine := got && same && !st.end && st.lost == ""
	if mine {
		st.owner, st.shown = "", len(st.pieces)
		st.turn++
	}
	n := len(st.pieces)
	st.mu.Unlock()
	if !got && same {
		s.ctx.Log.Info("Stream is another understudy's by now.", "query", st.Id)
		s.drop(st)
	}
	if mine {
		s.ctx.Log.Warn("Stream is carried on in place of its router.", "query", st.Id, "pieces", n)
		go s.Heir(st, query)
	}
}

// Guard names an understudy for a stream that was taken over, before its second run.
//
//	err := ss.Guard(ctx, st)
func (s *Streams) Guard(ctx context.Context, st *Stream) error {
	n, _ := st.Held()
	return s.copy(ctx, st, StreamCopy{From: n})
}

// seat claims one turn of a stream.
func (s *Streams) seat(ctx context.Context, id string, turn int) (bool, error) {
	ctx, end := context.WithTimeout(context.WithoutCancel(ctx), seatWait)
	defer end()
	in := core.Take{Key: fmt.Sprintf("%s%s/%d", core.StreamHead, id, turn),
		Claim: core.Claim{Sum: "stream", Id: fmt.Sprintf("%s/%x", s.ctx.Name, s.ctx.Born), Node: s.ctx.Name, Born: s.ctx.Born}}
	var out core.Took
	err := s.hub.Core.Call(ctx, "core.take", &in, &out, true)
	return out.Got, err
}

// mine tells whether this router carries the stream.
func (st *Stream) mine() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.owner == ""
}

// note changes a stream and wakes who waits for it.
func (st *Stream) note(do func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	do()
	st.at = time.Now()
	close(st.more)
	st.more = make(chan struct{})
}

// ErrTaken means that another router carries the stream on, or may do so: nothing more of ours may be
// shown.
var ErrTaken = eris.New("node: another router carries the stream on")

// Open begins a stream on its own router. q is what a second run takes; nil where there must be none.
//
//	st := ss.Open(query.Id, tenant, nil)
func (s *Streams) Open(id, tenant string, q *StreamQuery) *Stream {
	st := &Stream{Id: id, Tenant: tenant, query: q, more: make(chan struct{}), at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[id] = st
	return st
}

// Held tells how many pieces a second run has to repeat, and whether it may be made at all.
//
//	n, ok := st.Held()
func (st *Stream) Held() (n int, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.pieces), st.query != nil && !st.over
}

// Same tells whether piece i is, byte for byte, what is held.
//
//	if !st.Same(0, piece) { ... }
func (st *Stream) Same(i int, piece []byte) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return i < len(st.pieces) && bytes.Equal(st.pieces[i], piece)
}

// room makes room for n more bytes by dropping ended streams, oldest first.
func (s *Streams) room(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+n > AllMost {
		var old *Stream
		for _, st := range s.all {
			st.mu.Lock()
			if (st.end || st.lost != "") && (old == nil || st.at.Before(old.at)) {
				old = st
			}
			st.mu.Unlock()
		}
		if old == nil {
			return false
		}
		delete(s.all, old.Id)
		s.size -= old.size
	}
	s.size += n
	return true
}

// Add hands numbered pieces to the understudy. Once it returns nil they may be shown to the origin. A
// stream that outgrows its bounds goes on, but is no longer held.
//
//	err := ss.Add(ctx, st, [][]byte{event})
func (s *Streams) Add(ctx context.Context, st *Stream, pieces [][]byte) error {
	n := 0
	for _, p := range pieces {
		n += len(p)
	}
	st.mu.Lock()
	over := st.over || st.size+n > StreamMost
	from := len(st.pieces)
	st.mu.Unlock()
	if over || !s.room(n) {
		if !st.over {
			s.ctx.Log.Warn("Stream outgrew its bounds. It can't be resumed.", "query", st.Id)
			// The understudy must not go on from what it holds: the origin sees more from now on.
			if err := s.sever(ctx, st); err != nil {
				return err
			}
			st.note(func() { st.over = true })
			s.drop(st)
		}
		return nil
	}
	st.mu.Lock()
	st.pieces = append(st.pieces, pieces...)
	st.size += n
	st.mu.Unlock()
	if err := s.copy(ctx, st, StreamCopy{From: from, Pieces: pieces}); err != nil {
		return err
	}
	st.note(func() { st.shown = len(st.pieces) })
	return nil
}

// Close ends a stream: in full where lost is "", else in trouble.
//
//	err := ss.Close(ctx, st, "")
func (s *Streams) Close(ctx context.Context, st *Stream, lost string) error {
	n, _ := st.Held()
	if err := s.copy(ctx, st, StreamCopy{From: n, End: lost == "", Lost: lost}); err != nil {
		return err
	}
	st.note(func() { st.end, st.lost = lost == "", lost })
	return nil
}

// sever makes sure that the understudy we have does not carry the stream on.
func (s *Streams) sever(ctx context.Context, st *Stream) error {
	if st.name == "" || st.query == nil {
		return nil // there is none, or it has no right to
	}
	got, err := s.seat(ctx, st.Id, st.turn)
	if err != nil || !got {
		s.ctx.Log.Warn("Another router may carry the stream on. Ours ends.", "query", st.Id)
		s.drop(st) // whoever asks us for it is to ask the others
		return ErrTaken
	}
	st.mu.Lock()
	st.turn++
	st.mu.Unlock()
	return nil
}

// copy hands a change to the understudy; a new one gets the whole stream. Where a second run is
// allowed, an understudy that did not answer may believe us gone: before anything is shown without it,
// its turn has to be ours. A new one is greeted first without the query, which alone gives the right to
// carry on: one that is out of reach costs no turn, so that a hall cut off from the core serves on.
func (s *Streams) copy(ctx context.Context, st *Stream, in StreamCopy) error {
	if st.over {
		return nil
	}
	in.Id, in.Tenant, in.Owner, in.Addr = st.Id, st.Tenant, s.ctx.Name, s.hub.addr
	for st.failed < copyTries {
		fresh := st.study == ""
		if fresh && !s.pick(st) {
			return nil
		}
		out := in
		st.mu.Lock()
		out.Turn = st.turn
		if fresh {
			out.From, out.Pieces, out.Query = 0, st.pieces, st.query
		}
		st.mu.Unlock()
		var err error
		met := !fresh || out.Query == nil
		if !met {
			err = s.hold(ctx, st, &StreamCopy{Id: in.Id, Tenant: in.Tenant, Owner: in.Owner, Addr: in.Addr, Turn: out.Turn})
			met = err == nil
		}
		if err == nil {
			err = s.hold(ctx, st, &out)
		}
		if err == nil {
			return nil
		}
		s.ctx.Log.Warn("Understudy did not take a piece.", "query", st.Id, "peer", st.study, "trouble", err.Error())
		if met {
			if err := s.sever(ctx, st); err != nil {
				return err
			}
		}
		st.study = ""
		st.failed++
	}
	return nil
}

// hold asks the understudy to hold something, for a short time.
func (s *Streams) hold(ctx context.Context, st *Stream, in *StreamCopy) error {
	short, end := context.WithTimeout(context.WithoutCancel(ctx), copyWait)
	defer end()
	return s.hub.Call(short, st.study, "stream.copy", in, nil)
}

// Held is one stream as an operator may read it.
type Held struct {
	Query  string `json:"query"`
	Tenant string `json:"tenant"`
	Router string `json:"router"` // that carries it
	Mine   bool   `json:"mine"`   // we do, else we are its understudy
	Repeat bool   `json:"repeatable"`
	Turn   int    `json:"turn"` // understudies it has had
	Pieces int    `json:"pieces"`
	Ended  bool   `json:"ended"`
	Lost   string `json:"lost,omitempty"`
}

// List tells all streams held here, carried or as understudy.
//
//	for _, h := range ss.List() { ... }
func (s *Streams) List() []Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Held{}
	for _, st := range s.all {
		st.mu.Lock()
		h := Held{st.Id, st.Tenant, st.owner, st.owner == "", st.query != nil, st.turn, len(st.pieces), st.end, st.lost}
		st.mu.Unlock()
		if h.Mine {
			h.Router = s.ctx.Name
		}
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Query < out[j].Query })
	return out
}

// pick chooses an understudy in another hall; without one the stream goes on unguarded.
func (s *Streams) pick(st *Stream) bool {
	nodes := s.hub.Nodes()
	at := 0
	for _, c := range st.Id {
		at = at*31 + int(c)
	}
	for i := range nodes {
		n := nodes[((at+i+st.failed)%len(nodes)+len(nodes))%len(nodes)]
		if n.Hall != s.ctx.Hall && n.Ready && n.Name != st.name {
			st.study, st.name = n.Addr, n.Name
			return true
		}
	}
	return false
}

func (s *Streams) hand(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "stream.copy":
		return wire.On(body, s.takeCopy)
	case "stream.read":
		return wire.On(body, func(in *StreamAsk) (*StreamTold, error) { return s.read(ctx, in), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

func (s *Streams) takeCopy(in *StreamCopy) (*core.Done, error) {
	n := 0
	for _, p := range in.Pieces {
		n += len(p)
	}
	if in.Query != nil {
		n += len(in.Query.Body)
	}
	s.mu.Lock()
	st := s.all[in.Id]
	if st == nil {
		if in.From > 0 {
			s.mu.Unlock()
			return nil, wire.Fault{Code: "gap"}
		}
		st = &Stream{Id: in.Id, Tenant: in.Tenant, owner: in.Owner, addr: in.Addr, more: make(chan struct{}), at: time.Now()}
		s.all[in.Id] = st
	}
	s.mu.Unlock()
	if !s.room(n) {
		return nil, wire.Fault{Code: "full"}
	}
	var err error
	st.note(func() {
		have := len(st.pieces)
		switch {
		case st.owner == "" || in.Turn < st.turn:
			err = wire.Fault{Code: "given-up"} // we carry it on, or somebody after its sender does
		case st.lost != "":
			err = wire.Fault{Code: "given-up"} // told an origin so already
		case in.From > have:
			err = wire.Fault{Code: "gap"}
		default:
			for i, p := range in.Pieces {
				if in.From+i >= have {
					st.pieces = append(st.pieces, p)
					st.size += len(p)
					n -= len(p)
				}
			}
			if in.Query != nil && st.query == nil {
				st.query = in.Query
				st.size += len(in.Query.Body)
				n -= len(in.Query.Body)
			}
			st.shown, st.turn, st.owner, st.addr = len(st.pieces), in.Turn, in.Owner, in.Addr
			st.end, st.lost = st.end || in.End, in.Lost
		}
	})
	s.mu.Lock()
	s.size -= n // reserved, and not needed after all
	s.mu.Unlock()
	return &core.Done{}, err
}

func (s *Streams) read(ctx context.Context, in *StreamAsk) *StreamTold {
	s.mu.Lock()
	st := s.all[in.Id]
	s.mu.Unlock()
	if st == nil || st.Tenant != in.Tenant {
		return &StreamTold{}
	}
	wait := time.NewTimer(time.Duration(in.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		st.mu.Lock()
		out := &StreamTold{Have: !st.over, End: st.end, Lost: st.lost}
		if in.After < st.shown {
			out.Pieces = append(out.Pieces, st.pieces[max(0, in.After):st.shown]...)
		}
		more := st.more
		st.mu.Unlock()
		if len(out.Pieces) > 0 || out.End || out.Lost != "" || in.WaitMs <= 0 {
			return out
		}
		select {
		case <-more:
		case <-wait.C:
			return out
		case <-ctx.Done():
			return out
		}
	}
}

// ErrNoStream means that no router within reach holds the stream for this tenant.
var ErrNoStream = eris.New("node: no such stream")

// Resume gives the pieces after a number, waiting for new ones, wherever the stream is held. The
// router that carries it is asked as well as its understudy; who has more is believed.
//
//	told, err := ss.Resume(ctx, id, tenant, 12)
func (s *Streams) Resume(ctx context.Context, id, tenant string, after int) (*StreamTold, error) {
	in := &StreamAsk{Id: id, Tenant: tenant, After: after, WaitMs: 700}
	s.mu.Lock()
	st := s.all[id]
	s.mu.Unlock()
	if st != nil && st.mine() {
		if out := s.read(ctx, in); out.Have {
			return out, nil
		}
		return nil, ErrNoStream
	}
	short, end := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer end()
	nodes := s.hub.Nodes()
	ch := make(chan *StreamTold, len(nodes)+1)
	ask := 0
	for _, n := range nodes {
		if n.Name == s.ctx.Name {
			continue
		}
		ask++
		go func() {
			var out StreamTold
			if s.hub.Call(short, n.Addr, "stream.read", in, &out) != nil {
				out = StreamTold{}
			}
			ch <- &out
		}()
	}
	if st != nil {
		ask++
		go func() { ch <- s.read(short, in) }()
	}
	var best *StreamTold
	for range ask {
		out := <-ch
		switch {
		case !out.Have:
		case len(out.Pieces) > 0 || out.End:
			return out, nil
		case best == nil || out.Lost == "":
			best = out
		}
	}
	if best == nil {
		return nil, ErrNoStream
	}
	return best, nil
}

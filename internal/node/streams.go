package node

import (
	"context"
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
)

// LostRouter is the trouble of a stream whose router is gone.
const LostRouter = "router-lost"

// Stream is the numbered pieces of one answer, on its router or on the understudy.
type Stream struct {
	Id, Tenant  string
	owner, addr string // empty on the stream's own router
	mu          sync.Mutex
	pieces      [][]byte
	size        int
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
		} else if st.owner != "" {
			s.mourn(st)
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

// mourn finds out whether a silent owner is gone, and if so ends its stream in trouble. The roll
// alone does not decide it: while the core is away the roll says nothing.
func (s *Streams) mourn(st *Stream) {
	st.mu.Lock()
	quiet := !st.end && st.lost == "" && time.Since(st.at) > ownerQuiet
	st.mu.Unlock()
	if !quiet {
		return
	}
	ctx, end := context.WithTimeout(s.ctx, copyWait)
	defer end()
	var out StreamTold
	err := s.hub.Call(ctx, st.addr, "stream.read", &StreamAsk{Id: st.Id, Tenant: st.Tenant, After: 1 << 30}, &out)
	if err == nil && out.Have {
		return
	}
	st.note(func() { st.lost = LostRouter })
	s.ctx.Log.Warn("Stream lost with its router.", "query", st.Id, "peer", st.addr)
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

// Open begins a stream on its own router.
//
//	st := ss.Open(query.Id, tenant)
func (s *Streams) Open(id, tenant string) *Stream {
	st := &Stream{Id: id, Tenant: tenant, more: make(chan struct{}), at: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[id] = st
	return st
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

// Add numbers pieces and hands them to the understudy. Once it returns they may be shown to the
// origin. A stream that outgrows its bounds goes on, but is no longer held.
//
//	ss.Add(ctx, st, [][]byte{event})
func (s *Streams) Add(ctx context.Context, st *Stream, pieces [][]byte) {
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
			st.note(func() { st.over = true })
			s.drop(st)
		}
		return
	}
	st.note(func() {
		st.pieces = append(st.pieces, pieces...)
		st.size += n
	})
	s.copy(ctx, st, StreamCopy{From: from, Pieces: pieces})
}

// Close ends a stream: in full where lost is "", else in trouble.
//
//	ss.Close(ctx, st, "")
func (s *Streams) Close(ctx context.Context, st *Stream, lost string) {
	st.mu.Lock()
	from := len(st.pieces)
	st.mu.Unlock()
	s.copy(ctx, st, StreamCopy{From: from, End: lost == "", Lost: lost})
	st.note(func() { st.end, st.lost = lost == "", lost })
}

// copy hands a change to the understudy; a new one gets the whole stream.
func (s *Streams) copy(ctx context.Context, st *Stream, in StreamCopy) {
	if st.over {
		return
	}
	in.Id, in.Tenant, in.Owner, in.Addr = st.Id, st.Tenant, s.ctx.Name, s.hub.addr
	for st.failed < copyTries {
		fresh := st.study == ""
		if fresh && !s.pick(st) {
			return
		}
		out := in
		if fresh {
			st.mu.Lock()
			out.From, out.Pieces = 0, st.pieces
			st.mu.Unlock()
		}
		short, end := context.WithTimeout(context.WithoutCancel(ctx), copyWait)
		err := s.hub.Call(short, st.study, "stream.copy", &out, nil)
		end()
		if err == nil {
			return
		}
		s.ctx.Log.Warn("Understudy did not take a piece.", "query", st.Id, "peer", st.study, "trouble", err.Error())
		st.study = ""
		st.failed++
	}
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
		if in.After < len(st.pieces) {
			out.Pieces = append(out.Pieces, st.pieces[max(0, in.After):]...)
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
	if st != nil && st.owner == "" {
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

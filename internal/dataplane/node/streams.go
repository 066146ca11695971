package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

// Bounds of what is held of streams.
const (
	MaxStreamBytes   = 8 << 20          // bytes of one stream; beyond it is no longer copied nor resumed
	MaxAllBytes      = 128 << 20        // bytes of all streams on one router, own and others'
	KeepEnded        = 60 * time.Second // an ended stream can be resumed for so long
	ownerSilentAfter = 3 * time.Second  // a standby asks after an owner silent for so long
	copyTimeout      = 400 * time.Millisecond
	maxCopyTries     = 3 // standbys tried before a stream goes on without one
	claimTimeout     = 3 * time.Second
)

// LostRouter is the code of a stream whose router is gone.
const LostRouter = "router-lost"

// Stream is the numbered pieces of one response, on its router or on the standby.
type Stream struct {
	ID, Tenant           string
	ownerName, ownerAddr string // empty on the stream's own router
	mu                   sync.Mutex
	pieces               [][]byte
	readable             int // of them, may be read: held by the standby too, where we are not it
	size                 int
	request              *StreamRequest // on repeatable lanes: what a second run takes
	turn                 int
	askingOwner          bool // it is being found out whether the owner is gone
	ended                bool
	lost                 string
	tooLarge             bool // too large to be held
	changedAt            time.Time
	changed              chan struct{}

	// Only the carrying task touches these.
	standbyAddr    string // the standby's address
	standbyName    string
	failedStandbys int
}

// Streams are all streams held on this router.
type Streams struct {
	ctx  daemon.Context
	hub  *Hub
	mu   sync.Mutex
	byID map[string]*Stream
	size int

	// Successor carries on a stream whose router is gone. Without one, such a stream ends with an error.
	Successor func(stream *Stream, request *StreamRequest)
}

// NewStreams makes the store and answers other routers' calls about streams.
func NewStreams(ctx daemon.Context, hub *Hub) *Streams {
	s := &Streams{ctx: ctx, hub: hub, byID: map[string]*Stream{}}
	hub.Handle("stream", s.handle)
	return s
}

// Run drops what has had its time, until the context ends.
func (s *Streams) Run() {
	runloop.Run(s.ctx, nil, time.Second, func(struct{}) {}, s.sweep)
}

// sweep drops streams that have had their time, and asks after silent owners of the others.
func (s *Streams) sweep() {
	s.mu.Lock()
	all := make([]*Stream, 0, len(s.byID))
	for _, stream := range s.byID {
		all = append(all, stream)
	}
	s.mu.Unlock()
	for _, stream := range all {
		stream.mu.Lock()
		old := time.Since(stream.changedAt) > KeepEnded && (stream.ended || stream.lost != "" || stream.ownerName != "")
		stream.mu.Unlock()
		if old {
			s.forget(stream)
		} else {
			go s.checkOwner(stream)
		}
	}
}

// forget forgets a stream.
func (s *Streams) forget(stream *Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[stream.ID] == stream {
		delete(s.byID, stream.ID)
		stream.mu.Lock()
		s.size -= stream.size
		stream.mu.Unlock()
	}
}

// isOwn reports whether this router carries the stream.
func (stream *Stream) isOwn() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.ownerName == ""
}

// change changes a stream and wakes who waits for it.
func (stream *Stream) change(do func()) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	do()
	stream.changedAt = time.Now()
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// ErrCarriedElsewhere means that another router carries the stream on, or may do so: nothing more of ours may be
// shown.
var ErrCarriedElsewhere = eris.New("node: another router carries the stream on")

// Open begins a stream on its own router. request is what a second run takes; nil where there must be none.
func (s *Streams) Open(id, tenant string, request *StreamRequest) *Stream {
	stream := &Stream{ID: id, Tenant: tenant, request: request, changed: make(chan struct{}), changedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = stream
	return stream
}

// HeldPieces tells how many pieces a second run has to repeat, and whether it may be made at all.
func (stream *Stream) HeldPieces() (n int, ok bool) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return len(stream.pieces), stream.request != nil && !stream.tooLarge
}

// Matches reports whether piece i is, byte for byte, what is held.
func (stream *Stream) Matches(i int, piece []byte) bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return i < len(stream.pieces) && bytes.Equal(stream.pieces[i], piece)
}

// reserveBytes makes room for n more bytes by dropping ended streams, oldest first.
func (s *Streams) reserveBytes(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+n > MaxAllBytes {
		var oldest *Stream
		for _, stream := range s.byID {
			stream.mu.Lock()
			if (stream.ended || stream.lost != "") && (oldest == nil || stream.changedAt.Before(oldest.changedAt)) {
				oldest = stream
			}
			stream.mu.Unlock()
		}
		if oldest == nil {
			return false
		}
		delete(s.byID, oldest.ID)
		s.size -= oldest.size
	}
	s.size += n
	return true
}

// Append hands numbered pieces to the standby. Once it returns nil they may be shown to the client. A
// stream that outgrows its bounds goes on, but is no longer held.
func (s *Streams) Append(ctx context.Context, stream *Stream, pieces [][]byte) error {
	n := 0
	for _, piece := range pieces {
		n += len(piece)
	}
	stream.mu.Lock()
	over := stream.tooLarge || stream.size+n > MaxStreamBytes
	from := len(stream.pieces)
	stream.mu.Unlock()
	if over || !s.reserveBytes(n) {
		if !stream.tooLarge {
			s.ctx.Log.Warn("Stream outgrew its bounds. It can't be resumed.", "query", stream.ID)
			// The standby must not go on from what it holds: the client sees more from now on.
			if err := s.revokeStandby(ctx, stream); err != nil {
				return err
			}
			stream.change(func() { stream.tooLarge = true })
			s.forget(stream)
		}
		return nil
	}
	stream.mu.Lock()
	stream.pieces = append(stream.pieces, pieces...)
	stream.size += n
	stream.mu.Unlock()
	if err := s.copyToStandby(ctx, stream, StreamCopy{From: from, Pieces: pieces}); err != nil {
		return err
	}
	stream.change(func() { stream.readable = len(stream.pieces) })
	return nil
}

// Close ends a stream: in full where lost is "", else with an error.
func (s *Streams) Close(ctx context.Context, stream *Stream, lost string) error {
	n, _ := stream.HeldPieces()
	if err := s.copyToStandby(ctx, stream, StreamCopy{From: n, End: lost == "", Lost: lost}); err != nil {
		return err
	}
	stream.change(func() { stream.ended, stream.lost = lost == "", lost })
	return nil
}

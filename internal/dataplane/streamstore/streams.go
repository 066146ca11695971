package streamstore

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

// Bounds of what is held of streams.
const (
	MaxStreamBytes     = 8 << 20          // bytes of one stream; beyond it is no longer copied nor resumed
	MaxTotalBytes      = 128 << 20        // bytes of all streams on one router, own and others'
	EndedTTL           = 60 * time.Second // an ended stream can be resumed for so long
	ownerTimeout       = 3 * time.Second  // a standby asks after an owner silent for so long
	replicateTimeout   = 400 * time.Millisecond
	maxStandbyAttempts = 3 // standbys tried before a stream goes on without one
	claimTimeout       = 3 * time.Second
)

// LostRouter is the code of a stream whose router is gone.
const CodeRouterLost = "router-lost"

// Stream is the numbered pieces of one response, on its router or on the standby.
type Stream struct {
	ID, Tenant           string
	ownerName, ownerAddr string // empty on the stream's own router
	mu                   sync.Mutex
	chunks               [][]byte
	readable             int // of them, may be read: held by the standby too, where we are not it
	size                 int
	request              *SavedRequest // on repeatable lanes: what a second run takes
	term                 int
	checkingOwner        bool // it is being found out whether the owner is gone
	ended                bool
	failure              string
	tooLarge             bool // too large to be held
	changedAt            time.Time
	changed              chan struct{}

	// Only the carrying task touches these.
	standbyAddr    string // the standby's address
	standbyName    string
	failedStandbys int
}

// Streams are all streams held on this router.
type Store struct {
	ctx     daemon.Context
	cluster *cluster.Member
	mu      sync.Mutex
	byID    map[string]*Stream
	size    int

	// Successor carries on a stream whose router is gone. Without one, such a stream ends with an error.
	OnTakeover func(stream *Stream, request *SavedRequest)
}

// NewStreams makes the store and answers other routers' calls about streams.
func New(ctx daemon.Context, member *cluster.Member) *Store {
	s := &Store{ctx: ctx, cluster: member, byID: map[string]*Stream{}}
	member.RegisterHandler("stream", s.handle)
	return s
}

// Run drops what has had its time, until the context ends.
func (s *Store) Run() {
	runloop.Run(s.ctx, nil, time.Second, func(struct{}) {}, s.sweep)
}

// sweep drops streams that have had their time, and asks after silent owners of the others.
func (s *Store) sweep() {
	s.mu.Lock()
	all := make([]*Stream, 0, len(s.byID))
	for _, stream := range s.byID {
		all = append(all, stream)
	}
	s.mu.Unlock()
	for _, stream := range all {
		stream.mu.Lock()
		old := time.Since(stream.changedAt) > EndedTTL && (stream.ended || stream.failure != "" || stream.ownerName != "")
		stream.mu.Unlock()
		if old {
			s.drop(stream)
		} else {
			go s.checkOwner(stream)
		}
	}
}

// forget forgets a stream.
func (s *Store) drop(stream *Stream) {
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
func (stream *Stream) update(do func()) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	do()
	stream.changedAt = time.Now()
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// ErrCarriedElsewhere means that another router carries the stream on, or may do so: nothing more of ours may be
// shown.
var ErrServedElsewhere = eris.New("node: another router carries the stream on")

// Open begins a stream on its own router. request is what a second run takes; nil where there must be none.
func (s *Store) Open(id, tenant string, request *SavedRequest) *Stream {
	stream := &Stream{ID: id, Tenant: tenant, request: request, changed: make(chan struct{}), changedAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = stream
	return stream
}

// HeldPieces tells how many pieces a second run has to repeat, and whether it may be made at all.
func (stream *Stream) Replayable() (n int, ok bool) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return len(stream.chunks), stream.request != nil && !stream.tooLarge
}

// Matches reports whether piece i is, byte for byte, what is held.
func (stream *Stream) Matches(i int, piece []byte) bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return i < len(stream.chunks) && bytes.Equal(stream.chunks[i], piece)
}

// reserveBytes makes room for n more bytes by dropping ended streams, oldest first.
func (s *Store) reserveBytes(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+n > MaxTotalBytes {
		var oldest *Stream
		for _, stream := range s.byID {
			stream.mu.Lock()
			if (stream.ended || stream.failure != "") && (oldest == nil || stream.changedAt.Before(oldest.changedAt)) {
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
func (s *Store) Append(ctx context.Context, stream *Stream, pieces [][]byte) error {
	n := 0
	for _, piece := range pieces {
		n += len(piece)
	}
	stream.mu.Lock()
	over := stream.tooLarge || stream.size+n > MaxStreamBytes
	from := len(stream.chunks)
	stream.mu.Unlock()
	if over || !s.reserveBytes(n) {
		if !stream.tooLarge {
			s.ctx.Log.Warn("Stream outgrew its bounds. It can't be resumed.", "query", stream.ID)
			// The standby must not go on from what it holds: the client sees more from now on.
			if err := s.revokeStandby(ctx, stream); err != nil {
				return err
			}
			stream.update(func() { stream.tooLarge = true })
			s.drop(stream)
		}
		return nil
	}
	stream.mu.Lock()
	stream.chunks = append(stream.chunks, pieces...)
	stream.size += n
	stream.mu.Unlock()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: from, Chunks: pieces}); err != nil {
		return err
	}
	stream.update(func() { stream.readable = len(stream.chunks) })
	return nil
}

// Close ends a stream: in full where lost is "", else with an error.
func (s *Store) Close(ctx context.Context, stream *Stream, lost string) error {
	n, _ := stream.Replayable()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: n, Complete: lost == "", Failure: lost}); err != nil {
		return err
	}
	stream.update(func() { stream.ended, stream.failure = lost == "", lost })
	return nil
}

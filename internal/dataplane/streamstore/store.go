// Package streamstore keeps response streams as numbered chunks on the router that serves them, its owner, and on a standby
// router in another zone, so that a client can resume its stream through any router. Where the request is idempotent, the
// standby takes the stream over once its owner is gone.
//
// Who may continue a stream is decided at the core: each standby has a term, which either the standby claims to take the
// stream over, or the owner to replace the standby, and only one of them is granted it.
package streamstore

import (
	"sync"
	"time"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

const (
	// MaxStreamBytes is the size of a stream beyond which it is neither replicated nor resumed.
	MaxStreamBytes = 8 << 20
	// MaxTotalBytes is the size of all streams on one router, its own and replicas.
	MaxTotalBytes = 128 << 20
	// EndedTTL is how long a stream can be resumed after its last change.
	EndedTTL = 60 * time.Second

	sweepInterval = time.Second
)

// Store keeps all streams of one router. Its methods may be called concurrently, but for one stream's Append, Close and
// AssignStandby, which only the goroutine that serves the stream calls.
type Store struct {
	// OnTakeover continues a stream whose owner is gone, in a goroutine of its own. It is set before Run; if it is nil,
	// such a stream ends with CodeRouterLost.
	OnTakeover func(stream *Stream, request *SavedRequest)

	ctx     daemon.Context
	cluster *cluster.Member

	mu   sync.Mutex // guards the fields below; a stream's lock may be taken under it, never the other way round
	byID map[string]*Stream
	size int // bytes reserved, of all streams
}

// New makes an empty store and registers it for other routers' calls about streams.
func New(ctx daemon.Context, member *cluster.Member) *Store {
	s := &Store{ctx: ctx, cluster: member, byID: map[string]*Stream{}}
	member.RegisterHandler("stream", s.handle)
	return s
}

// Run drops expired streams and takes over those whose owner is gone, until the context ends.
func (s *Store) Run() {
	runloop.Run(s.ctx, nil, sweepInterval, func(struct{}) {}, s.sweep)
}

// sweep drops expired streams and checks the owners of the others.
func (s *Store) sweep() {
	s.mu.Lock()
	streams := make([]*Stream, 0, len(s.byID))
	for _, stream := range s.byID {
		streams = append(streams, stream)
	}
	s.mu.Unlock()
	for _, stream := range streams {
		if stream.isExpired() {
			s.drop(stream)
		} else {
			go s.checkOwner(stream)
		}
	}
}

// find returns the stream with an ID; nil: it is not here.
func (s *Store) find(id string) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// drop removes a stream and frees its bytes.
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

// reserveBytes reserves memory, and drops ended streams for it, the one that changed longest ago first. It reports whether
// there was enough.
func (s *Store) reserveBytes(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.size+n > MaxTotalBytes {
		var oldest *Stream
		for _, stream := range s.byID {
			stream.mu.Lock()
			if (stream.complete || stream.failure != "") && (oldest == nil || stream.changedAt.Before(oldest.changedAt)) {
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

// totalBytes sums the chunks' sizes.
func totalBytes(chunks [][]byte) int {
	n := 0
	for _, chunk := range chunks {
		n += len(chunk)
	}
	return n
}

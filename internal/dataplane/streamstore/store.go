// Package streamstore stores response streams as numbered chunks, on the router that serves the stream (its owner) and on a
// standby router in another zone, so that a client can resume its stream through any router. If the request is idempotent, the
// standby takes the stream over once its owner is gone.
//
// The core decides which router may continue a stream. Each standby has a term. The standby claims the term to take the stream
// over, the owner claims it to replace the standby, and the core grants it to only one of them.
package streamstore

import (
	"sync"
	"time"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

const (
	// MaxStreamBytes limits the size of a stream. A larger one is neither replicated nor can it be resumed.
	MaxStreamBytes = 8 << 20
	// MaxTotalBytes limits the size of all streams on one router, owned ones and replicas.
	MaxTotalBytes = 128 << 20
	// EndedTTL is how long an ended stream, or a replica without changes, can be resumed after its last change.
	EndedTTL = 60 * time.Second

	sweepInterval = time.Second
)

// Store holds all streams of one router. Its methods may be called concurrently, except that Append, Close and AssignStandby
// must be called for a stream only by the goroutine that serves it.
type Store struct {
	// OnTakeover continues a stream that was taken over. It is called in a goroutine of its own and must be set before Run. If
	// it is nil, a stream whose owner is gone ends with CodeRouterLost.
	OnTakeover func(stream *Stream, request *SavedRequest)

	ctx     daemon.Context
	cluster *cluster.Member

	mu   sync.Mutex // guards the fields below; lock order: mu before a stream's mu
	byID map[string]*Stream
	size int // bytes reserved for all streams
}

// New returns an empty store and registers it as the handler of other routers' calls about streams.
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

// find returns the stream with an ID, or nil if it is not in the store.
func (s *Store) find(id string) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// drop removes a stream and releases its bytes.
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

// reserveBytes reserves n bytes. If necessary it drops ended streams, the least recently changed first. It reports whether
// there was enough memory.
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

// totalBytes returns the total size of chunks.
func totalBytes(chunks [][]byte) int {
	n := 0
	for _, chunk := range chunks {
		n += len(chunk)
	}
	return n
}

package streamstore

import (
	"bytes"
	"sync"
	"time"
)

// Stream holds the chunks of one response, on its owner or as a replica on its standby.
type Stream struct {
	// ID is the ID of the request, and Tenant the only tenant that may read the stream. They do not change.
	ID, Tenant string

	// mu guards the fields below. The goroutine that serves the stream is the only one that writes tooLarge and may read it
	// without mu.
	mu                   sync.Mutex
	ownerName, ownerAddr string        // "" on the owner itself
	request              *SavedRequest // nil: a rerun is not allowed
	term                 int           // of the standby, counted over all owners of the stream
	chunks               [][]byte
	readable             int // number of chunks that may be sent to a client; on the owner, those that are replicated
	size                 int // bytes of chunks and, on a replica, of request.Body
	complete             bool
	failure              string // error code with which the stream ended; "": none
	tooLarge             bool   // neither replicated nor resumable any more
	checkingOwner        bool   // checkOwner is running
	changedAt            time.Time
	changed              chan struct{} // closed by the next change

	// Only the goroutine that serves the stream uses the fields below.
	standbyAddr    string // "": there is no standby
	standbyName    string // name of the standby chosen last
	failedStandbys int    // failed attempts, up to maxStandbyAttempts
}

func newStream(id, tenant string) *Stream {
	return &Stream{ID: id, Tenant: tenant, changed: make(chan struct{}), changedAt: time.Now()}
}

// isOwn reports whether this router owns the stream.
func (stream *Stream) isOwn() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.ownerName == ""
}

// isExpired reports whether the stream can be dropped: it ended more than EndedTTL ago, or is a replica without a change for
// that long.
func (stream *Stream) isExpired() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return time.Since(stream.changedAt) > EndedTTL && (stream.complete || stream.failure != "" || stream.ownerName != "")
}

// update calls change under the stream's lock and wakes the stream's readers.
func (stream *Stream) update(change func()) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	change()
	stream.changedAt = time.Now()
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// Replayable returns how many chunks a rerun has to repeat, and whether a rerun is allowed.
func (stream *Stream) Replayable() (chunks int, ok bool) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return len(stream.chunks), stream.request != nil && !stream.tooLarge
}

// Matches reports whether the stored chunk with a number, counted from 0, equals chunk.
func (stream *Stream) Matches(number int, chunk []byte) bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return number < len(stream.chunks) && bytes.Equal(stream.chunks[number], chunk)
}

package streamstore

import (
	"bytes"
	"sync"
	"time"
)

// Stream is one response's chunks, on its owner or on its standby.
type Stream struct {
	// ID is the request's ID, and Tenant the only one who may read the stream. They do not change.
	ID, Tenant string

	// mu guards the fields below. The owner's goroutine, which alone changes tooLarge, reads that without it.
	mu                   sync.Mutex
	ownerName, ownerAddr string        // "" on the owner itself
	request              *SavedRequest // nil: a further run is not allowed
	term                 int           // of the standby
	chunks               [][]byte
	readable             int // chunks that may be shown to a client: on the owner, those that the standby has too
	size                 int // bytes
	complete             bool
	failure              string // error code; "": none
	tooLarge             bool   // no longer replicated nor resumed
	checkingOwner        bool   // a check whether the owner is gone is under way
	changedAt            time.Time
	changed              chan struct{} // closed by the next change

	// Only the goroutine that serves the stream touches these.
	standbyAddr    string // "": none chosen
	standbyName    string // the last one chosen
	failedStandbys int
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

// isExpired reports whether the stream can be dropped: it ended long ago, or is a replica that nobody changes any more.
func (stream *Stream) isExpired() bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return time.Since(stream.changedAt) > EndedTTL && (stream.complete || stream.failure != "" || stream.ownerName != "")
}

// update changes a stream under its lock and wakes its readers.
func (stream *Stream) update(do func()) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	do()
	stream.changedAt = time.Now()
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// Replayable returns how many chunks a further run has to repeat, and whether such a run is allowed at all.
func (stream *Stream) Replayable() (chunks int, ok bool) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return len(stream.chunks), stream.request != nil && !stream.tooLarge
}

// Matches reports whether the stored chunk with a number, from 0, has just these bytes.
func (stream *Stream) Matches(number int, chunk []byte) bool {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return number < len(stream.chunks) && bytes.Equal(stream.chunks[number], chunk)
}

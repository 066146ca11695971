// Package store keeps a key-value state in memory and its write-ahead log on disk: one file for each batch of mutations
// that are synced together, numbered by version. Compaction replaces many files by one, and a snapshot replaces all
// before it. The state after a start is that of the newest snapshot and the batches that follow on it.
package store

import (
	"errors"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/runloop"
)

// ErrGap means that a batch does not follow on the newest version.
var ErrGap = errors.New("store: batch does not follow")

// errClosed ends a write to a closed store.
var errClosed = errors.New("store: closed")

// Store is the state on one disk. All methods may be called concurrently; reads never wait for the disk.
type Store struct {
	disk Disk

	writing runloop.Mutex // held over each write to disk; guards closed
	closed  bool

	mu                 sync.RWMutex // guards the fields below; never held over a write to disk
	version            uint64       // the newest one
	values             map[string][]byte
	compactedUpTo      uint64     // the newest version that is in a compacted batch or a snapshot
	uncompacted        []Mutation // of the versions after that
	compactions        int        // compacted batches since the last snapshot
	bytesSinceSnapshot int        // bytes of the mutations since the last snapshot
	snapshotBytes      int        // bytes of the last snapshot
}

// Version is the newest version.
func (s *Store) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Get reads a key. The value must not be changed.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok = s.values[key]
	return value, ok
}

// ForEachWithPrefix visits all keys with a prefix, in no order. visit must not call the store, nor change the value.
func (s *Store) ForEachWithPrefix(prefix string, visit func(key string, value []byte)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			visit(key, value)
		}
	}
}

// Append writes and syncs one batch, and then applies it. A batch must follow on the newest version (else ErrGap), or be a
// snapshot, which replaces all. After any other error it is unknown what is on disk: the caller must stop leading.
func (s *Store) Append(batch Batch) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.closed {
		return errClosed
	}
	if batch.IsSnapshot {
		return s.appendSnapshot(batch)
	}
	if current := s.Version(); batch.Version != current+1 {
		return eris.Wrapf(ErrGap, "have %d, got %d", current, batch.Version)
	}
	if err := writeBatch(s.disk, fileName(batch.Version), batch); err != nil {
		return err
	}
	s.apply(batch)
	return nil
}

// Close waits for a write that is under way and rejects all later ones.
func (s *Store) Close() {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.closed = true
}

// apply applies a batch that is on disk to the state in memory.
func (s *Store) apply(batch Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.IsSnapshot {
		s.values = map[string][]byte{}
		s.bytesSinceSnapshot, s.compactions = 0, 0
	}
	if batch.FirstVersion > 0 {
		s.compactions++
	}
	if batch.IsSnapshot || batch.FirstVersion > 0 {
		s.compactedUpTo, s.uncompacted = batch.Version, nil
	} else {
		s.uncompacted = append(s.uncompacted, batch.Mutations...)
	}
	for _, mutation := range batch.Mutations {
		s.bytesSinceSnapshot += len(mutation.Key) + len(mutation.Value)
		if mutation.Deleted {
			delete(s.values, mutation.Key)
		} else {
			s.values[mutation.Key] = mutation.Value
		}
	}
	if batch.IsSnapshot {
		s.snapshotBytes, s.bytesSinceSnapshot = s.bytesSinceSnapshot, 0
	}
	s.version = batch.Version
}

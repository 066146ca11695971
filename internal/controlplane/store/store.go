// Package store keeps a key-value state in memory and its write-ahead log on disk. The log has one file, numbered by
// version, for each batch of mutations that are synced together. Compaction merges many files into one; a snapshot replaces
// all older files. Recovery applies the newest snapshot and the batches after it.
package store

import (
	"errors"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/runloop"
)

// ErrGap means that the version of a batch is not the one after the newest version.
var ErrGap = errors.New("store: batch does not follow the newest version")

// errClosed is returned by writes to a closed store.
var errClosed = errors.New("store: closed")

// Store is the state on one disk. All methods may be called concurrently; reads never wait for the disk.
type Store struct {
	disk Disk

	writeMu runloop.Mutex // held during each write to disk; guards closed
	closed  bool

	mu                 sync.RWMutex // guards the fields below; never held during a write to disk
	version            uint64       // the newest version
	values             map[string][]byte
	compactedUpTo      uint64     // the newest version in a compacted batch or a snapshot
	uncompacted        []Mutation // of the versions after compactedUpTo
	compactedBatches   int        // since the last snapshot
	bytesSinceSnapshot int        // keys and values of the mutations since the last snapshot
	snapshotBytes      int        // keys and values of the last snapshot
}

// Version returns the newest version.
func (s *Store) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Get returns the value of a key. The caller must not modify it.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok = s.values[key]
	return value, ok
}

// ForEachWithPrefix calls visit for all keys with a prefix, in no particular order. visit must not call the store or modify
// the value.
func (s *Store) ForEachWithPrefix(prefix string, visit func(key string, value []byte)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			visit(key, value)
		}
	}
}

// Append writes and syncs a batch, then applies it. The batch must be the version after the newest one, or a snapshot, which
// replaces the whole state; otherwise the error is ErrGap. After any other error the contents of the disk are unknown, and a
// primary must stop leading.
func (s *Store) Append(batch Batch) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.closed {
		return errClosed
	}
	if batch.IsSnapshot {
		return s.appendSnapshot(batch)
	}
	if current := s.Version(); batch.Version != current+1 {
		return eris.Wrapf(ErrGap, "newest version is %d, batch has version %d", current, batch.Version)
	}
	if err := writeBatch(s.disk, fileName(batch.Version), batch); err != nil {
		return err
	}
	s.apply(batch)
	return nil
}

// Close waits for a write in progress and makes all later ones fail.
func (s *Store) Close() {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.closed = true
}

// apply applies a batch that is already on disk to the state in memory.
func (s *Store) apply(batch Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.IsSnapshot {
		s.values = map[string][]byte{}
		s.bytesSinceSnapshot, s.compactedBatches = 0, 0
	}
	if batch.FirstVersion > 0 {
		s.compactedBatches++
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

package store

// When the store compacts by itself.
const (
	minSnapshotBytes     = 8 << 20 // mutations since the last snapshot that are worth a new one, in bytes
	minCompactedVersions = 64      // the fewest versions that are compacted into one
)

// CompactIfNeeded keeps the number of files low, since each costs time when a process starts. Versions are compacted into
// one file, the more versions the more compacted files there are; and once more was written since the last snapshot than
// that holds, a new one is written. So the bytes written stay within a few times those put, however much the state
// holds, and the number of files grows as the root of the number of versions. It may take a while: call it after
// responding. An error is one of the disk, as with Append.
func (s *Store) CompactIfNeeded() error {
	s.mu.RLock()
	snapshotDue := s.bytesSinceSnapshot > max(minSnapshotBytes, s.snapshotBytes)
	compactionDue := s.version-s.compactedUpTo >= uint64(minCompactedVersions+s.compactions)
	s.mu.RUnlock()
	switch {
	case snapshotDue:
		return s.WriteSnapshot()
	case compactionDue:
		return s.Compact()
	}
	return nil
}

// Compact writes the versions since the last compaction or snapshot as one, in place of the newest of them.
func (s *Store) Compact() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.RLock()
	batch := Batch{Version: s.version, FirstVersion: s.compactedUpTo + 1, Mutations: s.uncompacted}
	s.mu.RUnlock()
	if s.closed || batch.FirstVersion >= batch.Version {
		return nil
	}
	if err := writeBatch(s.disk, fileName(batch.Version), batch); err != nil {
		return err
	}
	s.mu.Lock()
	s.compactedUpTo, s.uncompacted = batch.Version, nil
	s.compactions++
	s.mu.Unlock()
	return removeBatches(s.disk, func(name string) bool {
		return name >= fileName(batch.FirstVersion) && name < fileName(batch.Version)
	})
}

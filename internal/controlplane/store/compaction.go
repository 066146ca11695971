package store

// Thresholds of CompactIfNeeded.
const (
	minSnapshotBytes     = 8 << 20 // bytes of mutations since the last snapshot before a new one is written
	minCompactedVersions = 64      // fewest versions that are merged into a compacted batch
)

// CompactIfNeeded limits the number of files, because recovery takes time for each of them. It merges versions into a
// compacted batch once there are enough of them; this threshold rises by one with each compacted batch. It writes a snapshot
// once the mutations since the last one are larger than that snapshot. The bytes written thus stay within a small multiple of
// the bytes of the mutations, whatever the size of the state, and the number of files grows with the square root of the
// number of versions. It may take long, so call it after responding. Errors mean the same as those of Append.
func (s *Store) CompactIfNeeded() error {
	s.mu.RLock()
	snapshotDue := s.bytesSinceSnapshot > max(minSnapshotBytes, s.snapshotBytes)
	compactionDue := s.version-s.compactedUpTo >= uint64(minCompactedVersions+s.compactedBatches)
	s.mu.RUnlock()
	switch {
	case snapshotDue:
		return s.WriteSnapshot()
	case compactionDue:
		return s.Compact()
	}
	return nil
}

// Compact merges the versions since the last compaction or snapshot into one batch. Its file replaces that of the newest of
// these versions.
func (s *Store) Compact() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
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
	s.compactedBatches++
	s.mu.Unlock()
	return removeBatches(s.disk, func(name string) bool {
		return name >= fileName(batch.FirstVersion) && name < fileName(batch.Version)
	})
}

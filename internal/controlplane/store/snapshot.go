package store

import (
	"slices"
	"strings"
)

// Snapshot returns the state as a batch that replaces all before it.
func (s *Store) Snapshot() Batch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := Batch{Version: s.version, IsSnapshot: true}
	for key, value := range s.values {
		batch.Mutations = append(batch.Mutations, Mutation{Key: key, Value: value})
	}
	slices.SortFunc(batch.Mutations, func(a, b Mutation) int { return strings.Compare(a.Key, b.Key) })
	return batch
}

// WriteSnapshot writes the state as a snapshot in place of the newest version, and removes the older ones.
func (s *Store) WriteSnapshot() error { return s.Append(s.Snapshot()) }

// appendSnapshot replaces the state by a snapshot. The caller holds s.writing.
//
// The snapshot is complete on disk, beside what it replaces, before any of that is removed: a compacted batch may have
// what was acknowledged together with what never was.
func (s *Store) appendSnapshot(batch Batch) error {
	if err := writeBatch(s.disk, pendingSnapshotPrefix+fileName(batch.Version), batch); err != nil {
		return err
	}
	if err := installSnapshot(s.disk, batch.Version); err != nil {
		return err
	}
	s.apply(batch)
	return removeBatches(s.disk, func(name string) bool { return name < fileName(batch.Version) })
}

// installSnapshot renames a pending snapshot to its final name. Versions above it belong to a history that was never
// acknowledged. Their removal lasts before the snapshot is renamed: beside it they would count as what followed, or as
// a gap.
func installSnapshot(disk Disk, version uint64) error {
	if err := removeBatches(disk, func(name string) bool { return name > fileName(version) }); err != nil {
		return err
	}
	if err := disk.Sync(); err != nil {
		return err
	}
	return disk.Rename(pendingSnapshotPrefix+fileName(version), fileName(version))
}

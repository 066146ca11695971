package store

import (
	"slices"
	"strings"
)

// Snapshot returns the state as a batch that replaces all earlier ones.
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

// WriteSnapshot replaces the newest version on disk by a snapshot of the state, and removes all older versions.
func (s *Store) WriteSnapshot() error { return s.Append(s.Snapshot()) }

// appendSnapshot replaces the state by a snapshot. The caller holds s.writeMu.
//
// The snapshot is written completely, to a pending file, before any batch is removed: a removed compacted batch may contain
// acknowledged mutations as well as those that never were.
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

// installSnapshot renames a pending snapshot to its final name. Newer versions on disk belong to a history that was never
// acknowledged. They are removed, and the removal is synced, before the rename; otherwise recovery might apply them after the
// snapshot, or report a gap.
func installSnapshot(disk Disk, version uint64) error {
	if err := removeBatches(disk, func(name string) bool { return name > fileName(version) }); err != nil {
		return err
	}
	if err := disk.Sync(); err != nil {
		return err
	}
	return disk.Rename(pendingSnapshotPrefix+fileName(version), fileName(version))
}

package store

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lib/runloop"
)

// ErrCorrupt means that a version that had been written completely is damaged or missing.
var ErrCorrupt = errors.New("store: a version is damaged or missing")

// RemoveIncompleteWrites removes and logs the files left by interrupted writes. Call it before Open.
func RemoveIncompleteWrites(disk Disk, log *slog.Logger) error {
	names, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, unfinishedSuffix) {
			log.Warn("Unfinished file removed.", "file", name)
			if err := disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Open recovers the state from disk. The error is ErrCorrupt if a version is damaged or missing; the caller must then treat
// the disk as blank. Any other error comes from the disk itself. Only one store may be open on a disk.
func Open(disk Disk, log *slog.Logger) (*Store, error) {
	s := &Store{writeMu: runloop.NewMutex(), disk: disk, values: map[string][]byte{}}
	names, err := installPendingSnapshots(disk)
	if err != nil {
		return nil, err
	}
	batches, err := readBatches(disk, names, log)
	if err != nil {
		return nil, err
	}
	for _, batch := range dropSuperseded(batches) {
		first := batch.FirstVersion
		if first == 0 {
			first = batch.Version
		}
		if !batch.IsSnapshot && first != s.version+1 {
			return nil, eris.Wrapf(ErrCorrupt, "version %d is missing", s.version+1)
		}
		s.apply(batch)
	}
	return s, nil
}

// installPendingSnapshots completes interrupted installations of snapshots, and then returns the names of the files.
func installPendingSnapshots(disk Disk) ([]string, error) {
	names, err := disk.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		var version uint64
		if _, err := fmt.Sscanf(name, pendingSnapshotPrefix+batchPrefix+"%016x", &version); err == nil && name == pendingSnapshotPrefix+fileName(version) {
			if err := installSnapshot(disk, version); err != nil {
				return nil, err
			}
			names, err = disk.List()
			if err != nil {
				return nil, err
			}
		}
	}
	return names, nil
}

// dropSuperseded returns the batches without those replaced by the newest snapshot or by a compacted batch. Replaced batches
// are still on disk if their removal was interrupted. The batches are sorted by version.
func dropSuperseded(batches []Batch) []Batch {
	newestSnapshot := 0
	for i, batch := range batches {
		if batch.IsSnapshot {
			newestSnapshot = i
		}
	}
	var needed []Batch // in descending order until reversed
	for _, batch := range slices.Backward(batches[newestSnapshot:]) {
		if n := len(needed); n > 0 && needed[n-1].FirstVersion > 0 && batch.Version >= needed[n-1].FirstVersion && !batch.IsSnapshot {
			continue
		}
		needed = append(needed, batch)
	}
	slices.Reverse(needed)
	return needed
}

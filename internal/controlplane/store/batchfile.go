package store

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Prefixes of file names, which are part of the stored format.
const (
	batchPrefix           = "v-"    // of a batch
	pendingSnapshotPrefix = "base-" // of a snapshot that is written but not yet installed
)

// fileName returns the file name of a version. Names sort in the order of their versions.
func fileName(version uint64) string { return fmt.Sprintf(batchPrefix+"%016x", version) }

// writeBatch writes and syncs a batch to the file with a name.
func writeBatch(disk Disk, name string, batch Batch) error {
	raw, err := batch.MarshalMsg(nil)
	if err != nil {
		return eris.Wrapf(err, "store: encode version %d", batch.Version)
	}
	return disk.Write(name, AddChecksum(raw))
}

// readBatches reads those of the named files that are batches, and returns them sorted by version.
func readBatches(disk Disk, names []string, log *slog.Logger) ([]Batch, error) {
	var batches []Batch
	for _, name := range names {
		if !strings.HasPrefix(name, batchPrefix) || strings.HasSuffix(name, unfinishedSuffix) {
			continue
		}
		file, err := disk.Read(name)
		if err != nil {
			return nil, err
		}
		raw, ok := VerifyChecksum(file)
		var batch Batch
		if ok {
			_, err = batch.UnmarshalMsg(raw)
		}
		if !ok || err != nil || fileName(batch.Version) != name {
			log.Error("Version is damaged.", "file", name)
			return nil, eris.Wrap(ErrCorrupt, name)
		}
		batches = append(batches, batch)
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Version, b.Version) })
	return batches, nil
}

// removeBatches removes the batch files whose names selected accepts.
func removeBatches(disk Disk, selected func(name string) bool) error {
	names, err := disk.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasPrefix(name, batchPrefix) && selected(name) {
			if err := disk.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

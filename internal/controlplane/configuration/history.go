package configuration

import (
	"strconv"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
)

// What is kept of older configurations and of write IDs is bounded by counting writes, not by
// arithmetic on versions, where documents number themselves.

const (
	historyKey       = "history"
	writeIDPrefix    = "mark/"   // begins the keys of WriteResult records, by write ID
	writeCountPrefix = "marked/" // begins the keys of write IDs, by the count of the write
	maxVersions      = 16        // older configurations kept for reading back
	maxWriteIDs      = 1000      // write IDs remembered
	maxLargeVersions = 3         // copies kept of large documents
	largeDocument    = 64 << 10  // documents above this size are large
	maxKeptDocument  = 1 << 20   // of documents above this size no copy is kept: a batch has to fit one frame
)

// readHistory reads what is kept of earlier writes. known is false where no document has numbered itself so
// far, and a write's count is its version.
func readHistory(tx *transaction.Tx, current uint64) (history History, known bool, err error) {
	raw, known := tx.Get(historyKey)
	if known {
		if _, err := history.UnmarshalMsg(raw); err != nil {
			return History{}, known, eris.Wrap(err, "configuration: decode the history")
		}
		return history, known, nil
	}
	history.Writes = current
	for version := current - min(current, maxVersions-1); version <= current; version++ {
		if version > 0 {
			history.KeptVersions = append(history.KeptVersions, version)
		}
	}
	return history, false, nil
}

// keepVersion keeps a copy of the new configuration for reading back, and drops the oldest copies beyond the bound.
func keepVersion(tx *transaction.Tx, history *History, config *coreapi.StoredConfig, numbered bool) error {
	if len(config.Raw) <= maxKeptDocument {
		if err := tx.Put(versionKey(config.Version), config); err != nil {
			return err
		}
		history.KeptVersions = append(history.KeptVersions, config.Version)
	}
	limit := maxVersions
	if numbered && len(config.Raw) > largeDocument {
		limit = maxLargeVersions
	}
	for len(history.KeptVersions) > limit {
		tx.Delete(versionKey(history.KeptVersions[0]))
		history.KeptVersions = history.KeptVersions[1:]
	}
	return nil
}

// keepWriteID remembers the ID of the write with this count, and forgets the ID of one long ago.
func keepWriteID(tx *transaction.Tx, count uint64, id string, record WriteResult) error {
	if id != "" && !faultinjection.Disabled("write-id") {
		if err := tx.Put(writeIDPrefix+id, &record); err != nil {
			return err
		}
		if err := tx.Put(writeCountPrefix+strconv.FormatUint(count, 10), &coreapi.Claim{Claimant: id}); err != nil {
			return err
		}
	}
	if count <= maxWriteIDs {
		return nil
	}
	key := writeCountPrefix + strconv.FormatUint(count-maxWriteIDs, 10)
	if raw, ok := tx.Get(key); ok {
		var written coreapi.Claim // the record of a write ID is a claim of which only the claimant is used
		if _, err := written.UnmarshalMsg(raw); err == nil {
			tx.Delete(writeIDPrefix + written.Claimant)
		}
		tx.Delete(key)
	}
	return nil
}

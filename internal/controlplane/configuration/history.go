package configuration

import (
	"strconv"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
)

// How many older configurations and write IDs are stored is limited by the number of writes. Version numbers don't serve for
// this: documents that carry their own version may skip numbers.

const (
	historyKey       = "history"
	writeIDPrefix    = "mark/"   // key prefix of WriteResult records, followed by the write ID
	writeCountPrefix = "marked/" // key prefix of write IDs, followed by the number of the write
	maxVersions      = 16        // copies of configurations stored for reading old versions
	maxWriteIDs      = 1000      // write IDs stored
	maxLargeVersions = 3         // copies stored while documents are large and carry their own version
	largeDocument    = 64 << 10  // in bytes; larger documents count as large
	maxCopiedBytes   = 1 << 20   // no copy is stored of larger documents: document and copy have to fit one frame
)

// readHistory reads the history of earlier writes. stored is false if no document has carried its own version so far: the
// number of a write is then its version, and the history is derived from currentVersion.
func readHistory(tx *transaction.Tx, currentVersion uint64) (history History, stored bool, err error) {
	raw, stored := tx.Get(historyKey)
	if stored {
		if _, err := history.UnmarshalMsg(raw); err != nil {
			return History{}, stored, eris.Wrap(err, "configuration: decode the history")
		}
		return history, stored, nil
	}
	history.Writes = currentVersion
	for version := currentVersion - min(currentVersion, maxVersions-1); version <= currentVersion; version++ {
		if version > 0 {
			history.KeptVersions = append(history.KeptVersions, version)
		}
	}
	return history, false, nil
}

// storeVersion stores a copy of the new configuration for later reads, and deletes the oldest copies above the limit.
func storeVersion(tx *transaction.Tx, history *History, config *coreapi.StoredConfig, hasOwnVersion bool) error {
	if len(config.Raw) <= maxCopiedBytes {
		if err := tx.Put(versionKey(config.Version), config); err != nil {
			return err
		}
		history.KeptVersions = append(history.KeptVersions, config.Version)
	}
	limit := maxVersions
	if hasOwnVersion && len(config.Raw) > largeDocument {
		limit = maxLargeVersions
	}
	for len(history.KeptVersions) > limit {
		tx.Delete(versionKey(history.KeptVersions[0]))
		history.KeptVersions = history.KeptVersions[1:]
	}
	return nil
}

// storeWriteID stores the ID and result of the write with this number, and deletes the ID of the write that is maxWriteIDs
// older.
func storeWriteID(tx *transaction.Tx, number uint64, id string, result WriteResult) error {
	if id != "" && !faultinjection.Disabled("write-id") {
		if err := tx.Put(writeIDPrefix+id, &result); err != nil {
			return err
		}
		if err := tx.Put(writeCountPrefix+strconv.FormatUint(number, 10), &coreapi.Claim{Claimant: id}); err != nil {
			return err
		}
	}
	if number <= maxWriteIDs {
		return nil
	}
	key := writeCountPrefix + strconv.FormatUint(number-maxWriteIDs, 10)
	if raw, ok := tx.Get(key); ok {
		var claim coreapi.Claim // a write ID is stored as the claimant of an otherwise empty claim
		if _, err := claim.UnmarshalMsg(raw); err == nil {
			tx.Delete(writeIDPrefix + claim.Claimant)
		}
		tx.Delete(key)
	}
	return nil
}

package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
)

// Hash returns the hash of a document. It is stored with the write ID to detect an ID that is reused for another document.
// It is computed before the write is submitted, so that it does not take time in the run loop.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Write checks a write against the current configuration and applies it to the batch. hash is the Hash of request.Raw. The
// outcome is set in the response. The returned configuration is the new one, or has version 0 if the write changes nothing.
func (d *Documents) Write(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (coreapi.StoredConfig, error) {
	currentConfig, err := readCurrent(tx)
	if err != nil {
		return coreapi.StoredConfig{}, err
	}
	if repeated, err := isRepeatedWrite(tx, request, hash, response); repeated || err != nil {
		return coreapi.StoredConfig{}, err
	}
	response.Version = currentConfig.Version
	if !request.AnyVersion && request.BaseVersion != currentConfig.Version {
		response.Code = http.StatusPreconditionFailed
		if !faultinjection.Disabled("race") {
			return coreapi.StoredConfig{}, nil
		}
	}
	raw := request.Raw
	if request.Patch {
		if raw, err = d.codec.Merge(currentConfig.Raw, request.Raw); err != nil {
			response.Code, response.Errors = http.StatusBadRequest, []coreapi.ConfigError{{Text: "valid JSON expected"}}
			return coreapi.StoredConfig{}, nil
		}
		if len(raw) > d.codec.MaxBytes() {
			response.Code = http.StatusRequestEntityTooLarge
			return coreapi.StoredConfig{}, nil
		}
	}
	next, hasOwnVersion, configErrors := d.check(currentConfig, raw)
	if len(configErrors) > 0 {
		response.Code, response.Errors = http.StatusBadRequest, configErrors
		return coreapi.StoredConfig{}, nil
	}
	response.Version = next.Version
	return next, recordWrite(tx, currentConfig, next, hasOwnVersion, request.ID, hash)
}

// isRepeatedWrite reports whether a write with this ID was applied before. If so, the response contains the version written
// then, and an error code if the ID was used for another document.
func isRepeatedWrite(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (bool, error) {
	if request.ID == "" {
		return false, nil
	}
	raw, ok := tx.Get(writeIDPrefix + request.ID)
	if !ok {
		return false, nil
	}
	var result WriteResult
	if _, err := result.UnmarshalMsg(raw); err != nil {
		return true, eris.Wrap(err, "configuration: decode the result of an earlier write")
	}
	response.Version, response.Repeated = result.Version, true
	if result.Hash != hash {
		response.Code = http.StatusUnprocessableEntity
	}
	return true, nil
}

// check decodes and validates a new configuration and determines its version. hasOwnVersion reports whether the document
// carries it.
func (d *Documents) check(currentConfig coreapi.StoredConfig, raw []byte) (next coreapi.StoredConfig, hasOwnVersion bool, configErrors []coreapi.ConfigError) {
	document, configErrors := d.codec.Check(raw)
	if len(configErrors) > 0 {
		return coreapi.StoredConfig{}, false, configErrors
	}
	if document.Version == 0 {
		return coreapi.StoredConfig{Version: currentConfig.Version + 1, Raw: raw}, false, nil
	}
	if document.Version <= currentConfig.Version {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", currentConfig.Version, document.Version)
		return coreapi.StoredConfig{}, true, []coreapi.ConfigError{{Path: "sequence", Text: text}}
	}
	return coreapi.StoredConfig{Version: document.Version, Raw: raw}, true, nil
}

// recordWrite adds to the batch the new configuration, its copy for later reads, and the write's ID.
func recordWrite(tx *transaction.Tx, currentConfig, next coreapi.StoredConfig, hasOwnVersion bool, id, hash string) error {
	history, stored, err := readHistory(tx, currentConfig.Version)
	if err != nil {
		return err
	}
	history.Writes++
	if err := tx.Put(currentKey, &next); err != nil {
		return err
	}
	if err := storeVersion(tx, &history, &next, hasOwnVersion); err != nil {
		return err
	}
	if err := storeWriteID(tx, history.Writes, id, WriteResult{Version: next.Version, Hash: hash}); err != nil {
		return err
	}
	if stored || hasOwnVersion {
		return tx.Put(historyKey, &history)
	}
	return nil
}

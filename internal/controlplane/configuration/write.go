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

// Hash is what is kept of a written document to tell whether a repeated write ID stands for the same. It is computed
// before the write is submitted: the run loop does not wait for it.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Write checks one write against the configuration in force and records it. hash is the Hash of the request's document.
// The response says what came of it; the configuration is the new one, or has version 0 where the write changes nothing.
func (d *Documents) Write(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (coreapi.StoredConfig, error) {
	inForce, err := current(tx)
	if err != nil {
		return coreapi.StoredConfig{}, err
	}
	if repeated, err := isRepeatedWrite(tx, request, hash, response); repeated || err != nil {
		return coreapi.StoredConfig{}, err
	}
	response.Version = inForce.Version
	if !request.AnyVersion && request.BaseVersion != inForce.Version {
		response.Code = http.StatusPreconditionFailed
		if !faultinjection.Disabled("race") {
			return coreapi.StoredConfig{}, nil
		}
	}
	raw := request.Raw
	if request.Patch {
		if raw, err = d.codec.Merge(inForce.Raw, request.Raw); err != nil {
			response.Code, response.Errors = http.StatusBadRequest, []coreapi.ConfigError{{Text: "valid JSON expected"}}
			return coreapi.StoredConfig{}, nil
		}
		if len(raw) > d.codec.MaxBytes() {
			response.Code = http.StatusRequestEntityTooLarge
			return coreapi.StoredConfig{}, nil
		}
	}
	next, numbered, configErrors := d.check(inForce, raw)
	if len(configErrors) > 0 {
		response.Code, response.Errors = http.StatusBadRequest, configErrors
		return coreapi.StoredConfig{}, nil
	}
	response.Version = next.Version
	return next, recordWrite(tx, inForce, next, numbered, request.ID, hash)
}

// isRepeatedWrite reports whether a write with this ID was applied before. The response is then the one that was given, or
// says that the ID stands for another document.
func isRepeatedWrite(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (bool, error) {
	if request.ID == "" {
		return false, nil
	}
	raw, ok := tx.Get(writeIDPrefix + request.ID)
	if !ok {
		return false, nil
	}
	var record WriteResult
	if _, err := record.UnmarshalMsg(raw); err != nil {
		return true, eris.Wrap(err, "configuration: decode the result of an earlier write")
	}
	response.Version, response.Repeated = record.Version, true
	if record.Hash != hash {
		response.Code = http.StatusUnprocessableEntity
	}
	return true, nil
}

// check decodes a new configuration and gives it its version. numbered: the document numbers itself.
func (d *Documents) check(inForce coreapi.StoredConfig, raw []byte) (next coreapi.StoredConfig, numbered bool, configErrors []coreapi.ConfigError) {
	document, configErrors := d.codec.Check(raw)
	if len(configErrors) > 0 {
		return coreapi.StoredConfig{}, false, configErrors
	}
	if document.Version == 0 {
		return coreapi.StoredConfig{Version: inForce.Version + 1, Raw: raw}, false, nil
	}
	if document.Version <= inForce.Version {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", inForce.Version, document.Version)
		return coreapi.StoredConfig{}, true, []coreapi.ConfigError{{Path: "sequence", Text: text}}
	}
	return coreapi.StoredConfig{Version: document.Version, Raw: raw}, true, nil
}

// recordWrite puts the new configuration, a copy for reading back and the write's ID.
func recordWrite(tx *transaction.Tx, inForce, next coreapi.StoredConfig, numbered bool, id, hash string) error {
	history, known, err := readHistory(tx, inForce.Version)
	if err != nil {
		return err
	}
	history.Writes++
	if err := tx.Put(currentKey, &next); err != nil {
		return err
	}
	if err := keepVersion(tx, &history, &next, numbered); err != nil {
		return err
	}
	if err := keepWriteID(tx, history.Writes, id, WriteResult{Version: next.Version, Hash: hash}); err != nil {
		return err
	}
	if known || numbered {
		return tx.Put(historyKey, &history)
	}
	return nil
}

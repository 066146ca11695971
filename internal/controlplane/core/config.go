package core

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// configKey is the key of the configuration in force.
const configKey = "layout"

// maxVersions is how many older configurations are kept for reading back.
const maxVersions = 16

// maxWriteIDs is how many write ids are remembered.
const maxWriteIDs = 1000

// readConfig gives the configuration in force, or an older one that is still kept.
func (s *Server) readConfig(request *coreapi.ConfigRequest) (*coreapi.StoredConfig, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	current := s.config
	s.mu.Unlock()
	if request.Version == 0 || request.Version == current.Version {
		return &current, nil
	}
	raw, ok := s.store.Load().Get(versionKey(request.Version))
	if !ok || request.Version > current.Version {
		return nil, wire.StatusError{Code: coreapi.CodeNoSuchVersion}
	}
	var old coreapi.StoredConfig
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, err
	}
	return &old, nil
}

// versionKey is the key of the copy of an older configuration.
func versionKey(version uint64) string { return "past/" + strconv.FormatUint(version, 10) }

// currentConfig reads the configuration in force; version 0 before the first.
func currentConfig(tx *transaction.Tx) (coreapi.StoredConfig, error) {
	var current coreapi.StoredConfig
	raw, ok := tx.Get(configKey)
	if !ok {
		return current, nil
	}
	_, err := current.UnmarshalMsg(raw)
	return current, err
}

// writeConfig checks and takes an operator's change. It is answered once the disks hold it and each
// zone's first relays have it, or a short time for that has passed.
func (s *Server) writeConfig(ctx context.Context, request *coreapi.WriteRequest) (*coreapi.WriteResponse, error) {
	response := &coreapi.WriteResponse{Code: 200}
	if len(request.Raw) > s.settings.Codec.MaxBytes() {
		return &coreapi.WriteResponse{Code: 413}, nil
	}
	sum := sha256.Sum256(request.Raw)
	hash := hex.EncodeToString(sum[:])
	var written coreapi.StoredConfig
	err := s.Submit(ctx, func(tx *transaction.Tx) (err error) {
		written, err = s.applyWrite(tx, request, hash, response)
		return err
	})
	if err != nil {
		return nil, err
	}
	if written.Version > 0 {
		s.ctx.Log.Info("Configuration taken.", "sequence", written.Version)
		s.push(dissemination.ConfigRecord(written.Version, written.Raw))
		if !s.isPrimary(s.acceptor.View()) {
			return nil, wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
		}
	}
	return response, nil
}

// applyWrite checks one write against the configuration in force and records it. The response says what came of it; the
// configuration is the new one, or empty where the write changes nothing.
func (s *Server) applyWrite(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (coreapi.StoredConfig, error) {
	current, err := currentConfig(tx)
	if err != nil {
		return coreapi.StoredConfig{}, err
	}
	if repeated, err := isRepeatedWrite(tx, request, hash, response); repeated || err != nil {
		return coreapi.StoredConfig{}, err
	}
	response.Version = current.Version
	if !request.AnyVersion && request.BaseVersion != current.Version {
		response.Code = 412
		if !faultinjection.Disabled("race") {
			return coreapi.StoredConfig{}, nil
		}
	}
	raw := request.Raw
	if request.Patch {
		if raw, err = s.settings.Codec.Merge(current.Raw, request.Raw); err != nil {
			response.Code, response.Errors = 400, []coreapi.ConfigError{{Text: "valid JSON expected"}}
			return coreapi.StoredConfig{}, nil
		}
		if len(raw) > s.settings.Codec.MaxBytes() {
			response.Code = 413
			return coreapi.StoredConfig{}, nil
		}
	}
	next, numbered, configErrors := s.check(current, raw)
	if len(configErrors) > 0 {
		response.Code, response.Errors = 400, configErrors
		return coreapi.StoredConfig{}, nil
	}
	response.Version = next.Version
	return next, recordWrite(tx, current, next, numbered, request.ID, hash)
}

// isRepeatedWrite reports whether a write with this id was taken before. The response is then the one that was given, or says that
// the id stands for another document.
func isRepeatedWrite(tx *transaction.Tx, request *coreapi.WriteRequest, hash string, response *coreapi.WriteResponse) (bool, error) {
	if request.ID == "" {
		return false, nil
	}
	raw, ok := tx.Get("mark/" + request.ID)
	if !ok {
		return false, nil
	}
	var record WriteResult
	if _, err := record.UnmarshalMsg(raw); err != nil {
		return true, err
	}
	response.Version, response.Repeated = record.Version, true
	if record.Hash != hash {
		response.Code = 422
	}
	return true, nil
}

// check reads a new configuration and gives it its version. numbered: the document numbers itself.
func (s *Server) check(current coreapi.StoredConfig, raw []byte) (next coreapi.StoredConfig, numbered bool, configErrors []coreapi.ConfigError) {
	document, configErrors := s.settings.Codec.Check(raw)
	if len(configErrors) > 0 {
		return coreapi.StoredConfig{}, false, configErrors
	}
	if document.Version == 0 {
		return coreapi.StoredConfig{Version: current.Version + 1, Raw: raw}, false, nil
	}
	if document.Version <= current.Version {
		text := fmt.Sprintf("a sequence above %d, the current one, is expected; the document has %d", current.Version, document.Version)
		return coreapi.StoredConfig{}, true, []coreapi.ConfigError{{Path: "sequence", Text: text}}
	}
	return coreapi.StoredConfig{Version: document.Version, Raw: raw}, true, nil
}

// recordWrite puts the new configuration, a copy for reading back and the write's id.
func recordWrite(tx *transaction.Tx, current, next coreapi.StoredConfig, numbered bool, id, hash string) error {
	history, known, err := readHistory(tx, current.Version)
	if err != nil {
		return err
	}
	history.Writes++
	if err := tx.Put(configKey, &next); err != nil {
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

// decodedConfig is the last configuration that was read. Its version does not name it: one that was never committed may
// have had the same.
type decodedConfig struct {
	record   []byte    // as stored, where it was read from the store or a batch
	raw      []byte    // its text
	document *Document // nil: it is not understood
}

// documentIn gives the configuration as the batch under way has it. Nil: none was put yet, or it is not
// understood. It is decoded once, since each move of quota units asks for it. Only the run loop calls it.
func (s *Server) documentIn(tx *transaction.Tx) (*Document, error) {
	record, ok := tx.Get(configKey)
	if !ok {
		return nil, nil
	}
	if sameBytes(record, s.decoded.record) {
		return s.decoded.document, nil
	}
	config, err := currentConfig(tx)
	if err != nil {
		return nil, err
	}
	document := s.parsedConfig(config)
	s.decoded.record = record
	return document, nil
}

// sameBytes reports whether two slices are the same memory: what was decoded from one is good for the other.
func sameBytes(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// parsedConfig reads a configuration, or gives it as it was read last. Nil: none was put yet, or it is not understood.
// Only the run loop calls it.
func (s *Server) parsedConfig(config coreapi.StoredConfig) *Document {
	if config.Version == 0 {
		return nil
	}
	if s.decoded.raw != nil && bytes.Equal(config.Raw, s.decoded.raw) {
		return s.decoded.document
	}
	s.decoded = decodedConfig{raw: config.Raw}
	document, configErrors := s.settings.Codec.Check(config.Raw)
	if len(configErrors) == 0 {
		document.Claims = document.Claims.withDefaults()
		s.decoded.document = &document
	}
	return s.decoded.document
}

// Package configuration implements the state machine of the fleet's stored configuration: the current document, older
// versions that can still be read, and the write IDs of operators, so that a repeated write is applied only once. It operates
// on a batch of the core's state and does no I/O: the core submits the operations, commits the batch and publishes the result.
package configuration

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// currentKey is the key of the current configuration.
const currentKey = "layout"

// Documents validates and applies writes of the configuration, and decodes it for the code that enforces it. Its methods may be
// called only by the goroutine of the core's run loop. The functions of this package that take a committed state are safe for
// concurrent use.
type Documents struct {
	codec   Codec
	decoded decodedDocument
}

// New returns the state machine for configurations that codec decodes.
func New(codec Codec) *Documents { return &Documents{codec: codec} }

// decodedDocument caches the configuration that was decoded last. It is identified by its content, not by its version: a
// configuration that was never committed may have had the same version.
type decodedDocument struct {
	record   []byte // the encoded record, if it was read from the store or a batch
	config   coreapi.StoredConfig
	document *Document // nil: the codec rejects it
}

// InBatch returns the configuration as it is in the current batch. It returns nil if there is none yet, or if the codec
// rejects it. The result is cached, since every transfer of quota units needs it.
func (d *Documents) InBatch(tx *transaction.Tx) (*Document, error) {
	record, ok := tx.Get(currentKey)
	if !ok {
		return nil, nil
	}
	if transaction.SameRecord(record, d.decoded.record) {
		return d.decoded.document, nil
	}
	config, err := readCurrent(tx)
	if err != nil {
		return nil, err
	}
	document := d.Decode(config)
	d.decoded.record = record
	return document, nil
}

// Decode decodes a configuration, or returns the cached result if it was the last one decoded. It returns nil if there is no
// configuration yet, or if the codec rejects it.
func (d *Documents) Decode(config coreapi.StoredConfig) *Document {
	if config.Version == 0 {
		return nil
	}
	if d.isDecoded(config) {
		return d.decoded.document
	}
	d.decoded = decodedDocument{config: config}
	document, configErrors := d.codec.Check(config.Raw)
	if len(configErrors) == 0 {
		document.Claims = document.Claims.withDefaults()
		d.decoded.document = &document
	}
	return d.decoded.document
}

// isDecoded reports whether the cache holds this configuration.
func (d *Documents) isDecoded(config coreapi.StoredConfig) bool {
	cached := d.decoded.config
	if faultinjection.Disabled("config-content") && cached.Version == config.Version {
		return true
	}
	return cached.Raw != nil && bytes.Equal(config.Raw, cached.Raw)
}

// MaxFinishedKeys returns the maximum number of finished keys that a configuration allows. Every claim needs it, so it uses
// the cached result of Decode.
func (d *Documents) MaxFinishedKeys(config coreapi.StoredConfig) int {
	if document := d.Decode(config); document != nil {
		return document.Claims.MaxFinishedKeys
	}
	return defaultMaxFinishedKeys
}

// readCurrent reads the current configuration. Its version is 0 if there is none yet.
func readCurrent(tx *transaction.Tx) (config coreapi.StoredConfig, err error) {
	raw, ok := tx.Get(currentKey)
	if !ok {
		return config, nil
	}
	if _, err := config.UnmarshalMsg(raw); err != nil {
		return coreapi.StoredConfig{}, eris.Wrap(err, "configuration: decode the current configuration")
	}
	return config, nil
}

// Current reads the current configuration from a committed state. Its version is 0 if there is none yet.
func Current(committed *store.Store) (coreapi.StoredConfig, error) {
	return readCurrent(transaction.New(committed))
}

// Written returns the configuration that a batch writes. ok is false if the batch writes none, or one that can't be decoded.
func Written(tx *transaction.Tx) (config coreapi.StoredConfig, ok bool) {
	mutation, ok := tx.LastMutation(currentKey)
	if !ok {
		return config, false
	}
	_, err := config.UnmarshalMsg(mutation.Value)
	return config, err == nil
}

// ReadVersion reads an older configuration from a committed state, in which currentVersion is the newest. The error has
// CodeNoSuchVersion if that version is not stored.
func ReadVersion(committed *store.Store, version, currentVersion uint64) (*coreapi.StoredConfig, error) {
	raw, ok := committed.Get(versionKey(version))
	if !ok || version > currentVersion {
		return nil, wire.StatusError{Code: coreapi.CodeNoSuchVersion}
	}
	var old coreapi.StoredConfig
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, eris.Wrapf(err, "configuration: decode version %d", version)
	}
	return &old, nil
}

// versionKey returns the key of the copy of a configuration that is stored for reading old versions.
func versionKey(version uint64) string { return "past/" + strconv.FormatUint(version, 10) }

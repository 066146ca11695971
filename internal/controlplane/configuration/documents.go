// Package configuration is the state machine of the fleet's stored configuration: the document in force, the older
// versions that are kept for reading back, and the IDs under which operators wrote, so that a repeated write is applied
// once. It sees a batch of the core's state and does no I/O; the core submits its operations, commits the batch and
// publishes the outcome.
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

// currentKey is the key of the configuration in force.
const currentKey = "layout"

// Documents judges writes of the configuration and decodes it for those who enforce it. Only the goroutine of the core's
// run loop may call its methods; the functions of this package that take a committed state are safe for concurrent use.
type Documents struct {
	codec   Codec
	decoded decodedDocument
}

// New makes the state machine of configurations that a codec reads.
func New(codec Codec) *Documents { return &Documents{codec: codec} }

// decodedDocument is the configuration that was decoded last. Its version does not identify it: one that was never
// committed may have had the same.
type decodedDocument struct {
	record   []byte // as stored, where it was read from the store or a batch
	config   coreapi.StoredConfig
	document *Document // nil: the codec does not understand it
}

// InBatch gives the configuration as the batch under way has it. Nil: none was written yet, or the codec does not
// understand it. It is decoded once, since each transfer of quota units asks for it.
func (d *Documents) InBatch(tx *transaction.Tx) (*Document, error) {
	record, ok := tx.Get(currentKey)
	if !ok {
		return nil, nil
	}
	if transaction.SameRecord(record, d.decoded.record) {
		return d.decoded.document, nil
	}
	config, err := current(tx)
	if err != nil {
		return nil, err
	}
	document := d.Decode(config)
	d.decoded.record = record
	return document, nil
}

// Decode decodes a configuration, or gives it as it was decoded last. Nil: none was written yet, or the codec does not
// understand it.
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

// isDecoded reports whether a configuration is the one that was decoded last.
func (d *Documents) isDecoded(config coreapi.StoredConfig) bool {
	known := d.decoded.config
	if faultinjection.Disabled("config-content") && known.Version == config.Version {
		return true
	}
	return known.Raw != nil && bytes.Equal(config.Raw, known.Raw)
}

// MaxFinishedKeys is the most finished keys that a configuration allows. It is asked for with every claim, so the
// configuration is not decoded anew for it.
func (d *Documents) MaxFinishedKeys(config coreapi.StoredConfig) int {
	if document := d.Decode(config); document != nil {
		return document.Claims.MaxFinishedKeys
	}
	return defaultMaxFinishedKeys
}

// current reads the configuration in force; version 0 before the first.
func current(tx *transaction.Tx) (config coreapi.StoredConfig, err error) {
	raw, ok := tx.Get(currentKey)
	if !ok {
		return config, nil
	}
	if _, err := config.UnmarshalMsg(raw); err != nil {
		return coreapi.StoredConfig{}, eris.Wrap(err, "configuration: decode the configuration in force")
	}
	return config, nil
}

// Current reads the configuration in force from a committed state; version 0 before the first.
func Current(committed *store.Store) (coreapi.StoredConfig, error) {
	return current(transaction.New(committed))
}

// Written gives the configuration that a batch puts in force. ok is false where it leaves the one before, or writes one
// that can't be decoded.
func Written(tx *transaction.Tx) (config coreapi.StoredConfig, ok bool) {
	mutation, ok := tx.LastMutation(currentKey)
	if !ok {
		return config, false
	}
	_, err := config.UnmarshalMsg(mutation.Value)
	return config, err == nil
}

// ReadVersion reads an older configuration from a committed state, in which the newest has the version current. The error
// is CodeNoSuchVersion where it is not kept.
func ReadVersion(committed *store.Store, version, current uint64) (*coreapi.StoredConfig, error) {
	raw, ok := committed.Get(versionKey(version))
	if !ok || version > current {
		return nil, wire.StatusError{Code: coreapi.CodeNoSuchVersion}
	}
	var old coreapi.StoredConfig
	if _, err := old.UnmarshalMsg(raw); err != nil {
		return nil, eris.Wrapf(err, "configuration: decode version %d", version)
	}
	return &old, nil
}

// versionKey is the key of the copy of an older configuration.
func versionKey(version uint64) string { return "past/" + strconv.FormatUint(version, 10) }

package coreapi

import (
	"errors"

	"yarrowridge/internal/transport/wire"
)

// Codes with which a core rejects calls from nodes and operators.
const (
	CodeNotPrimary     wire.Code = "not-primary"      // not applied: call the primary instead
	CodeNotReady       wire.Code = "not-ready"        // not applied: retry
	CodeOverloaded     wire.Code = "overloaded"       // not applied: the queue is too long to be processed in time; retry after a delay
	CodeOutcomeUnknown wire.Code = "in-doubt"         // may still take effect
	CodeDiskFailed     wire.Code = "disk-trouble"     // the core's disk failed
	CodeNameTaken      wire.Code = "name-taken"       // another node with this name has a lease
	CodeRunEnded       wire.Code = "run-ended"        // the heartbeat's run was replaced by another at the same address
	CodeInvalidRunner  wire.Code = "bad-runner"       // the heartbeat has no runner ID, or a state that a runner can't report
	CodeTooLarge       wire.Code = "too-large"        // the session directory exceeds the size limit
	CodeNoSuchVersion  wire.Code = "no-such-sequence" // this version of the configuration is not retained
)

// Codes with which a core rejects calls from other cores.
const (
	CodeStaleEpoch       wire.Code = "old-epoch"        // the caller's epoch has ended: a newer view is in force
	CodeNotBackup        wire.Code = "not-backup"       // this core is not a backup in the caller's epoch
	CodeMissingBatches   wire.Code = "behind"           // earlier batches are missing: a snapshot is needed
	CodeSnapshotMismatch wire.Code = "copy-out-of-step" // not the next chunk of the snapshot
	CodeOwnAddress       wire.Code = "own-address"      // a joining core reported the primary's own address
	CodeUnreachable      wire.Code = "not-reached"      // a joining core can't be reached at the address that it reported
)

// IsOutcomeUnknown reports whether a call that returned err may still take effect.
func IsOutcomeUnknown(err error) bool {
	return wire.HasCode(err, CodeOutcomeUnknown) || errors.Is(err, wire.ErrOutcomeUnknown)
}

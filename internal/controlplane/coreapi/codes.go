package coreapi

import (
	"errors"

	"yarrowridge/internal/transport/wire"
)

// The codes with which a core rejects calls of nodes and operators.
const (
	CodeNotPrimary     wire.Code = "not-primary"      // not carried out: ask the primary
	CodeNotReady       wire.Code = "not-ready"        // not carried out: ask again
	CodeOverloaded     wire.Code = "overloaded"       // not carried out: more waits than is done in time; ask again after a pause
	CodeOutcomeUnknown wire.Code = "in-doubt"         // may yet take effect
	CodeDiskFailed     wire.Code = "disk-trouble"     // the core's disk failed
	CodeNameTaken      wire.Code = "name-taken"       // another node with this name holds a lease
	CodeRunEnded       wire.Code = "run-ended"        // a heartbeat of a run that another at its address has replaced
	CodeInvalidRunner  wire.Code = "bad-runner"       // a heartbeat without an ID or with a state that no runner has
	CodeTooLarge       wire.Code = "too-large"        // a session above the size that is kept
	CodeNoSuchVersion  wire.Code = "no-such-sequence" // this version of the config is not kept
)

// The codes with which a core rejects calls of other cores.
const (
	CodeStaleEpoch       wire.Code = "old-epoch"        // the caller's epoch is over: a newer view is in force
	CodeNotBackup        wire.Code = "not-backup"       // this core is no backup in the caller's epoch
	CodeMissingBatches   wire.Code = "behind"           // batches before this one are missing: a snapshot is needed
	CodeSnapshotMismatch wire.Code = "copy-out-of-step" // a snapshot's chunk is not the one that follows
	CodeOwnAddress       wire.Code = "own-address"      // a core that joins gave the primary's own address
	CodeUnreachable      wire.Code = "not-reached"      // a core that joins was not reached at the address it gave
)

// IsOutcomeUnknown reports whether a call that ended in err may yet take effect.
func IsOutcomeUnknown(err error) bool {
	return wire.HasCode(err, CodeOutcomeUnknown) || errors.Is(err, wire.ErrOutcomeUnknown)
}

package replication

import (
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
)

//go:generate go tool msgp -tests=false -io=false

// A length read from the wire is believed up to this only.
//msgp:limit arrays:10000000 maps:200000

// ReplicateRequest asks a backup to store a batch.
type ReplicateRequest struct {
	View    view.View   `msg:"v"`
	Primary string      `msg:"f"`
	Batch   store.Batch `msg:"b"`
}

// SnapshotRequest carries one chunk of the primary's whole state to a member that is to be a backup.
type SnapshotRequest struct {
	View      view.View        `msg:"v"`
	Primary   string           `msg:"f"`
	Snapshot  uint64           `msg:"t"` // counts the snapshots that the primary's process has sent
	Chunk     int              `msg:"p"` // from 0
	Last      bool             `msg:"l"`
	Version   uint64           `msg:"s"` // of the state
	Mutations []store.Mutation `msg:"b"`
}

// ReplicateResponse answers ReplicateRequest and SnapshotRequest with the backup's identity.
type ReplicateResponse struct {
	ID string `msg:"i"`
}

package replication

import (
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
)

//go:generate go tool msgp -tests=false -io=false

// Maximum lengths of arrays and maps that a decoder accepts from the wire.
//msgp:limit arrays:10000000 maps:200000

// ReplicateRequest asks a backup to store a batch.
type ReplicateRequest struct {
	View    view.View   `msg:"v"`
	Primary string      `msg:"f"`
	Batch   store.Batch `msg:"b"`
}

// SnapshotRequest sends one chunk of the primary's state to a member that is to become a backup.
type SnapshotRequest struct {
	View      view.View        `msg:"v"`
	Primary   string           `msg:"f"`
	Snapshot  uint64           `msg:"t"` // number of the snapshot, counted since the start of the primary's process
	Chunk     int              `msg:"p"` // index of the chunk, from 0
	Last      bool             `msg:"l"` // whether this is the last chunk
	Version   uint64           `msg:"s"` // of the whole snapshot
	Mutations []store.Mutation `msg:"b"`
}

// ReplicateResponse is the response to ReplicateRequest and SnapshotRequest. It has the backup's identity.
type ReplicateResponse struct {
	ID string `msg:"i"`
}

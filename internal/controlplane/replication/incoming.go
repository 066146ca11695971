package replication

import "yarrowridge/internal/controlplane/store"

// incomingSnapshot is what a backup has of a snapshot whose chunks arrive.
type incomingSnapshot struct {
	number    snapshotNumber
	nextChunk int // the one expected
	mutations []store.Mutation
}

// expects reports whether a chunk is the next one of this snapshot.
func (i *incomingSnapshot) expects(request *SnapshotRequest) bool {
	return i.number == numberOf(request) && i.nextChunk == request.Chunk
}

// snapshotNumber orders the snapshots that a backup is sent: an epoch is led by one run of one process, which counts them.
type snapshotNumber struct {
	epoch    uint64
	snapshot uint64
}

// numberOf is the number of the snapshot that a chunk belongs to.
func numberOf(request *SnapshotRequest) snapshotNumber {
	return snapshotNumber{epoch: request.View.Epoch, snapshot: request.Snapshot}
}

// before reports whether a snapshot was begun before another.
func (n snapshotNumber) before(other snapshotNumber) bool {
	return n.epoch < other.epoch || n.epoch == other.epoch && n.snapshot < other.snapshot
}

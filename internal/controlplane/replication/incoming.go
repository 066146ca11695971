package replication

import "yarrowridge/internal/controlplane/store"

// incomingSnapshot is a snapshot of which a backup has received some chunks.
type incomingSnapshot struct {
	number    snapshotNumber
	nextChunk int // the next expected chunk
	mutations []store.Mutation
}

// expects reports whether a request carries the next chunk of this snapshot.
func (i *incomingSnapshot) expects(request *SnapshotRequest) bool {
	return i.number == snapshotNumberOf(request) && i.nextChunk == request.Chunk
}

// snapshotNumber orders the snapshots sent to a backup. The primary of an epoch is one run of one process, which numbers its
// snapshots.
type snapshotNumber struct {
	epoch    uint64
	sequence uint64
}

// snapshotNumberOf returns the number of the snapshot that a request's chunk belongs to.
func snapshotNumberOf(request *SnapshotRequest) snapshotNumber {
	return snapshotNumber{epoch: request.View.Epoch, sequence: request.Snapshot}
}

// before reports whether the snapshot with this number was begun before another one.
func (n snapshotNumber) before(other snapshotNumber) bool {
	return n.epoch < other.epoch || n.epoch == other.epoch && n.sequence < other.sequence
}

package replication

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// Host is the process that a backup runs in. Its methods may be called concurrently and do not block.
type Host interface {
	// Store returns the open store. Another one is opened when a failed disk has recovered.
	Store() *store.Store
	// HasDiskFailed reports whether the disk has failed and has not recovered yet.
	HasDiskFailed() bool
	// FailDisk records that the disk has failed.
	FailDisk(err error)
}

// Backup stores the batches and snapshots that the primary sends. Its methods may be called concurrently.
type Backup struct {
	host     Host
	acceptor *paxos.Acceptor

	mu           runloop.Mutex     // held while a batch or a snapshot is stored; guards the fields below
	incoming     *incomingSnapshot // nil if no snapshot is being received
	lastSnapshot snapshotNumber    // the newest snapshot of which the first chunk was received
}

// NewBackup returns the backup's side of replication in a process.
func NewBackup(host Host, acceptor *paxos.Acceptor) *Backup {
	return &Backup{host: host, acceptor: acceptor, mu: runloop.NewMutex()}
}

// WithLock calls do under the lock that is held while a batch or a snapshot is stored for a primary.
func (b *Backup) WithLock(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do()
}

// checkPrimary returns an error if this process must not store state for the primary of a view, in particular if it knows a
// newer view. Batches are stored by backups of the view only (mustBeBackup); snapshots by any member, since a member receives
// one before it becomes a backup. The caller holds b.mu.
func (b *Backup) checkPrimary(v view.View, primary string, mustBeBackup bool) error {
	if b.host.HasDiskFailed() {
		return wire.StatusError{Code: coreapi.CodeDiskFailed}
	}
	if err := b.acceptor.Learn(v); err != nil {
		return b.diskError(err)
	}
	current := b.acceptor.View()
	if faultinjection.Disabled("old-epoch") {
		return nil
	}
	if current.Epoch != v.Epoch || current.Primary != primary {
		return wire.StatusError{Code: coreapi.CodeStaleEpoch}
	}
	id := b.acceptor.ID()
	if !current.IsBackup(id) && (mustBeBackup || !current.HasMember(id)) {
		return wire.StatusError{Code: coreapi.CodeNotBackup}
	}
	return nil
}

// diskError records a disk failure and returns the error for the primary.
func (b *Backup) diskError(err error) error {
	b.host.FailDisk(err)
	return wire.StatusError{Code: coreapi.CodeDiskFailed}
}

// HandleReplicate stores a batch, which must be the version after the newest one. It returns once the batch is synced.
func (b *Backup) HandleReplicate(request *ReplicateRequest) (*ReplicateResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkPrimary(request.View, request.Primary, true); err != nil {
		return nil, err
	}
	replica := b.host.Store()
	if request.Batch.IsSnapshot || request.Batch.Version != replica.Version()+1 {
		return nil, wire.StatusError{Code: coreapi.CodeMissingBatches}
	}
	if err := replica.Append(request.Batch); err != nil {
		return nil, b.diskError(err)
	}
	go b.compact(replica) // the primary does not wait for it
	return &ReplicateResponse{ID: b.acceptor.ID()}, nil
}

// compact compacts a store if needed.
func (b *Backup) compact(replica *store.Store) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := replica.CompactIfNeeded(); err != nil {
		b.host.FailDisk(err)
	}
}

// HandleSnapshot receives one chunk of a snapshot of the primary's state. After the last chunk, the snapshot replaces the state
// of this process.
func (b *Backup) HandleSnapshot(request *SnapshotRequest) (*ReplicateResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.checkPrimary(request.View, request.Primary, false); err != nil {
		return nil, err
	}
	incoming := b.incomingFor(request)
	if incoming == nil || !incoming.expects(request) {
		return nil, wire.StatusError{Code: coreapi.CodeSnapshotMismatch}
	}
	incoming.nextChunk++
	incoming.mutations = append(incoming.mutations, request.Mutations...)
	if request.Last {
		b.incoming = nil
		snapshot := store.Batch{Version: request.Version, IsSnapshot: true, Mutations: incoming.mutations}
		if err := b.host.Store().Append(snapshot); err != nil {
			return nil, b.diskError(err)
		}
	}
	return &ReplicateResponse{ID: b.acceptor.ID()}, nil
}

// incomingFor returns the snapshot that is being received: nil if there is none, and possibly another one than that of the
// request. A first chunk begins a new one only if its snapshot is newer than b.lastSnapshot. Otherwise the chunk was delayed,
// and the snapshot could undo writes that have been acknowledged since. The caller holds b.mu.
func (b *Backup) incomingFor(request *SnapshotRequest) *incomingSnapshot {
	number := snapshotNumberOf(request)
	if request.Chunk == 0 && (b.lastSnapshot.before(number) || faultinjection.Disabled("late-snapshot")) {
		b.incoming, b.lastSnapshot = &incomingSnapshot{number: number}, number
	}
	return b.incoming
}

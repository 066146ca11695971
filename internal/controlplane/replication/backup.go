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
	// Store is the open store. It is replaced after the disk failed.
	Store() *store.Store
	// HasDiskFailed reports whether the disk can't be relied on now.
	HasDiskFailed() bool
	// FailDisk records that the disk can't be relied on.
	FailDisk(err error)
}

// Backup stores what the primary sends. Its methods may be called concurrently.
type Backup struct {
	host     Host
	acceptor *paxos.Acceptor

	gate         runloop.Mutex     // held while a batch or a snapshot is stored; guards the fields below
	incoming     *incomingSnapshot // the one of which chunks arrive; nil: none
	lastSnapshot snapshotNumber    // the newest one begun
}

// NewBackup makes the backup's side of a process.
func NewBackup(host Host, acceptor *paxos.Acceptor) *Backup {
	return &Backup{host: host, acceptor: acceptor, gate: runloop.NewMutex()}
}

// Exclusively calls do while nothing is stored for a primary.
func (b *Backup) Exclusively(do func()) {
	b.gate.Lock()
	defer b.gate.Unlock()
	do()
}

// checkPrimary reports whether we may store state for this view's primary; anything older is rejected. A batch is stored by
// backups of the view only, a snapshot by any member: it is how one becomes a backup. The caller holds the gate.
func (b *Backup) checkPrimary(v view.View, primary string, asBackup bool) error {
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
	if !current.IsBackup(id) && (asBackup || !current.HasMember(id)) {
		return wire.StatusError{Code: coreapi.CodeNotBackup}
	}
	return nil
}

// diskError records an error of the disk, and is the response to it.
func (b *Backup) diskError(err error) error {
	b.host.FailDisk(err)
	return wire.StatusError{Code: coreapi.CodeDiskFailed}
}

// HandleReplicate stores a batch, which must follow on the newest version. It returns once the batch is synced.
func (b *Backup) HandleReplicate(request *ReplicateRequest) (*ReplicateResponse, error) {
	b.gate.Lock()
	defer b.gate.Unlock()
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
	go b.compact(replica) // the primary need not wait for it
	return &ReplicateResponse{ID: b.acceptor.ID()}, nil
}

// compact compacts a store where that is due.
func (b *Backup) compact(replica *store.Store) {
	b.gate.Lock()
	defer b.gate.Unlock()
	if err := replica.CompactIfNeeded(); err != nil {
		b.host.FailDisk(err)
	}
}

// HandleSnapshot takes one chunk of the primary's whole state, and with the last one replaces ours by it.
func (b *Backup) HandleSnapshot(request *SnapshotRequest) (*ReplicateResponse, error) {
	b.gate.Lock()
	defer b.gate.Unlock()
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

// incomingFor is the snapshot of which chunks arrive, which a first chunk begins. A snapshot that was begun before the
// newest one known here was delayed: writes may have been acknowledged since, and must stay. The caller holds the gate.
func (b *Backup) incomingFor(request *SnapshotRequest) *incomingSnapshot {
	number := numberOf(request)
	if request.Chunk == 0 && (b.lastSnapshot.before(number) || faultinjection.Disabled("late-snapshot")) {
		b.incoming, b.lastSnapshot = &incomingSnapshot{number: number}, number
	}
	return b.incoming
}

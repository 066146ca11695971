package core

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// checkPrimary reports whether we may store state for this view's primary; anything older is rejected. A batch is stored by
// backups of the view only, a snapshot by any member: it is how one becomes a backup.
func (s *Server) checkPrimary(v view.View, primary string, asBackup bool) error {
	if s.hasDiskFailed() {
		return wire.StatusError{Code: coreapi.CodeDiskFailed}
	}
	if err := s.acceptor.Learn(v); err != nil {
		s.failDisk(err)
		return wire.StatusError{Code: coreapi.CodeDiskFailed}
	}
	current := s.acceptor.View()
	if faultinjection.Disabled("old-epoch") {
		return nil
	}
	if current.Epoch != v.Epoch || current.Primary != primary {
		return wire.StatusError{Code: coreapi.CodeStaleEpoch}
	}
	me := s.acceptor.ID()
	if !current.IsBackup(me) && (asBackup || !current.HasMember(me)) {
		return wire.StatusError{Code: coreapi.CodeNotBackup}
	}
	return nil
}

// takeBatch stores a batch as a backup.
func (s *Server) takeBatch(request *ReplicateRequest) (*ReplicateResponse, error) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := s.checkPrimary(request.View, request.Primary, true); err != nil {
		return nil, err
	}
	replica := s.store.Load()
	if request.Batch.IsSnapshot || request.Batch.Version != replica.Version()+1 {
		return nil, wire.StatusError{Code: coreapi.CodeBehind}
	}
	if err := replica.Append(request.Batch); err != nil {
		s.failDisk(err)
		return nil, wire.StatusError{Code: coreapi.CodeDiskFailed}
	}
	go s.tidy(replica) // the primary need not wait for it
	return &ReplicateResponse{ID: s.acceptor.ID()}, nil
}

// tidy folds stored batches into one where there are many.
func (s *Server) tidy(replica *store.Store) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := replica.CompactIfNeeded(); err != nil {
		s.failDisk(err)
	}
}

// takeSnapshot takes one part of the primary's whole state, and with the last one replaces ours by it. A snapshot that was
// begun before the newest one known here was long under way: writes may have been acknowledged since, and must stay.
func (s *Server) takeSnapshot(request *SnapshotRequest) (*ReplicateResponse, error) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := s.checkPrimary(request.View, request.Primary, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	incoming := s.incoming
	if number := numberOf(request); request.Chunk == 0 && (s.lastSnapshot.before(number) || faultinjection.Disabled("late-snapshot")) {
		incoming = &incomingSnapshot{number: number}
		s.incoming, s.lastSnapshot = incoming, number
	}
	s.mu.Unlock()
	if incoming == nil || !incoming.expects(request) {
		return nil, wire.StatusError{Code: coreapi.CodeSnapshotMismatch}
	}
	incoming.part++
	incoming.puts = append(incoming.puts, request.Mutations...)
	if request.Last {
		s.mu.Lock()
		s.incoming = nil
		s.mu.Unlock()
		whole := store.Batch{Version: request.Version, IsSnapshot: true, Mutations: incoming.puts}
		if err := s.store.Load().Append(whole); err != nil {
			s.failDisk(err)
			return nil, wire.StatusError{Code: coreapi.CodeDiskFailed}
		}
	}
	return &ReplicateResponse{ID: s.acceptor.ID()}, nil
}

// numberOf is the number of the snapshot that a part belongs to.
func numberOf(request *SnapshotRequest) snapshotNumber {
	return snapshotNumber{epoch: request.View.Epoch, snapshot: request.Snapshot}
}

// expects reports whether a part is the next one of this snapshot.
func (i *incomingSnapshot) expects(request *SnapshotRequest) bool {
	return i.number == numberOf(request) && i.part == request.Chunk
}

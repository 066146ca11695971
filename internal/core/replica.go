package core

import (
	"yarrowridge/internal/store"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// checkPrimary tells whether we may store state for this view's primary; anything older is rejected. A batch is stored by
// backups of the view only, a snapshot by any member: it is how one becomes a backup.
func (s *Server) checkPrimary(v view.View, primary string, asBackup bool) error {
	if s.hasDiskFailed() {
		return wire.Fault{Code: DiskFailed}
	}
	if err := s.voter.Learn(v); err != nil {
		s.failDisk(err)
		return wire.Fault{Code: DiskFailed}
	}
	current := s.voter.View()
	if strike.Out("old-epoch") {
		return nil
	}
	if current.Epoch != v.Epoch || current.Primary != primary {
		return wire.Fault{Code: StaleEpoch}
	}
	me := s.voter.Id()
	if !current.IsBackup(me) && (asBackup || !current.HasMember(me)) {
		return wire.Fault{Code: "not-backup"}
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
	if request.Batch.Base || request.Batch.Seq != replica.Seq()+1 {
		return nil, wire.Fault{Code: "behind"}
	}
	if err := replica.Add(request.Batch); err != nil {
		s.failDisk(err)
		return nil, wire.Fault{Code: DiskFailed}
	}
	go s.tidy(replica) // the primary need not wait for it
	return &ReplicateResponse{Id: s.voter.Id()}, nil
}

// tidy folds stored batches into one where there are many.
func (s *Server) tidy(replica *store.Store) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := replica.Tidy(); err != nil {
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
	if number := numberOf(request); request.Part == 0 && (s.lastSnapshot.before(number) || strike.Out("late-snapshot")) {
		incoming = &incomingSnapshot{number: number}
		s.incoming, s.lastSnapshot = incoming, number
	}
	s.mu.Unlock()
	if incoming == nil || !incoming.expects(request) {
		return nil, wire.Fault{Code: "copy-out-of-step"}
	}
	incoming.part++
	incoming.puts = append(incoming.puts, request.Puts...)
	if request.Last {
		s.mu.Lock()
		s.incoming = nil
		s.mu.Unlock()
		whole := store.Batch{Seq: request.Version, Base: true, Puts: incoming.puts}
		if err := s.store.Load().Add(whole); err != nil {
			s.failDisk(err)
			return nil, wire.Fault{Code: DiskFailed}
		}
	}
	return &ReplicateResponse{Id: s.voter.Id()}, nil
}

// numberOf is the number of the snapshot that a part belongs to.
func numberOf(request *SnapshotRequest) snapshotNumber {
	return snapshotNumber{epoch: request.View.Epoch, snapshot: request.Snapshot}
}

// expects tells whether a part is the next one of this snapshot.
func (i *incomingSnapshot) expects(request *SnapshotRequest) bool {
	return i.number == numberOf(request) && i.part == request.Part
}

package core

import (
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// checkPrimary tells whether we may hold state for this view's primary; anything older is bounced.
func (s *Server) checkPrimary(v view.View, from string, seat bool) error {
	if s.hasDiskFailed() {
		return wire.Fault{Code: DiskFailed}
	}
	if err := s.voter.Learn(v); err != nil {
		s.failDisk(err)
		return wire.Fault{Code: DiskFailed}
	}
	cur := s.voter.View()
	if cur.Epoch != v.Epoch || cur.Primary != from {
		return wire.Fault{Code: StaleEpoch}
	}
	me := s.voter.Id()
	if !cur.IsBackup(me) && (seat || !cur.HasMember(me)) {
		return wire.Fault{Code: "not-backup"}
	}
	return nil
}

func (s *Server) takeBatch(in *ReplicateRequest) (*ReplicateResponse, error) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := s.checkPrimary(in.View, in.Primary, true); err != nil {
		return nil, err
	}
	st := s.store.Load()
	if in.Batch.Base || in.Batch.Seq != st.Seq()+1 {
		return nil, wire.Fault{Code: "behind"}
	}
	if err := st.Add(in.Batch); err != nil {
		s.failDisk(err)
		return nil, wire.Fault{Code: DiskFailed}
	}
	go func() { // the primary need not wait for it
		s.storeGate.Lock()
		defer s.storeGate.Unlock()
		if err := st.Tidy(); err != nil {
			s.failDisk(err)
		}
	}()
	return &ReplicateResponse{Id: s.voter.Id()}, nil
}

func (s *Server) takeSnapshot(in *SnapshotRequest) (*ReplicateResponse, error) {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
	if err := s.checkPrimary(in.View, in.Primary, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	c := s.incoming
	if in.Part == 0 {
		c = &incomingSnapshot{epoch: in.View.Epoch, snapshot: in.Snapshot}
		s.incoming = c
	}
	s.mu.Unlock()
	if c == nil || c.epoch != in.View.Epoch || c.snapshot != in.Snapshot || c.part != in.Part {
		return nil, wire.Fault{Code: "copy-out-of-step"}
	}
	c.part++
	c.puts = append(c.puts, in.Puts...)
	if in.Last {
		s.mu.Lock()
		s.incoming = nil
		s.mu.Unlock()
		if err := s.store.Load().Add(store.Batch{Seq: in.Version, Base: true, Puts: c.puts}); err != nil {
			s.failDisk(err)
			return nil, wire.Fault{Code: DiskFailed}
		}
	}
	return &ReplicateResponse{Id: s.voter.Id()}, nil
}

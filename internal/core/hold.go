package core

import (
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// backs tells whether we may hold state for this view's primary; anything older is bounced.
func (s *Server) backs(v view.View, from string, seat bool) error {
	if s.isSick() {
		return wire.Fault{Code: DiskBad}
	}
	if err := s.vot.Learn(v); err != nil {
		s.trouble(err)
		return wire.Fault{Code: DiskBad}
	}
	cur := s.vot.View()
	if cur.Epoch != v.Epoch || cur.Primary != from {
		return wire.Fault{Code: OldEpoch}
	}
	me := s.vot.Id()
	if !cur.IsBackup(me) && (seat || !cur.HasMember(me)) {
		return wire.Fault{Code: "not-backup"}
	}
	return nil
}

func (s *Server) hold(in *ReplicateRequest) (*ReplicateResponse, error) {
	s.keep.Lock()
	defer s.keep.Unlock()
	if err := s.backs(in.View, in.Primary, true); err != nil {
		return nil, err
	}
	st := s.st.Load()
	if in.Batch.Base || in.Batch.Seq != st.Seq()+1 {
		return nil, wire.Fault{Code: "behind"}
	}
	if err := st.Add(in.Batch); err != nil {
		s.trouble(err)
		return nil, wire.Fault{Code: DiskBad}
	}
	go func() { // the primary need not wait for it
		s.keep.Lock()
		defer s.keep.Unlock()
		if err := st.Tidy(); err != nil {
			s.trouble(err)
		}
	}()
	return &ReplicateResponse{Id: s.vot.Id()}, nil
}

func (s *Server) copy(in *SnapshotRequest) (*ReplicateResponse, error) {
	s.keep.Lock()
	defer s.keep.Unlock()
	if err := s.backs(in.View, in.Primary, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	c := s.copied
	if in.Part == 0 {
		c = &copying{epoch: in.View.Epoch, turn: in.Snapshot}
		s.copied = c
	}
	s.mu.Unlock()
	if c == nil || c.epoch != in.View.Epoch || c.turn != in.Snapshot || c.part != in.Part {
		return nil, wire.Fault{Code: "copy-out-of-step"}
	}
	c.part++
	c.puts = append(c.puts, in.Puts...)
	if in.Last {
		s.mu.Lock()
		s.copied = nil
		s.mu.Unlock()
		if err := s.st.Load().Add(store.Batch{Seq: in.Version, Base: true, Puts: c.puts}); err != nil {
			s.trouble(err)
			return nil, wire.Fault{Code: DiskBad}
		}
	}
	return &ReplicateResponse{Id: s.vot.Id()}, nil
}

package core

import (
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// takeStep is the run loop's tick: it does what this process's role in the view requires.
func (s *Server) takeStep() {
	if s.leadership.HasDiskFailed() {
		return
	}
	v, self := s.acceptor.View(), s.acceptor.ID()
	if v.Primary != self && v.HasMember(self) {
		s.detector.Check(s.ctx, v, s.wakeRunLoop)
	}
	switch {
	case v.Epoch == 0:
		s.findFleet()
	case v.Primary == self:
		s.lead(v, self)
	case v.IsBackup(self) || v.HasMember(self) && faultinjection.Disabled("only-holders-lead"):
		s.watchPrimary(v, self)
	case v.Addr(self) != s.settings.Addr: // not a member, or a member whose address has changed
		s.join(v)
	default:
		s.finder.FindNewerView(v)
	}
}

// isPrimary reports whether this process is now the primary of a view's epoch: a majority has granted it the lease, and it
// knows no newer view.
func (s *Server) isPrimary(v view.View) bool {
	return s.leadership.HoldsLease(v) && s.acceptor.View().Epoch == v.Epoch
}

// becomeReady starts accepting writes. It is called once the backups are in sync and the lease is held.
func (s *Server) becomeReady(v view.View) {
	version, err := s.service.Start(v.Epoch, s.leadership.State().LedSince, func() {
		s.predecessor = ""
		s.leadership.BeginWrites()
	})
	if err != nil {
		s.ctx.Log.Error("Stored configuration can't be read.", "error", err.Error())
		return
	}
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addresses(v, v.Backups()), "sequence", version)
}

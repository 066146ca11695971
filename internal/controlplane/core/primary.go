package core

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/runnerregistry"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// takeStep is the run loop's tick: it does what our place in the view asks for.
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
	case v.Addr(self) != s.settings.Addr: // no member, or one that has moved
		s.join(v)
	default:
		s.finder.FindNewerView(v)
	}
}

// isPrimary reports whether we are primary of the epoch now, by a majority's lease.
func (s *Server) isPrimary(v view.View) bool {
	return s.leadership.HoldsLease(v) && s.acceptor.View().Epoch == v.Epoch
}

// becomeReady begins to take writes: the backups are in sync, and the lease is held.
func (s *Server) becomeReady(v view.View) {
	config, err := configuration.Current(s.store.Load())
	if err != nil {
		s.ctx.Log.Error("Stored configuration can't be read.", "error", err.Error())
		return
	}
	s.claims.Load(s.store.Load())
	s.predecessor = ""
	s.mu.Lock()
	s.registry.StartEpoch(runnerregistry.Epoch(v.Epoch, s.ctx.RunID), s.leadership.Standing().LedSince, time.Now(), s.runnerStorage.LoadAll())
	s.config = config
	s.routers.Start(s.routerAddresses.Count(), time.Now())
	s.leadership.BeginWrites() // under s.mu: who sees it and then locks s.mu sees all of the above
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addresses(v, v.Backups()), "sequence", config.Version)
}

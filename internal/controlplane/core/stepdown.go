package core

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// stepDownTimeout bounds how long a planned stop waits for the handover to a backup.
const stepDownTimeout = 2 * time.Second

// StepDown hands leadership to the first backup, which has the complete state, before a planned stop. It returns when that is
// done, or after stepDownTimeout. The run loop's goroutine must not call it.
func (s *Server) StepDown() {
	s.pipeline.Step(s.stepDown, stepDownTimeout)
}

// stepDown makes the first backup the primary. Only the run loop calls it.
func (s *Server) stepDown() {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() || !s.leadership.IsReady() {
		return
	}
	next, ok := s.settings.membershipPolicy().AfterStepDown(v)
	if !ok {
		return
	}
	s.leadership.EndWrites()
	if s.decide(v, next, false) {
		s.notifySuccessor()
	}
}

// handOverLease gives up the lease in favor of a backup that reaches a majority, if this process still reaches none. Only the
// run loop calls it.
func (s *Server) handOverLease(v view.View, backup view.Member) {
	state := s.leadership.State()
	if s.acceptor.View().Epoch != v.Epoch || !s.handover.IsDue(v, state.Lease, state.LedSince) {
		return
	}
	round, ok := s.leadership.HandOver(v.Epoch)
	if !ok {
		return
	}
	s.ctx.Log.Info("No majority responds: handing over to a backup that reaches one.", "epoch", v.Epoch, "backup", backup.Addr)
	s.renewer.Release(round)
	go func() {
		release := &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.runID, Round: round}
		if err := s.handover.SendRelease(s.ctx, backup, release); err != nil {
			s.ctx.Log.Debug("Release of the lease through the backup failed.", "backup", backup.Addr, "epoch", v.Epoch, "error", err.Error())
		}
	}()
}

// relayRelease passes the primary's release of its lease on to the members that the primary can't reach, and then takes over
// as primary.
func (s *Server) relayRelease(ctx context.Context, release *paxos.ReleaseRequest) (*coreapi.Empty, error) {
	if !s.handover.RelayRelease(ctx, release, s.acceptor.View()) {
		return nil, wire.StatusError{Code: coreapi.CodeUnreachable}
	}
	s.pipeline.StepLater(func() {
		s.nextAttempt = time.Time{} // take over at once: no other backup was asked to
		s.takeStep()
	})
	return &coreapi.Empty{}, nil
}

// notifySuccessor sends the newest view to its primary, and waits for the response: this process, which decided the view, is
// about to stop.
func (s *Server) notifySuccessor() {
	v := s.acceptor.View()
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not notified.", "peer", v.Addr(v.Primary), "error", err.Error())
	}
}

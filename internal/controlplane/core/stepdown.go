package core

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// stepDownTimeout is how long a planned stop waits for the backup to lead.
const stepDownTimeout = 2 * time.Second

// StepDown hands the primacy to the first backup, which has all that we have, before a planned stop. It waits for that, or for
// stepDownTimeout. Any goroutine may call it but the run loop's.
func (s *Server) StepDown() {
	s.pipeline.Step(s.stepDown, stepDownTimeout)
}

// stepDown has the first backup lead. Only the run loop calls it.
func (s *Server) stepDown() {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() || !s.leadership.IsReady() {
		return
	}
	next, ok := s.settings.membershipPolicy().AfterLeaving(v)
	if !ok {
		return
	}
	s.leadership.EndWrites()
	if s.decide(v, next, false) {
		s.notifySuccessor()
	}
}

// handOver gives the lease up for a backup that reaches a majority, where we still reach none. Only the run loop calls it.
func (s *Server) handOver(v view.View, backup view.Member) {
	standing := s.leadership.Standing()
	if s.acceptor.View().Epoch != v.Epoch || !s.handover.IsDue(v, standing.Lease, standing.LedSince) {
		return
	}
	round, ok := s.leadership.HandOver(v.Epoch)
	if !ok {
		return
	}
	s.ctx.Log.Info("No majority answers: a backup that reaches one takes over.", "epoch", v.Epoch, "backup", backup.Addr)
	s.renewer.Release(round)
	go func() {
		release := &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.runID, Round: round}
		if err := s.handover.SendRelease(s.ctx, backup, release); err != nil {
			s.ctx.Log.Debug("Lease was not released by the backup.", "backup", backup.Addr, "epoch", v.Epoch, "error", err.Error())
		}
	}()
}

// relayRelease passes the primary's release of its lease on to those that it can't reach, and takes over.
func (s *Server) relayRelease(ctx context.Context, release *paxos.ReleaseRequest) (*coreapi.Empty, error) {
	if !s.handover.RelayRelease(ctx, release, s.acceptor.View()) {
		return nil, wire.StatusError{Code: coreapi.CodeUnreachable}
	}
	s.pipeline.StepLater(func() {
		s.nextAttempt = time.Time{} // it is our turn: nobody else was asked
		s.takeStep()
	})
	return &coreapi.Empty{}, nil
}

// notifySuccessor waits until the primary of the newest view knows it: the process that decided it is about to end.
func (s *Server) notifySuccessor() {
	v := s.acceptor.View()
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not notified.", "peer", v.Addr(v.Primary), "error", err.Error())
	}
}

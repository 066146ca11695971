package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// Average pauses between two proposals of one member; attemptDue randomizes them.
const (
	proposeInterval = 300 * time.Millisecond // to become or stay primary
	replaceInterval = 2 * time.Second        // to move a backup to a better zone
)

// watchPrimary takes over from the primary if its lease has expired.
func (s *Server) watchPrimary(v view.View, self string) {
	s.predecessor = v.Primary
	if s.acceptor.HasActiveLease() || faultinjection.Disabled("takeover") {
		// Backups attempt a takeover at staggered, random times, so that their proposals rarely conflict.
		position := time.Duration(slices.Index(v.Backups(), self))
		s.nextAttempt = time.Now().Add(position*100*time.Millisecond + rand.N(100*time.Millisecond))
		s.finder.PostponeSearch()
		return
	}
	s.finder.FindNewerView(v)
	if !s.attemptDue(proposeInterval) {
		return
	}
	if s.decide(v, membership.WithPrimary(v, self), false) {
		s.formerPrimary = v.Primary
	}
}

// lead takes one step of a primary: towards accepting writes, or of its regular work once it does.
func (s *Server) lead(v view.View, self string) {
	state := s.beginLeading(v)
	primaryLease, ready, ledSince := state.Lease, state.Ready, state.LedSince
	switch {
	case !primaryLease.IsHeld(v.IsMajority):
		s.leadWithoutLease(v, state.PromisedOther)
		return
	case !s.leadership.MayLead(v.Epoch):
		s.beginEpoch(v)
		return
	}
	s.finder.PostponeSearch()
	if ready && s.handover.IsDue(v, primaryLease, ledSince) {
		s.handover.FindSuccessor(s.ctx, v, primaryLease, func(backup view.Member) {
			s.pipeline.StepLater(func() { s.handOverLease(v, backup) })
		})
	}
	keep := s.backupsToKeep(v, primaryLease, ready, ledSince)
	if !ready || len(keep) < len(v.Backups()) || len(keep) < s.settings.membershipPolicy().BackupCount(v) {
		if !s.reconcileReplicas(v, primaryLease, keep) {
			s.changeMembers(v, self, primaryLease, ledSince) // a new member may become the missing backup
			return
		}
		if s.acceptor.View().Epoch != v.Epoch {
			return // the next step continues in the new epoch
		}
		s.becomeReady(v)
	}
	s.changeMembers(v, self, primaryLease, ledSince)
	s.service.Sweep()
}

// beginEpoch proposes the current view for the next epoch. If another view was already accepted for it, that one is decided.
func (s *Server) beginEpoch(v view.View) {
	s.leadership.EndWrites()
	if s.attemptDue(proposeInterval) {
		s.decide(v, v, false)
	}
}

// leadWithoutLease takes a primary's step while no majority grants it the lease. If an acceptor has promised the next epoch
// to another proposer, this process proposes its own view for that epoch: the other proposer may no longer run.
func (s *Server) leadWithoutLease(v view.View, promisedOther bool) {
	s.leadership.EndWrites()
	s.finder.FindNewerView(v)
	if promisedOther && s.attemptDue(proposeInterval) {
		s.decide(v, v, false)
	}
}

// beginLeading records that this process leads the view's epoch, on its first step in it, and returns its leadership state.
func (s *Server) beginLeading(v view.View) leadership.State {
	if began, continued := s.leadership.BeginEpoch(v.Epoch); began {
		if !continued {
			s.replicator.Reset()
		}
		// Wait until a batch or snapshot from a former primary that is being stored is complete.
		s.backup.WithLock(func() {})
		s.renewer.Renew()
	}
	return s.leadership.State()
}

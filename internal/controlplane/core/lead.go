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

// About how long it is between two proposals of one member: the pauses are random, around these.
const (
	proposeInterval = 300 * time.Millisecond // to lead or to go on leading
	replaceInterval = 2 * time.Second        // to replace a backup that would stand better elsewhere
)

// watchPrimary takes over from a primary whose lease has run out.
func (s *Server) watchPrimary(v view.View, self string) {
	s.predecessor = v.Primary
	if s.acceptor.HasActiveLease() || faultinjection.Disabled("takeover") {
		// In turns, so that two backups hinder one another rarely.
		turn := time.Duration(slices.Index(v.Backups(), self))
		s.nextAttempt = time.Now().Add(turn*100*time.Millisecond + rand.N(100*time.Millisecond))
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

// lead takes one step towards being a primary that may answer, or one step of its duties.
func (s *Server) lead(v view.View, self string) {
	standing := s.beginLeading(v)
	primacy, ready, ledSince := standing.Lease, standing.Ready, standing.LedSince
	switch {
	case !primacy.IsHeld(v.IsMajority):
		s.leadWithoutLease(v, standing.PromisedOther)
		return
	case !s.leadership.MayLead(v.Epoch):
		s.beginEpoch(v)
		return
	}
	s.finder.PostponeSearch()
	if ready && s.handover.IsDue(v, primacy, ledSince) {
		s.handover.FindSuccessor(s.ctx, v, primacy, func(backup view.Member) {
			s.pipeline.StepLater(func() { s.handOver(v, backup) })
		})
	}
	keep := s.backupsToKeep(v, primacy, ready, ledSince)
	if !ready || len(keep) < len(v.Backups()) || len(keep) < s.settings.membershipPolicy().BackupCount(v) {
		if !s.reconcileReplicas(v, primacy, keep) {
			s.changeMembers(v, self, primacy, ledSince) // newcomers may be what is missing
			return
		}
		if s.acceptor.View().Epoch != v.Epoch {
			return // the next step is that of the new epoch
		}
		s.becomeReady(v)
	}
	s.changeMembers(v, self, primacy, ledSince)
	s.service.Sweep()
}

// beginEpoch decides the next epoch, by our own view or by one that was accepted for it already.
func (s *Server) beginEpoch(v view.View) {
	s.leadership.EndWrites()
	if s.attemptDue(proposeInterval) {
		s.decide(v, v, false)
	}
}

// leadWithoutLease is what a primary does while no majority grants it the lease. Where an acceptor has promised the next
// epoch to another, we propose our own view for it: the promise may be of a proposer that is gone.
func (s *Server) leadWithoutLease(v view.View, promisedOther bool) {
	s.leadership.EndWrites()
	s.finder.FindNewerView(v)
	if promisedOther && s.attemptDue(proposeInterval) {
		s.decide(v, v, false)
	}
}

// beginLeading records that we lead the view's epoch, once at its beginning, and tells how we stand in it.
func (s *Server) beginLeading(v view.View) leadership.Standing {
	if began, continued := s.leadership.BeginEpoch(v.Epoch); began {
		if !continued {
			s.replicator.Reset()
		}
		// What a former primary sent is stored wholly or not at all before we lead on.
		s.backup.WithLock(func() {})
		s.renewer.Renew()
	}
	return s.leadership.Standing()
}

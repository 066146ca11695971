package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// About how long it is between two proposals of one member: the pauses are random, around these.
const (
	proposePause = 300 * time.Millisecond // to lead or to go on leading
	replacePause = 2 * time.Second        // to replace a backup that would stand better elsewhere
)

// withPrimary is the view in which a backup leads. The other backups stay, and the former primary becomes one: each
// holds every write acknowledged so far, so that one of them can lead where the new primary's disk is lost before it
// has copied its state to anybody. It acknowledges nothing before every backup of its view has such a copy.
func withPrimary(v view.View, id string) view.View {
	next := v.WithoutBackup(id)
	if v.HasMember(v.Primary) && !faultinjection.Disabled("former-primary") {
		next = next.WithBackups(append(slices.Clone(next.Backups()), v.Primary))
	}
	next.Primary = id
	return next
}

// backupCount tells how many members hold a write beside the primary before it is acknowledged.
func (s Settings) backupCount(v view.View) int {
	if s.AllowNoBackup {
		return min(s.Losses, len(v.Members)-1)
	}
	return s.Losses
}

// afterLeaving is the view once the primary has left as planned. The last but one member gives up its
// place too, where no loss is to be borne: the last one is no majority of two.
func (s *Server) afterLeaving(v view.View) (next view.View, ok bool) {
	if len(v.Backups()) == 0 {
		return v, false
	}
	next = withPrimary(v, v.Backups()[0])
	if s.settings.AllowNoBackup && len(v.Members) == 2 {
		next = next.WithoutMember(v.Primary)
	}
	return next, true
}

// watchPrimary takes over from a primary whose lease has run out.
func (s *Server) watchPrimary(v view.View, me string) {
	s.predecessor = v.Primary
	if s.acceptor.HasActiveLease() || faultinjection.Disabled("takeover") {
		// In turns, so that two backups hinder one another rarely.
		turn := time.Duration(slices.Index(v.Backups(), me))
		s.nextAttempt = time.Now().Add(turn*100*time.Millisecond + rand.N(100*time.Millisecond))
		s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
		return
	}
	s.findNewerView(v)
	if !s.attemptDue(proposePause) {
		return
	}
	if s.decide(v, withPrimary(v, me), false) {
		s.deposed = v.Primary
	}
}

// lead takes one step towards being a primary that may answer, or one step of its duties.
func (s *Server) lead(v view.View, me string) {
	primacy, ready, otherPromised, ledSince := s.leading(v)
	switch {
	case !primacy.IsHeld(v.IsMajority):
		s.leadWithoutLease(v, otherPromised)
		return
	case !s.mayLeadEpoch(v.Epoch):
		s.beginEpoch(v)
		return
	}
	s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
	keep := s.backupsToKeep(v, primacy, ready, ledSince)
	if !ready || len(keep) < len(v.Backups()) || len(keep) < s.settings.backupCount(v) {
		if !s.settleBackups(v, me, primacy, keep) {
			s.changeMembers(v, me, primacy, ledSince) // newcomers may be what is missing
			return
		}
		if s.acceptor.View().Epoch != v.Epoch {
			return // the next step is that of the new epoch
		}
		s.becomeReady(v)
	}
	s.changeMembers(v, me, primacy, ledSince)
	s.sweep()
}

// mayLeadEpoch reports whether an epoch is ours to lead on. One that began before this run of the process, or before the
// disk was last read, is not: messages of the run before may still be under way, and are known by their epoch only. Nor is
// one after which we asked for another view without learning what came of it: that view may be decided at any time, and
// its backups do not hold what we would acknowledge with ours.
func (s *Server) mayLeadEpoch(epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return epoch > s.endedEpoch || faultinjection.Disabled("resumed-epoch")
}

// endEpoch leads an epoch no more, and takes no writes until the next one.
func (s *Server) endEpoch(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.endedEpoch = max(s.endedEpoch, epoch)
}

// beginEpoch decides the next epoch, by our own view or by one that was accepted for it already.
func (s *Server) beginEpoch(v view.View) {
	s.setReady(false)
	if s.attemptDue(proposePause) {
		s.decide(v, v, false)
	}
}

// leadWithoutLease is what a primary does while no majority grants it the lease. Where a voter has promised the next
// epoch to another, we propose our own view for it: the promise may be of a proposer that is gone.
func (s *Server) leadWithoutLease(v view.View, otherPromised bool) {
	s.setReady(false)
	s.findNewerView(v)
	if otherPromised && s.attemptDue(proposePause) {
		s.decide(v, v, false)
	}
}

// backupsToKeep lists the backups that respond, did not fail lately and stand where they should. A new primary keeps
// the former one only where there is nobody else: it has just been lost, or is about to stop.
func (s *Server) backupsToKeep(v view.View, primacy *lease.Lease, ready bool, ledSince time.Time) []string {
	keep := slices.DeleteFunc(s.respondingBackups(v, primacy, ledSince), func(id string) bool {
		return !ready && id == s.predecessor || !s.replicator.IsInSync(id) && s.replicator.HasFailedWithin(id, failedFor)
	})
	worst := s.misplaced(v, primacy)
	if len(keep) == len(v.Backups()) && worst != "" && s.attemptDue(replacePause) {
		keep = slices.DeleteFunc(keep, func(id string) bool { return id == worst })
	}
	return keep
}

// leading notes the epoch that we lead, once at its beginning, and tells how we stand.
func (s *Server) leading(v view.View) (primacy *lease.Lease, ready, otherPromised bool, ledSince time.Time) {
	s.mu.Lock()
	if s.epoch != v.Epoch {
		if s.epoch == 0 || s.epoch+1 != v.Epoch {
			s.ledSince, s.lease = time.Now(), lease.New(s.settings.LeaseTerm)
			s.replicator.Reset()
		} else {
			s.lease = s.lease.ForNextEpoch() // we led the epoch before: who was silent then still is
		}
		s.epoch, s.ready, s.otherPromised = v.Epoch, false, false
		s.mu.Unlock()
		// What came in as backup is wholly in or wholly out before we lead on.
		s.backup.Exclusively(func() {})
		s.renew()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.lease, s.ready, s.otherPromised, s.ledSince
}

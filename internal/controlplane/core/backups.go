package core

import (
	"slices"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
)

// minReadyTime is how long a primary has been ready before it looks for better placed backups.
const minReadyTime = 5 * time.Second

// addresses are where identities listen, for the log.
func addresses(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// backupChoice is what we know where we choose backups.
func (s *Server) backupChoice(v view.View, primacy *lease.Lease) membership.BackupSelector {
	return membership.BackupSelector{View: v, Self: s.acceptor.ID(), Zone: s.ctx.Zone, Predecessor: s.predecessor,
		SinceContact: primacy.TimeSinceContact, FailedWithin: s.replicator.HasFailedWithin, InSync: s.replicator.IsInSync}
}

// backupsToKeep lists the backups that respond, did not fail lately and stand where they should.
func (s *Server) backupsToKeep(v view.View, primacy *lease.Lease, ready bool, ledSince time.Time) []string {
	choice := s.backupChoice(v, primacy)
	keep := choice.RetainedBackups(ready, ledSince)
	if len(keep) < len(v.Backups()) || !s.leadership.IsReady() || time.Since(s.leadership.ReadySince()) <= minReadyTime {
		return keep
	}
	worst := choice.MisplacedBackup()
	if worst != "" && s.attemptDue(replaceInterval) {
		keep = slices.DeleteFunc(keep, func(id string) bool { return id == worst })
	}
	return keep
}

// reconcileReplicas sees to it that enough backups are in sync, and reports whether the view names exactly those.
// Members that are new as backups get a snapshot first; one decision then replaces those that are removed by them. Until
// then the latter may still lead: they have all that was acknowledged, so that the loss of our own disk meanwhile loses
// nothing. Nothing is acknowledged in between, so the snapshots are complete.
func (s *Server) reconcileReplicas(v view.View, primacy *lease.Lease, keep []string) bool {
	s.leadership.EndWrites()
	missing := s.settings.membershipPolicy().BackupCount(v) - len(keep)
	chosen := s.backupChoice(v, primacy).AdditionalBackups(keep, missing)
	if len(chosen) < missing {
		return false
	}
	s.replicator.MarkOutOfSync(chosen)
	backups := s.replicator.SendSnapshots(v, slices.Concat(keep, chosen), s.store.Load())
	if len(backups) < s.settings.membershipPolicy().BackupCount(v) {
		s.wakeRunLoop() // those that failed are not chosen again: the next attempt need not wait
		return false
	}
	if sameMembers(backups, v.Backups()) {
		return true
	}
	return s.decide(v, v.WithBackups(backups), false)
}

// sameMembers reports whether two lists name the same members, in whatever order.
func sameMembers(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

package core

import (
	"slices"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
)

// minReadyTime is how long a primary has to be ready before it moves a backup to a better zone.
const minReadyTime = 5 * time.Second

// addresses returns the addresses of members by their IDs, for the log.
func addresses(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// backupSelector returns a selector of backups for a view, with what this process knows about its members.
func (s *Server) backupSelector(v view.View, primaryLease *lease.Lease) membership.BackupSelector {
	return membership.BackupSelector{View: v, Self: s.acceptor.ID(), Zone: s.ctx.Zone, Predecessor: s.predecessor,
		SinceContact: primaryLease.TimeSinceContact, FailedWithin: s.replicator.HasFailedWithin, InSync: s.replicator.IsInSync}
}

// backupsToKeep lists the backups that respond and have not failed recently. From time to time it leaves out a backup that a
// member in a better zone can replace.
func (s *Server) backupsToKeep(v view.View, primaryLease *lease.Lease, ready bool, ledSince time.Time) []string {
	selector := s.backupSelector(v, primaryLease)
	keep := selector.RetainedBackups(ready, ledSince)
	if len(keep) < len(v.Backups()) || !s.leadership.IsReady() || time.Since(s.leadership.ReadySince()) <= minReadyTime {
		return keep
	}
	misplaced := selector.MisplacedBackup()
	if misplaced != "" && s.attemptDue(replaceInterval) {
		keep = slices.DeleteFunc(keep, func(id string) bool { return id == misplaced })
	}
	return keep
}

// reconcileReplicas brings enough backups in sync, and reports whether the current view then has exactly these backups.
// New backups receive a snapshot first; then a single decision replaces the removed backups by them. Until that decision the
// removed backups may still take over. They have everything that was acknowledged, so losing this process's disk in the
// meantime loses no data. No write is acknowledged in between, so the snapshots are complete.
func (s *Server) reconcileReplicas(v view.View, primaryLease *lease.Lease, keep []string) bool {
	s.leadership.EndWrites()
	missing := s.settings.membershipPolicy().BackupCount(v) - len(keep)
	added := s.backupSelector(v, primaryLease).AdditionalBackups(keep, missing)
	if len(added) < missing {
		return false
	}
	s.replicator.MarkOutOfSync(added)
	backups := s.replicator.SendSnapshots(v, slices.Concat(keep, added), s.store.Load())
	if len(backups) < s.settings.membershipPolicy().BackupCount(v) {
		s.wakeRunLoop() // backups that just failed are not chosen again, so retry at once
		return false
	}
	if sameMembers(backups, v.Backups()) {
		return true
	}
	return s.decide(v, v.WithBackups(backups), false)
}

// sameMembers reports whether two lists contain the same member IDs in any order.
func sameMembers(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

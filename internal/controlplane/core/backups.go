package core

import (
	"slices"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
)

// How long backups are kept or left out.
const (
	backupSilentAfter   = 1500 * time.Millisecond // a backup that has not answered for so long is removed
	failedTTL           = 5 * time.Second         // a backup that failed is not chosen again for so long where there are others
	retryFailedAfter    = 500 * time.Millisecond  // and for so long where there are none
	minReadyTime        = 5 * time.Second         // a primary ready for so long may look for better placed backups
	maxContactAge       = time.Second             // a member heard within this span can be chosen
	minTimeSinceFailure = 10 * time.Second        // a better placed member must not have failed within this span
)

// addresses are where identities listen, for the log.
func addresses(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// respondingBackups are the backups that are not silent.
func (s *Server) respondingBackups(v view.View, primacy *lease.Lease, ledSince time.Time) []string {
	var out []string
	for _, id := range v.Backups() {
		if primacy.TimeSinceContact(id, ledSince) <= backupSilentAfter {
			out = append(out, id)
		}
	}
	return out
}

// reconcileReplicas sees to it that enough backups are in sync, and reports whether the view names exactly those.
// Members that are new as backups get a snapshot first; one decision then replaces those that are removed by them. Until
// then the latter may still lead: they have all that was acknowledged, so that the loss of our own disk meanwhile loses
// nothing. Nothing is acknowledged in between, so the snapshots are complete.
func (s *Server) reconcileReplicas(v view.View, self string, primacy *lease.Lease, keep []string) bool {
	s.leadership.EndWrites()
	missing := s.settings.membershipPolicy().BackupCount(v) - len(keep)
	chosen := s.chooseBackups(v, self, primacy, keep, missing)
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

// chooseBackups picks members that answer as backups beside those that are kept, zones that have no replica yet first. A
// member that failed a while ago, and the former primary, are chosen only where there are not enough others.
func (s *Server) chooseBackups(v view.View, self string, primacy *lease.Lease, keep []string, count int) []string {
	used := map[string]bool{s.ctx.Zone: true}
	for _, id := range keep {
		used[v.ZoneOf(id)] = true
	}
	var free, lastResort []view.Member
	for _, m := range v.Members {
		switch {
		case m.ID == self || slices.Contains(keep, m.ID) || primacy.TimeSinceContact(m.ID, time.Time{}) > maxContactAge:
		case m.ID != s.predecessor && !s.replicator.HasFailedWithin(m.ID, failedTTL):
			free = append(free, m)
		case !s.replicator.HasFailedWithin(m.ID, retryFailedAfter):
			lastResort = append(lastResort, m)
		}
	}
	chosen := membership.Spread(free, used, count)
	return append(chosen, membership.Spread(lastResort, used, count-len(chosen))...)
}

// wronglyPlacedBackup is a backup in a zone that has another replica, while a member in a zone without one has answered
// steadily: a backup there outlives the loss of a zone.
func (s *Server) wronglyPlacedBackup(v view.View, primacy *lease.Lease) string {
	if !s.leadership.IsReady() || time.Since(s.leadership.ReadySince()) <= minReadyTime {
		return ""
	}
	used, worst := map[string]bool{s.ctx.Zone: true}, ""
	for _, id := range v.Backups() {
		if used[v.ZoneOf(id)] {
			worst = id
		}
		used[v.ZoneOf(id)] = true
	}
	for _, m := range v.Members {
		if worst != "" && !used[m.Zone] && primacy.TimeSinceContact(m.ID, time.Time{}) < maxContactAge && !s.replicator.HasFailedWithin(m.ID, minTimeSinceFailure) {
			return worst
		}
	}
	return ""
}

package core

import (
	"slices"
	"sort"
	"time"

	"yarrowridge/internal/lease"
	"yarrowridge/internal/view"
)

// How long backups are kept or left out.
const (
	snapshotTimeout = 2 * time.Second  // one part of a snapshot
	failedFor       = 5 * time.Second  // a backup that failed is not chosen again for so long
	calmFor         = 5 * time.Second  // a primary ready for so long may look for better placed backups
	aliveWithin     = time.Second      // a member heard within this span can be chosen
	steadyFor       = 10 * time.Second // a better placed member must not have failed within this span
)

// addrsOf names where identities listen, for the log.
func addrsOf(v view.View, ids []string) []string {
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
		if primacy.Gone(id, ledSince) <= backupSilentAfter {
			out = append(out, id)
		}
	}
	return out
}

// addBackups finds a primary its missing backups, copies everything to them, and only then puts them
// into the view. Nothing is acknowledged in between, so the copies are whole.
func (s *Server) addBackups(v view.View, me string, primacy *lease.Lease) bool {
	chosen := s.chooseBackups(v, me, primacy, s.settings.backupCount(v)-len(v.Backups()))
	for _, id := range chosen {
		delete(s.copiedTo, id)
	}
	if chosen = s.copyAll(v, chosen); len(chosen) == 0 {
		return false
	}
	return s.decide(v, v.WithBackups(append(slices.Clone(v.Backups()), chosen...)), false)
}

// chooseBackups picks members that answer as new backups, zones that hold no copy yet first.
func (s *Server) chooseBackups(v view.View, me string, primacy *lease.Lease, count int) []string {
	used := map[string]bool{s.ctx.Zone: true}
	for _, id := range v.Backups() {
		used[v.ZoneOf(id)] = true
	}
	var free []view.Member
	for _, m := range v.Members {
		if m.Id != me && !v.IsBackup(m.Id) && primacy.Gone(m.Id, time.Time{}) <= aliveWithin && time.Since(s.failedAt[m.Id]) >= failedFor {
			free = append(free, m)
		}
	}
	sort.Slice(free, func(i, j int) bool { return free[i].Id < free[j].Id })
	return spread(free, used, count)
}

// spread picks members, those of zones not used yet first.
func spread(from []view.Member, used map[string]bool, count int) []string {
	free := slices.Clone(from)
	var out []string
	for len(out) < count && len(free) > 0 {
		best := max(0, slices.IndexFunc(free, func(m view.Member) bool { return !used[m.Zone] }))
		out = append(out, free[best].Id)
		used[free[best].Zone] = true
		free = slices.Delete(free, best, best+1)
	}
	return out
}

// misplaced is a backup in a zone that holds another copy, while a member of a zone without one
// has answered steadily: a backup there outlives the loss of a whole zone.
func (s *Server) misplaced(v view.View, primacy *lease.Lease) string {
	s.mu.Lock()
	calm := s.ready && time.Since(s.readySince) > calmFor
	s.mu.Unlock()
	if !calm {
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
		if worst != "" && !used[m.Zone] && primacy.Gone(m.Id, time.Time{}) < aliveWithin && time.Since(s.failedAt[m.Id]) > steadyFor {
			return worst
		}
	}
	return ""
}

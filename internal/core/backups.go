package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/lease"
	"yarrowridge/internal/store"
	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
)

// How long backups are kept or left out.
const (
	copyWait    = 2 * time.Second  // one part of a copy
	failedFor   = 5 * time.Second  // a backup that failed is not chosen again for so long
	calmFor     = 5 * time.Second  // a primary ready for so long may look for better placed backups
	aliveWithin = time.Second      // a member heard within this span can be chosen
	steadyFor   = 10 * time.Second // a better placed member must not have failed within this span
)

// addrsOf names where identities listen, for the log.
func addrsOf(v view.View, ids []string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, v.Addr(id))
	}
	return out
}

// withPrimary is the view in which a backup leads. The other backups stay: each holds every write
// acknowledged so far, and the heir acknowledges none before it has copied its state to all of them.
func withPrimary(v view.View, id string) view.View {
	next := v.WithoutBackup(id)
	next.Primary = id
	return next
}

// backupCount tells how many members hold a write beside the primary before it is acknowledged.
func (s Settings) backupCount(v view.View) int {
	if s.SingleMember {
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
	if s.settings.SingleMember && len(v.Members) == 2 {
		next = next.WithoutMember(v.Primary)
	}
	return next, true
}

// watchPrimary takes over from a primary whose lease has run out.
func (s *Server) watchPrimary(v view.View, me string) {
	if s.voter.Leased() || strike.Out("takeover") {
		// In turns, so that two backups hinder one another rarely.
		turn := time.Duration(slices.Index(v.Backups(), me))
		s.nextAttempt = time.Now().Add(turn*100*time.Millisecond + rand.N(100*time.Millisecond))
		s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
		return
	}
	s.findNewerView(v)
	if !s.waitTurn(300 * time.Millisecond) {
		return
	}
	if s.decide(v, withPrimary(v, me), false) {
		s.deposed = v.Primary
	}
}

// lead takes one step towards being a primary that may answer, or one step of its duties.
func (s *Server) lead(v view.View, me string) {
	ls, ready, vowed, began := s.leading(v)
	if !ls.Stands(v.IsMajority) {
		s.setReady(false)
		s.findNewerView(v)
		if vowed && s.waitTurn(300*time.Millisecond) {
			s.decide(v, v, false)
		}
		return
	}
	s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
	keep := s.respondingBackups(v, ls, began)
	if !ready && len(keep) == len(v.Backups()) {
		keep = s.copyAll(v, keep)
	}
	if worst := s.misplaced(v, ls); len(keep) == len(v.Backups()) && worst != "" && s.waitTurn(2*time.Second) {
		keep = slices.DeleteFunc(keep, func(id string) bool { return id == worst })
	}
	switch {
	case len(keep) < len(v.Backups()):
		s.setReady(false)
		s.ctx.Log.Warn("Backups are let go.", "kept", addrsOf(v, keep), "before", addrsOf(v, v.Backups()))
		s.decide(v, v.WithBackups(keep), false)
		return
	case len(keep) < s.settings.backupCount(v):
		s.setReady(false)
		if !s.addBackups(v, me, ls) {
			s.changeMembers(v, me, ls, began) // newcomers may be what is missing
		}
		return
	case !ready:
		s.becomeReady(v)
	}
	s.changeMembers(v, me, ls, began)
	s.sweep()
}

// leading notes the epoch that we lead, once at its beginning, and tells how we stand.
func (s *Server) leading(v view.View) (ls *lease.Lease, ready, vowed bool, began time.Time) {
	s.mu.Lock()
	if s.epoch != v.Epoch {
		if s.epoch == 0 || s.epoch+1 != v.Epoch {
			s.ledSince, s.lease = time.Now(), lease.New(s.settings.LeaseTerm)
			clear(s.copiedTo)
		} else {
			s.lease = s.lease.Next() // we led the epoch before: who was silent then still is
		}
		s.epoch, s.ready, s.otherPromised = v.Epoch, false, false
		s.mu.Unlock()
		// What came in as backup is wholly in or wholly out before we lead on.
		s.finishStores()
		s.renew()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.lease, s.ready, s.otherPromised, s.ledSince
}

// finishStores waits for a store that is under way.
func (s *Server) finishStores() {
	s.storeGate.Lock()
	defer s.storeGate.Unlock()
}

// respondingBackups are the backups that are not silent.
func (s *Server) respondingBackups(v view.View, ls *lease.Lease, began time.Time) []string {
	var out []string
	for _, id := range v.Backups() {
		if ls.Gone(id, began) <= backupSilentAfter {
			out = append(out, id)
		}
	}
	return out
}

// addBackups finds a primary its missing backups, copies everything to them, and only then puts them
// into the view. Nothing is acknowledged in between, so the copies are whole.
func (s *Server) addBackups(v view.View, me string, ls *lease.Lease) bool {
	chosen := s.chooseBackups(v, me, ls, s.settings.backupCount(v)-len(v.Backups()))
	for _, id := range chosen {
		delete(s.copiedTo, id)
	}
	if chosen = s.copyAll(v, chosen); len(chosen) == 0 {
		return false
	}
	return s.decide(v, v.WithBackups(append(slices.Clone(v.Backups()), chosen...)), false)
}

// chooseBackups picks members that answer as new backups, zones that hold no copy yet first.
func (s *Server) chooseBackups(v view.View, me string, ls *lease.Lease, count int) []string {
	used := map[string]bool{s.ctx.Zone: true}
	for _, id := range v.Backups() {
		used[v.ZoneOf(id)] = true
	}
	var free []view.Member
	for _, m := range v.Members {
		if m.Id != me && !v.IsBackup(m.Id) && ls.Gone(m.Id, time.Time{}) <= aliveWithin && time.Since(s.failedAt[m.Id]) >= failedFor {
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
func (s *Server) misplaced(v view.View, ls *lease.Lease) string {
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
		if worst != "" && !used[m.Zone] && ls.Gone(m.Id, time.Time{}) < aliveWithin && time.Since(s.failedAt[m.Id]) > steadyFor {
			return worst
		}
	}
	return ""
}

// copyAll brings backups to exactly our state, those that are not there yet, and tells which are.
func (s *Server) copyAll(v view.View, ids []string) []string {
	var todo []string
	for _, id := range ids {
		if !s.copiedTo[id] {
			todo = append(todo, id)
		}
	}
	if len(todo) > 0 {
		whole := s.store.Load().Whole()
		s.snapshots++
		failed := callAll(todo, func(id string) bool { return s.copyTo(v, id, whole, s.snapshots) })
		for _, id := range todo {
			s.copiedTo[id] = true
		}
		s.noteFailed(failed)
	}
	var out []string
	for _, id := range ids {
		if s.copiedTo[id] {
			out = append(out, id)
		}
	}
	return out
}

// callAll calls do for all identities at once and tells for which it was false.
func callAll(ids []string, do func(id string) bool) []string {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed []string
	for _, id := range ids {
		all.Go(func() {
			if !do(id) {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, id)
			}
		})
	}
	all.Wait()
	return failed
}

// noteFailed notes backups that do not hold what we hold.
func (s *Server) noteFailed(ids []string) {
	for _, id := range ids {
		delete(s.copiedTo, id)
		s.failedAt[id] = time.Now()
	}
}

// copyTo sends our whole state to one backup, in parts.
func (s *Server) copyTo(v view.View, id string, whole store.Batch, turn uint64) bool {
	in := SnapshotRequest{View: v, Primary: s.voter.Id(), Snapshot: turn, Version: whole.Seq}
	size := 0
	send := func() bool {
		ctx, end := context.WithTimeout(s.ctx, copyWait)
		defer end()
		var out ReplicateResponse
		err := s.call(ctx, v.Addr(id), "core.copy", &in, &out)
		if err == nil && out.Id != id {
			err = eris.Errorf("identity %s, %s expected", out.Id, id)
		}
		if err != nil {
			s.ctx.Log.Warn("Copy to backup failed.", "peer", v.Addr(id), "trouble", err.Error())
		}
		in.Part++
		in.Puts, size = nil, 0
		return err == nil
	}
	for _, p := range whole.Puts {
		in.Puts = append(in.Puts, p)
		if size += len(p.Key) + len(p.Val); size > maxBatchBytes && !send() {
			return false
		}
	}
	in.Last = true
	return send()
}

// replicate has every backup of the view hold a batch, and tells which did not.
func (s *Server) replicate(v view.View, b store.Batch) []string {
	return callAll(v.Backups(), func(id string) bool {
		ctx, end := context.WithTimeout(s.ctx, replicateTimeout)
		defer end()
		var out ReplicateResponse
		err := s.call(ctx, v.Addr(id), "core.hold", &ReplicateRequest{View: v, Primary: v.Primary, Batch: b}, &out)
		if err == nil && out.Id != id {
			err = eris.Errorf("identity %s, %s expected", out.Id, id)
		}
		if err != nil {
			s.ctx.Log.Warn("Backup did not hold a write.", "peer", v.Addr(id), "trouble", err.Error())
		}
		return err == nil
	})
}

package core

import (
	"context"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// How long a change of the members waits.
const (
	memberChangePause = 300 * time.Millisecond // after one that was not decided
	candidateFor      = 2 * time.Second        // a request to join holds for so long
	quietFor          = 600 * time.Millisecond // a member silent for so long may be gone
)

// takeJoin notes a process that wants to become a member, once it has answered at its address: a
// request that was long under way may be that of a process that is gone.
func (s *Server) takeJoin(ctx context.Context, request *JoinRequest) (*coreapi.Empty, error) {
	member := request.Member
	if v := s.acceptor.View(); v.Primary != s.acceptor.ID() {
		return nil, wire.StatusError{Code: coreapi.CodeNotPrimary}
	}
	if member.Addr == s.settings.Addr {
		return nil, wire.StatusError{Code: coreapi.CodeOwnAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if status, err := s.statusOf(ctx, member.Addr); err != nil || status.ID != member.ID {
		return nil, wire.StatusError{Code: coreapi.CodeNotReached}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known, ok := s.candidates[member.ID]
	if !ok || now.Sub(known.lastAsked) > candidateFor {
		known.firstAsked = now
	}
	known.member, known.lastAsked = member, now
	s.candidates[member.ID] = known
	return &coreapi.Empty{}, nil
}

// nextCandidate is the process that is to become a member next, or nil. One that took the place of a
// member at its address comes first.
func (s *Server) nextCandidate(v view.View) *candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newcomer *candidate
	for id, known := range s.candidates {
		switch {
		case time.Since(known.lastAsked) > candidateFor || v.Addr(id) == known.member.Addr:
			delete(s.candidates, id)
		case newcomer == nil || before(v, known, *newcomer):
			newcomer = &known
		}
	}
	return newcomer
}

// before orders newcomers: those that take a member's place, then those that asked first.
func before(v view.View, a, b candidate) bool {
	if x, y := supersedes(v, a.member), supersedes(v, b.member); x != y {
		return x
	}
	return a.firstAsked.Before(b.firstAsked)
}

// supersedes reports whether a newcomer proves a member gone, or is that member at a new address.
func supersedes(v view.View, newcomer view.Member) bool {
	return slices.ContainsFunc(v.Members, func(m view.Member) bool { return m.Addr == newcomer.Addr || m.ID == newcomer.ID })
}

// changeMembers changes the members by one step where that is due.
func (s *Server) changeMembers(v view.View, me string, primacy *lease.Lease, ledSince time.Time) {
	if time.Now().Before(s.nextMemberChange) {
		return
	}
	newcomer := s.nextCandidate(v)
	silence := func(id string) time.Duration {
		switch id {
		case me:
			return 0
		case s.deposed:
			return primacy.TimeSinceContact(id, ledSince.Add(-s.settings.LeaseTerm)) // its lease had run out when we took over
		}
		return primacy.TimeSinceContact(id, ledSince)
	}
	next, ok := s.nextMembers(v, newcomer, silence)
	if !ok {
		return
	}
	if newcomer != nil {
		primacy.RecordContact(newcomer.member.ID) // it answered when it asked to join; nobody else has asked it yet
	}
	s.ctx.Log.Info("Members change.", "from", len(v.Members), "to", len(next.Members))
	if !s.decide(v, next, false) {
		s.nextMemberChange = time.Now().Add(memberChangePause)
	}
}

// nextMembers is the next view where a member comes, goes, or is replaced.
func (s *Server) nextMembers(v view.View, newcomer *candidate, silence func(string) time.Duration) (view.View, bool) {
	size := v.TargetSize
	if size == 0 {
		size = len(v.Members)
	}
	lost, lostBackup := s.longestLost(v, silence)
	switch {
	case newcomer != nil && supersedes(v, newcomer.member):
		next := v
		for _, m := range v.Members {
			if m.Addr == newcomer.member.Addr || m.ID == newcomer.member.ID {
				next = next.WithoutMember(m.ID)
			}
		}
		v = next.WithMember(newcomer.member)
	case newcomer != nil && lost != "":
		v = v.WithoutMember(lost).WithMember(newcomer.member)
	case newcomer != nil && len(v.Members) < s.settings.MaxMembers:
		live, sure := countAlive(v, *newcomer, silence)
		if !sure {
			return v, false
		}
		v, size = v.WithMember(newcomer.member), max(size, live)
	case newcomer != nil && lostBackup != "":
		v = v.WithoutMember(lostBackup).WithMember(newcomer.member)
	case lost != "" && (len(v.Members) > size || s.isTooManyByOne(v)):
		v = v.WithoutMember(lost)
	default:
		return v, false
	}
	v.TargetSize = size
	return v, true
}

// isTooManyByOne reports whether fewer members are a majority once one of them is dropped, and enough are left to bear the
// losses. So a machine that was replaced, the new one first, does not count among the members for ever: with four members
// of which three run, the next loss would leave no majority. A member that was only cut off asks to join again.
func (s *Server) isTooManyByOne(v view.View) bool {
	left := len(v.Members) - 1
	return left%2 == 1 && left >= 2*s.settings.Losses+1
}

// longestLost is the member silent for longest of those that are lost, or "": of the members that are no backups, and of
// the backups. A backup that is only cut off holds all that was acknowledged, so that it stays a member until another
// one has a copy, or there is no room for the newcomer that may get one.
func (s *Server) longestLost(v view.View, silence func(string) time.Duration) (lost, lostBackup string) {
	for _, m := range v.Members {
		longest := &lost
		if v.IsBackup(m.ID) && !faultinjection.Disabled("lost-backup") {
			longest = &lostBackup
		}
		if quiet := silence(m.ID); quiet > s.settings.LostAfter && (*longest == "" || quiet > silence(*longest)) {
			*longest = m.ID
		}
	}
	return lost, lostBackup
}

// countAlive counts the newcomer and the members heard since it asked to join. So a newcomer that
// comes for a member just lost is told from one that comes beside it: the count is sure once each of
// the other members has been silent for a while.
func countAlive(v view.View, newcomer candidate, silence func(string) time.Duration) (live int, sure bool) {
	live, sure = 1, true
	for _, m := range v.Members {
		switch quiet := silence(m.ID); {
		case quiet < time.Since(newcomer.firstAsked):
			live++
		case quiet < quietFor:
			sure = false
		}
	}
	return live, sure
}

package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"yarrowridge/internal/lease"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// How long the steps of membership take.
const (
	findPause    = 200 * time.Millisecond // between two looks for a fleet
	joinPause    = time.Second            // between two wishes to join that were heard
	retryPause   = 300 * time.Millisecond // after one that was not
	candidateFor = 2 * time.Second        // a wish to join holds for so long
	quietFor     = 600 * time.Millisecond // a member silent for so long may be gone
)

// foundingAddrs are the addresses that found the fleet, without doubles, the lowest first.
func (s Settings) foundingAddrs() []string {
	all := slices.Clone(s.Founders)
	if len(all) == 0 && s.Bootstrap {
		all = slices.Clone(s.Seeds)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// findFleet looks for the fleet that we may be part of, or founds one where the settings say so.
func (s *Server) findFleet() {
	if !s.waitTurn(findPause) {
		return
	}
	low := s.settings.foundingAddrs()
	told := s.askStatus(append(slices.Clone(low), *s.seeds.Load()...))
	for _, t := range told {
		if t.View.Epoch > 0 {
			s.learn(t.View)
		}
	}
	if s.voter.View().Epoch > 0 || len(low) == 0 || low[0] != s.settings.Addr {
		return
	}
	cur := view.View{}
	for _, a := range low {
		t, ok := told[a]
		if !ok || t.View.Epoch > 0 || t.Id == "" {
			return
		}
		cur.Members = append(cur.Members, view.Member{Id: t.Id, Addr: a, Zone: t.Zone})
	}
	s.decide(cur, foundingView(cur, s.settings.Losses), true)
}

// foundingView is the first view: the first member leads, its backups stand in other zones than it and
// one another where there are such.
func foundingView(cur view.View, losses int) view.View {
	next := cur
	next.TargetSize = len(cur.Members)
	next.Primary = cur.Members[0].Id
	used := map[string]bool{cur.Members[0].Zone: true}
	return next.WithBackups(spread(cur.Members[1:], used, losses))
}

// SetSeeds replaces the addresses at which the fleet is looked for: the settings have changed. Who founds a
// fleet stays as it was at the start.
//
//	srv.SetSeeds([]string{"127.0.0.1:7401"})
func (s *Server) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

// join asks the primary to become a member; where it can't be asked, it asks all who the primary is.
func (s *Server) join(v view.View) {
	if time.Now().Before(s.nextAttempt) {
		return
	}
	ctx, end := context.WithTimeout(s.ctx, stepTimeout)
	err := s.call(ctx, v.Addr(v.Primary), "core.join", &JoinRequest{Member: view.Member{Id: s.voter.Id(), Addr: s.settings.Addr, Zone: s.ctx.Zone}}, nil)
	end()
	if err == nil {
		s.waitTurn(joinPause)
		return
	}
	s.ctx.Log.Debug("No answer to our wish to join.", "trouble", err.Error())
	s.waitTurn(retryPause)
	s.askAround(v)
}

// findNewerView asks for a newer view where no lease of the primary has run here for long: we may have
// been dropped while we were cut off.
func (s *Server) findNewerView(v view.View) {
	if s.voter.Leased() {
		s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
		return
	}
	if time.Now().Before(s.nextViewSearch) {
		return
	}
	s.nextViewSearch = time.Now().Add(s.settings.LeaseTerm/2 + rand.N(s.settings.LeaseTerm))
	s.askAround(v)
}

func (s *Server) askAround(v view.View) {
	to := slices.Clone(*s.seeds.Load())
	for _, m := range v.Members {
		to = append(to, m.Addr)
	}
	for _, t := range s.askStatus(append(to, s.settings.Founders...)) {
		s.learn(t.View)
	}
}

// takeJoin notes a process that wants to become a member, once it has answered at its address: a
// wish that was long under way may be that of a process that is gone.
func (s *Server) takeJoin(ctx context.Context, in *JoinRequest) (*Empty, error) {
	if v := s.voter.View(); v.Primary != s.voter.Id() {
		return nil, wire.Fault{Code: NotPrimary}
	}
	if in.Member.Addr == s.settings.Addr {
		return nil, wire.Fault{Code: "own-address"}
	}
	ctx, end := context.WithTimeout(ctx, stepTimeout)
	defer end()
	var told view.StatusResponse
	if s.call(ctx, in.Member.Addr, "view.ask", &view.StatusRequest{}, &told) != nil || told.Id != in.Member.Id {
		return nil, wire.Fault{Code: "not-reached"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sp, ok := s.candidates[in.Member.Id]
	if !ok || now.Sub(sp.lastAsked) > candidateFor {
		sp.firstAsked = now
	}
	sp.member, sp.lastAsked = in.Member, now
	s.candidates[in.Member.Id] = sp
	return &Empty{}, nil
}

// nextCandidate is the process that is to become a member next, or nil. One that took the place of a
// member at its address comes first.
func (s *Server) nextCandidate(v view.View) *candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var come *candidate
	for id, sp := range s.candidates {
		switch {
		case time.Since(sp.lastAsked) > candidateFor || v.Addr(id) == sp.member.Addr:
			delete(s.candidates, id)
		case come == nil || before(v, sp, *come):
			come = &sp
		}
	}
	return come
}

// before orders newcomers: those that take a member's place, then those that asked first.
func before(v view.View, a, b candidate) bool {
	if x, y := supersedes(v, a.member), supersedes(v, b.member); x != y {
		return x
	}
	return a.firstAsked.Before(b.firstAsked)
}

// supersedes tells whether a newcomer proves a member gone, or is that member at a new address.
func supersedes(v view.View, who view.Member) bool {
	return slices.ContainsFunc(v.Members, func(m view.Member) bool { return m.Addr == who.Addr || m.Id == who.Id })
}

// changeMembers changes the members by one step where that is due.
func (s *Server) changeMembers(v view.View, me string, ls *lease.Lease, began time.Time) {
	if time.Now().Before(s.nextMemberChange) {
		return
	}
	come := s.nextCandidate(v)
	silence := func(id string) time.Duration {
		switch id {
		case me:
			return 0
		case s.deposed:
			return ls.Gone(id, began.Add(-s.settings.LeaseTerm)) // its lease had run out when we took over
		}
		return ls.Gone(id, began)
	}
	next, ok := s.nextMembers(v, come, silence)
	if !ok {
		return
	}
	if come != nil {
		ls.Saw(come.member.Id) // it answered when it asked to join; nobody else has asked it yet
	}
	s.ctx.Log.Info("Members change.", "from", len(v.Members), "to", len(next.Members))
	if !s.decide(v, next, false) {
		s.nextMemberChange = time.Now().Add(retryPause)
	}
}

// nextMembers is the next view where a member comes, goes, or is replaced.
func (s *Server) nextMembers(v view.View, come *candidate, silence func(string) time.Duration) (view.View, bool) {
	seats := v.TargetSize
	if seats == 0 {
		seats = len(v.Members)
	}
	lost := s.longestLost(v, silence)
	switch {
	case come != nil && supersedes(v, come.member):
		next := v
		for _, m := range v.Members {
			if m.Addr == come.member.Addr || m.Id == come.member.Id {
				next = next.WithoutMember(m.Id)
			}
		}
		v = next.WithMember(come.member)
	case come != nil && lost != "":
		v = v.WithoutMember(lost).WithMember(come.member)
	case come != nil && len(v.Members) < s.settings.MaxMembers:
		live, sure := countAlive(v, *come, silence)
		if !sure {
			return v, false
		}
		v, seats = v.WithMember(come.member), max(seats, live)
	case lost != "" && len(v.Members) > seats:
		v = v.WithoutMember(lost)
	default:
		return v, false
	}
	v.TargetSize = seats
	return v, true
}

// longestLost is the member silent for longest of those that are lost, or "".
func (s *Server) longestLost(v view.View, silence func(string) time.Duration) string {
	lost := ""
	for _, m := range v.Members {
		if quiet := silence(m.Id); quiet > s.settings.LostAfter && (lost == "" || quiet > silence(lost)) {
			lost = m.Id
		}
	}
	return lost
}

// countAlive counts the newcomer and the members heard since it asked to join. So a newcomer that
// comes for a member just lost is told from one that comes beside it: the count is sure once each of
// the other members has been silent for a while.
func countAlive(v view.View, come candidate, silence func(string) time.Duration) (live int, sure bool) {
	live, sure = 1, true
	for _, m := range v.Members {
		switch quiet := silence(m.Id); {
		case quiet < time.Since(come.firstAsked):
			live++
		case quiet < quietFor:
			sure = false
		}
	}
	return live, sure
}

package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
	"yarrowridge/internal/controlplane/view"
)

// About how long it is between two attempts to find the fleet or to join it.
const (
	findPause      = 200 * time.Millisecond // to find one
	joinPause      = time.Second            // to join, after a request that was heard
	joinRetryPause = 300 * time.Millisecond // to join, after one that was not
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
	if !s.attemptDue(findPause) {
		return
	}
	founders := s.settings.foundingAddrs()
	statuses := s.askStatus(append(slices.Clone(founders), *s.seeds.Load()...))
	for _, status := range statuses {
		if status.View.Epoch > 0 {
			s.learn(status.View)
		}
	}
	if s.acceptor.View().Epoch > 0 || len(founders) == 0 || founders[0] != s.settings.Addr {
		return
	}
	current := view.View{}
	for _, addr := range founders {
		status, ok := statuses[addr]
		if !ok || status.View.Epoch > 0 || status.ID == "" {
			return
		}
		current.Members = append(current.Members, view.Member{ID: status.ID, Addr: addr, Zone: status.Zone})
	}
	s.decide(current, foundingView(current, s.settings.Losses), true)
}

// foundingView is the first view: the first member leads, its backups stand in other zones than it and
// one another where there are such.
func foundingView(current view.View, losses int) view.View {
	next := current
	next.TargetSize = len(current.Members)
	next.Primary = current.Members[0].ID
	used := map[string]bool{current.Members[0].Zone: true}
	return next.WithBackups(spread(current.Members[1:], used, losses))
}

// SetSeeds replaces the addresses at which the fleet is looked for: the settings have changed. Who founds a
// fleet stays as it was at the start.
func (s *Server) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

// join asks the primary to become a member; where it can't be asked, it asks all who the primary is.
func (s *Server) join(v view.View) {
	if time.Now().Before(s.nextAttempt) {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	request := &JoinRequest{Member: view.Member{ID: s.acceptor.ID(), Addr: s.settings.Addr, Zone: s.ctx.Zone}}
	err := s.call(ctx, v.Addr(v.Primary), "core.join", request, nil)
	cancel()
	if err == nil {
		s.attemptDue(joinPause)
		return
	}
	s.ctx.Log.Debug("No answer to our request to join.", "error", err.Error())
	s.attemptDue(joinRetryPause)
	s.askAround(v)
}

// findNewerView asks for a newer view where no lease of the primary has run here for long: we may have
// been dropped while we were cut off.
func (s *Server) findNewerView(v view.View) {
	if s.acceptor.HasActiveLease() {
		s.nextViewSearch = time.Now().Add(2 * s.settings.LeaseTerm)
		return
	}
	if time.Now().Before(s.nextViewSearch) {
		return
	}
	s.nextViewSearch = time.Now().Add(s.settings.LeaseTerm/2 + rand.N(s.settings.LeaseTerm))
	s.askAround(v)
}

// askAround asks seeds, members and founders which view they know, and learns the newest.
func (s *Server) askAround(v view.View) {
	addrs := slices.Clone(*s.seeds.Load())
	for _, m := range v.Members {
		addrs = append(addrs, m.Addr)
	}
	for _, status := range s.askStatus(append(addrs, s.settings.Founders...)) {
		s.learn(status.View)
	}
}

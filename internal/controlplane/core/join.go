package core

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
)

// Average pauses between two attempts to find or join the fleet; attemptDue randomizes them.
const (
	findInterval      = 200 * time.Millisecond // to find the fleet
	joinInterval      = time.Second            // to join, after a request that succeeded
	joinRetryInterval = 300 * time.Millisecond // to join, after a request that failed
)

// attemptDue reports whether the next attempt may be made now, and if so schedules the one after it. The pause is randomized
// between half and one and a half times the given one, so that members with the same goal don't conflict repeatedly.
func (s *Server) attemptDue(pause time.Duration) bool {
	if time.Now().Before(s.nextAttempt) {
		return false
	}
	s.nextAttempt = time.Now().Add(pause/2 + rand.N(pause))
	return true
}

// findFleet searches for an existing fleet, or founds one if the settings say so.
func (s *Server) findFleet() {
	if !s.attemptDue(findInterval) {
		return
	}
	if founders := s.finder.FindFleet(); len(founders) > 0 {
		s.decide(view.View{Members: founders}, membership.InitialView(founders, s.settings.Losses), true)
	}
}

// SetSeeds replaces the seed addresses after a change of the settings. The founding addresses stay as they were at startup.
func (s *Server) SetSeeds(seeds []string) { s.finder.SetSeeds(seeds) }

// join asks the primary to make this process a member. If that fails, it searches for a newer view, which may have another
// primary.
func (s *Server) join(v view.View) {
	if time.Now().Before(s.nextAttempt) {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	request := &JoinRequest{Member: view.Member{ID: s.acceptor.ID(), Addr: s.settings.Addr, Zone: s.ctx.Zone}}
	err := s.call(ctx, v.Addr(v.Primary), "core.join", request, nil)
	cancel()
	if err == nil {
		s.attemptDue(joinInterval)
		return
	}
	s.ctx.Log.Debug("Request to join failed.", "error", err.Error())
	s.attemptDue(joinRetryInterval)
	s.finder.Search(v)
}

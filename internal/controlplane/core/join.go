package core

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/membership"
	"yarrowridge/internal/controlplane/view"
)

// About how long it is between two attempts to find the fleet or to join it.
const (
	findInterval      = 200 * time.Millisecond // to find one
	joinInterval      = time.Second            // to join, after a request that was heard
	joinRetryInterval = 300 * time.Millisecond // to join, after one that was not
)

// attemptDue reports whether the next attempt may be made, and if so sets the earliest time of the one after it: a random
// time around the pause from now, so that members that wait for the same don't hinder one another again and again.
func (s *Server) attemptDue(pause time.Duration) bool {
	if time.Now().Before(s.nextAttempt) {
		return false
	}
	s.nextAttempt = time.Now().Add(pause/2 + rand.N(pause))
	return true
}

// findFleet looks for the fleet that we may be part of, or founds one where the settings say so.
func (s *Server) findFleet() {
	if !s.attemptDue(findInterval) {
		return
	}
	if founders := s.finder.FindFleet(); len(founders) > 0 {
		s.decide(view.View{Members: founders}, membership.InitialView(founders, s.settings.Losses), true)
	}
}

// SetSeeds replaces the addresses at which the fleet is looked for: the settings have changed. Who founds a fleet stays as
// it was at the start.
func (s *Server) SetSeeds(seeds []string) { s.finder.SetSeeds(seeds) }

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
		s.attemptDue(joinInterval)
		return
	}
	s.ctx.Log.Debug("No answer to our request to join.", "error", err.Error())
	s.attemptDue(joinRetryInterval)
	s.finder.Search(v)
}

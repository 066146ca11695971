package core

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/lease"
	"yarrowridge/internal/view"
)

// renew asks all voters to lease us the primacy. It runs beside the run loop, so that a lease
// goes on while a copy or a decision takes its time.
//
// A primary that no majority answers only asks for signs of life, until one does: a request that
// arrives, but whose answer does not, would keep the voters from following another.
func (s *Server) renew() {
	v := s.voter.View()
	s.mu.Lock()
	lead := v.Primary == s.voter.Id() && s.epoch == v.Epoch && !s.diskFailed && v.Epoch > 0
	ls := s.lease
	heard := time.Since(s.ledSince) < s.settings.LeaseTerm/2 || ls.Hears(v.IsMajority, s.settings.LeaseTerm/2)
	if !heard || ls.Stands(v.IsMajority) {
		s.leaseStoodAt = time.Now()
	} else if time.Since(s.leaseStoodAt) > 2*s.settings.LeaseTerm && time.Since(s.ledSince) > 2*s.settings.LeaseTerm {
		// A majority answers, but too few follow us. They must not be kept from following another,
		// so we ask for nothing for a while, then try again.
		if s.renewPausedAt.Before(s.leaseStoodAt) || time.Since(s.renewPausedAt) > 4*s.settings.LeaseTerm {
			s.renewPausedAt = time.Now()
		}
		lead = lead && time.Since(s.renewPausedAt) > 2*s.settings.LeaseTerm+rand.N(s.settings.LeaseTerm)
	}
	s.renewRounds++
	in := view.RenewRequest{View: v, PrimaryRun: s.runID, Round: s.renewRounds}
	s.mu.Unlock()
	if !lead {
		return
	}
	for _, m := range v.Members {
		if heard {
			go s.renewAt(in, m, ls)
		} else {
			go s.probe(m, ls)
		}
	}
}

// renewAt asks one voter for the lease.
func (s *Server) renewAt(in view.RenewRequest, m view.Member, ls *lease.Lease) {
	ctx, end := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer end()
	var g view.RenewResponse
	asked := time.Now()
	if s.call(ctx, m.Addr, "view.renew", &in, &g) != nil || g.Id != m.Id {
		return
	}
	ls.Saw(m.Id)
	switch {
	case g.Ok:
		stood := ls.Stands(in.View.IsMajority)
		ls.Grant(m.Id, asked)
		if !stood && ls.Stands(in.View.IsMajority) {
			s.wake()
		}
	case g.View.Epoch > in.View.Epoch:
		s.learn(g.View)
	case g.PromisedOther:
		s.mu.Lock()
		s.otherPromised = true
		s.mu.Unlock()
	}
}

// probe asks one voter for a sign of life.
func (s *Server) probe(m view.Member, ls *lease.Lease) {
	ctx, end := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer end()
	var told view.StatusResponse
	if s.call(ctx, m.Addr, "view.ask", &view.StatusRequest{}, &told) == nil && told.Id == m.Id {
		ls.Saw(m.Id)
		s.learn(told.View)
	}
}

// release gives our lease back to all voters, so that a backup need not wait for its end.
func (s *Server) release(turn uint64) {
	v := s.voter.View()
	if v.Primary != s.voter.Id() {
		return
	}
	for _, m := range v.Members {
		go func() {
			ctx, end := context.WithTimeout(s.ctx, stepTimeout)
			defer end()
			s.call(ctx, m.Addr, "view.release", &view.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.runID, Round: turn}, nil)
		}()
	}
}

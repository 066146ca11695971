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
	v := s.vot.View()
	s.mu.Lock()
	lead := v.Primary == s.vot.Id() && s.epoch == v.Epoch && !s.sick && v.Epoch > 0
	ls := s.ls
	heard := time.Since(s.began) < s.set.LeaseTerm/2 || ls.Hears(v.IsMajority, s.set.LeaseTerm/2)
	if !heard || ls.Stands(v.IsMajority) {
		s.stood = time.Now()
	} else if time.Since(s.stood) > 2*s.set.LeaseTerm && time.Since(s.began) > 2*s.set.LeaseTerm {
		// A majority answers, but too few follow us. They must not be kept from following another,
		// so we ask for nothing for a while, then try again.
		if s.rest.Before(s.stood) || time.Since(s.rest) > 4*s.set.LeaseTerm {
			s.rest = time.Now()
		}
		lead = lead && time.Since(s.rest) > 2*s.set.LeaseTerm+rand.N(s.set.LeaseTerm)
	}
	s.asks++
	in := view.RenewRequest{View: v, PrimaryRun: s.run, Round: s.asks}
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
	ctx, end := context.WithTimeout(s.ctx, s.set.LeaseTerm/2)
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
			s.hurry()
		}
	case g.View.Epoch > in.View.Epoch:
		s.learn(g.View)
	case g.PromisedOther:
		s.mu.Lock()
		s.vowed = true
		s.mu.Unlock()
	}
}

// probe asks one voter for a sign of life.
func (s *Server) probe(m view.Member, ls *lease.Lease) {
	ctx, end := context.WithTimeout(s.ctx, s.set.LeaseTerm/2)
	defer end()
	var told view.StatusResponse
	if s.call(ctx, m.Addr, "view.ask", &view.StatusRequest{}, &told) == nil && told.Id == m.Id {
		ls.Saw(m.Id)
		s.learn(told.View)
	}
}

// release gives our lease back to all voters, so that a backup need not wait for its end.
func (s *Server) release(turn uint64) {
	v := s.vot.View()
	if v.Primary != s.vot.Id() {
		return
	}
	for _, m := range v.Members {
		go func() {
			ctx, end := context.WithTimeout(s.ctx, step)
			defer end()
			s.call(ctx, m.Addr, "view.release", &view.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.run, Round: turn}, nil)
		}()
	}
}

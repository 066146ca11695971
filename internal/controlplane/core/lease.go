package core

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

// renew asks all voters to lease us the primacy. It runs beside the run loop, so that a lease
// goes on while a copy or a decision takes its time.
//
// A primary that no majority answers only asks for signs of life, until one does: a request that
// arrives, but whose answer does not, would keep the voters from following another.
func (s *Server) renew() {
	v := s.acceptor.View()
	s.mu.Lock()
	primacy := s.lease
	heard := time.Since(s.ledSince) < s.settings.LeaseTerm/2 || primacy.IsInContact(v.IsMajority, s.settings.LeaseTerm/2)
	leads := v.Primary == s.acceptor.ID() && s.epoch == v.Epoch && !s.diskFailed && v.Epoch > 0
	leads = !s.isRenewalPaused(v, heard) && leads
	s.renewRounds++
	request := paxos.RenewRequest{View: v, PrimaryRun: s.runID, Round: s.renewRounds}
	s.mu.Unlock()
	if !leads {
		return
	}
	for _, m := range v.Members {
		if heard {
			go s.renewAt(request, m, primacy)
		} else {
			go s.probe(m, primacy)
		}
	}
}

// isRenewalPaused reports whether we ask for no lease for a while: a majority answers, but has not granted the lease for
// long, so too few follow us, and they must not be kept from following another. The caller holds the lock.
func (s *Server) isRenewalPaused(v view.View, heard bool) bool {
	term := s.settings.LeaseTerm
	if !heard || s.lease.IsHeld(v.IsMajority) {
		s.leaseStoodAt = time.Now()
		return false
	}
	if time.Since(s.leaseStoodAt) <= 2*term || time.Since(s.ledSince) <= 2*term {
		return false
	}
	if s.renewPausedAt.Before(s.leaseStoodAt) || time.Since(s.renewPausedAt) > 4*term {
		s.renewPausedAt = time.Now()
	}
	return time.Since(s.renewPausedAt) <= 2*term+rand.N(term)
}

// renewAt asks one voter for the lease.
func (s *Server) renewAt(request paxos.RenewRequest, m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer cancel()
	var response paxos.RenewResponse
	asked := time.Now()
	if s.call(ctx, m.Addr, "view.renew", &request, &response) != nil || response.ID != m.ID {
		return
	}
	primacy.RecordContact(m.ID)
	switch {
	case response.Granted:
		stood := primacy.IsHeld(request.View.IsMajority)
		primacy.RecordGrant(m.ID, asked)
		if !stood && primacy.IsHeld(request.View.IsMajority) {
			s.wake()
		}
	case response.View.Epoch > request.View.Epoch:
		s.learn(response.View)
	case response.PromisedOther:
		s.mu.Lock()
		s.otherPromised = true
		s.mu.Unlock()
	}
}

// statusOf asks the process at an address who it is and which view it knows. It needs no disk for its answer.
func (s *Server) statusOf(ctx context.Context, addr string) (status view.StatusResponse, err error) {
	return paxos.QueryStatus(ctx, s.call, addr)
}

// probe asks one voter for a sign of life.
func (s *Server) probe(m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer cancel()
	if status, err := s.statusOf(ctx, m.Addr); err == nil && status.ID == m.ID {
		primacy.RecordContact(m.ID)
		s.learn(status.View)
	}
}

// release gives our lease back to all voters, so that a backup need not wait for its end.
func (s *Server) release(round uint64) {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() {
		return
	}
	for _, m := range v.Members {
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
			defer cancel()
			s.call(ctx, m.Addr, "view.release", &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.runID, Round: round}, nil)
		}()
	}
}

package core

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// renew asks all acceptors for the lease, or pings them. It runs beside the run loop, so that a lease goes on while a
// snapshot or a decision takes its time.
func (s *Server) renew() {
	v := s.acceptor.View()
	renewal, due := s.leadership.NextRenewal(v, s.acceptor.ID())
	if !due {
		return
	}
	for _, m := range v.Members {
		if renewal.InContact {
			go s.renewAt(renewal.Request, m, renewal.Lease)
		} else {
			go s.ping(m, renewal.Lease)
		}
	}
}

// renewAt asks one acceptor for the lease.
func (s *Server) renewAt(request paxos.RenewRequest, m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer cancel()
	var response paxos.RenewResponse
	asked := time.Now()
	if s.call(ctx, m.Addr, "view.renew", &request, &response) != nil || response.ID != m.ID {
		return
	}
	if faultinjection.Disabled("grant-from-request") {
		asked = time.Now()
	}
	primacy.RecordContact(m.ID)
	switch {
	case response.Granted:
		wasHeld := primacy.IsHeld(request.View.IsMajority)
		primacy.RecordGrant(m.ID, asked)
		if !wasHeld && primacy.IsHeld(request.View.IsMajority) {
			s.wakeRunLoop()
		}
	case response.View.Epoch > request.View.Epoch:
		s.learn(response.View)
	case response.PromisedOther:
		s.leadership.RecordPromisedOther()
	}
}

// statusOf asks the process at an address who it is and which view it knows. It needs no disk for its answer.
func (s *Server) statusOf(ctx context.Context, addr string) (status view.StatusResponse, err error) {
	return paxos.QueryStatus(ctx, s.call, addr)
}

// ping asks one acceptor for its status, and so whether it answers.
func (s *Server) ping(m view.Member, primacy *lease.Lease) {
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.LeaseTerm/2)
	defer cancel()
	if status, err := s.statusOf(ctx, m.Addr); err == nil && status.ID == m.ID {
		primacy.RecordContact(m.ID)
		s.learn(status.View)
	}
}

// release gives our lease back to all acceptors, so that a backup need not wait for its end.
func (s *Server) release(round uint64) {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() {
		return
	}
	for _, m := range v.Members {
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
			defer cancel()
			request := &paxos.ReleaseRequest{Epoch: v.Epoch, PrimaryRun: s.runID, Round: round}
			if err := s.call(ctx, m.Addr, "view.release", request, nil); err != nil {
				s.ctx.Log.Debug("Lease was not released.", "peer", m.Addr, "epoch", v.Epoch, "error", err.Error())
			}
		}()
	}
}

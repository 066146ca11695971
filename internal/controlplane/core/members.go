package core

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

// memberChangePause is the pause after a membership change that was not decided.
const memberChangePause = 300 * time.Millisecond

// handleJoin adds a process to the candidates for membership once it has responded at its address: a delayed request may come
// from a process that no longer runs.
func (s *Server) handleJoin(ctx context.Context, request *JoinRequest) (*coreapi.Empty, error) {
	member := request.Member
	if v := s.acceptor.View(); v.Primary != s.acceptor.ID() {
		return nil, wire.StatusError{Code: coreapi.CodeNotPrimary}
	}
	if member.Addr == s.settings.Addr {
		return nil, wire.StatusError{Code: coreapi.CodeOwnAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if status, err := paxos.QueryStatus(ctx, s.call, member.Addr); err != nil || status.ID != member.ID {
		return nil, wire.StatusError{Code: coreapi.CodeUnreachable}
	}
	s.candidates.Add(member)
	return &coreapi.Empty{}, nil
}

// changeMembers adds, removes or replaces one member if that is due.
func (s *Server) changeMembers(v view.View, self string, primaryLease *lease.Lease, ledSince time.Time) {
	if time.Now().Before(s.nextMemberChange) {
		return
	}
	candidate := s.candidates.Next(v)
	sinceContact := func(id string) time.Duration {
		switch id {
		case self:
			return 0
		case s.formerPrimary:
			return primaryLease.TimeSinceContact(id, ledSince.Add(-s.settings.LeaseTerm)) // its lease had expired when this process took over
		}
		return primaryLease.TimeSinceContact(id, ledSince)
	}
	next, ok := s.settings.membershipPolicy().NextView(v, candidate, sinceContact)
	if !ok {
		return
	}
	if candidate != nil {
		primaryLease.RecordContact(candidate.Member.ID) // it responded to handleJoin, and has received no lease request yet
	}
	s.ctx.Log.Info("Members change.", "from", len(v.Members), "to", len(next.Members))
	if !s.decide(v, next, false) {
		s.nextMemberChange = time.Now().Add(memberChangePause)
	}
}

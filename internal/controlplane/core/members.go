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

// memberChangePause is how long a change of the members waits after one that was not decided.
const memberChangePause = 300 * time.Millisecond

// handleJoin records a process that wants to become a member, once it has answered at its address: a delayed request may
// be that of a process that is gone.
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

// changeMembers changes the members by one step where that is due.
func (s *Server) changeMembers(v view.View, self string, primacy *lease.Lease, ledSince time.Time) {
	if time.Now().Before(s.nextMemberChange) {
		return
	}
	newcomer := s.candidates.Next(v)
	silence := func(id string) time.Duration {
		switch id {
		case self:
			return 0
		case s.formerPrimary:
			return primacy.TimeSinceContact(id, ledSince.Add(-s.settings.LeaseTerm)) // its lease had run out when we took over
		}
		return primacy.TimeSinceContact(id, ledSince)
	}
	next, ok := s.settings.membershipPolicy().NextView(v, newcomer, silence)
	if !ok {
		return
	}
	if newcomer != nil {
		primacy.RecordContact(newcomer.Member.ID) // it answered when it asked to join; nobody else has asked it yet
	}
	s.ctx.Log.Info("Members change.", "from", len(v.Members), "to", len(next.Members))
	if !s.decide(v, next, false) {
		s.nextMemberChange = time.Now().Add(memberChangePause)
	}
}

package streamstore

import (
	"context"
	"time"
)

const (
	replicateTimeout   = 400 * time.Millisecond // of one call to a standby, and of an owner check
	maxStandbyAttempts = 3                      // standbys that may fail before a stream continues without one
)

// AssignStandby assigns a standby to a stream that was taken over, before its rerun. Its only error is ErrServedElsewhere.
func (s *Store) AssignStandby(ctx context.Context, stream *Stream) error {
	chunks, _ := stream.Replayable()
	return s.replicate(ctx, stream, ReplicateRequest{Offset: chunks})
}

// revokeStandby claims the current standby's term, so that the standby cannot take the stream over. Its only error is
// ErrServedElsewhere.
func (s *Store) revokeStandby(ctx context.Context, stream *Stream) error {
	if stream.standbyName == "" || stream.request == nil {
		return nil // there is no standby, or it has no saved request and can't take over
	}
	granted, err := s.claimTerm(ctx, stream.ID, stream.term)
	if err != nil || !granted {
		s.ctx.Log.Warn("Another router may serve the stream. Ours ends.", "request_id", stream.ID)
		s.drop(stream) // a router that resumes the stream must find it at its new owner, not here
		return ErrServedElsewhere
	}
	stream.mu.Lock()
	stream.term++
	stream.mu.Unlock()
	return nil
}

// replicate sends a change to the standby, or the whole stream to a new standby. Its only error is ErrServedElsewhere.
//
// If a rerun is allowed, a standby that did not acknowledge a change may take the stream over. So the owner must claim its
// term before it sends the client anything that this standby lacks. A new standby is first called without the saved request,
// which it needs to take over. So an unreachable new standby requires no claim, and a zone cut off from the core continues to
// serve.
func (s *Store) replicate(ctx context.Context, stream *Stream, change ReplicateRequest) error {
	if stream.tooLarge {
		return nil
	}
	change.ID, change.Tenant, change.Owner, change.OwnerAddr = stream.ID, stream.Tenant, s.ctx.Name, s.cluster.Addr()
	for stream.failedStandbys < maxStandbyAttempts {
		isNew := stream.standbyAddr == ""
		if isNew && !s.chooseStandby(stream) {
			return nil
		}
		mayTakeOver, err := s.replicateTo(ctx, stream, change, isNew)
		if err == nil {
			return nil
		}
		s.ctx.Log.Warn("Replication to the standby failed.", "request_id", stream.ID, "peer", stream.standbyAddr, "error", err.Error())
		if mayTakeOver {
			if err := s.revokeStandby(ctx, stream); err != nil {
				return err
			}
		}
		stream.standbyAddr = ""
		stream.failedStandbys++
	}
	return nil
}

// replicateTo sends a change to the chosen standby. If it fails, mayTakeOver reports whether the standby may have received the
// saved request, if there is one, and so may take the stream over.
func (s *Store) replicateTo(ctx context.Context, stream *Stream, change ReplicateRequest, isNew bool) (mayTakeOver bool, err error) {
	request := change
	stream.mu.Lock()
	request.Term = stream.term
	if isNew {
		request.Offset, request.Chunks, request.Request = 0, stream.chunks, stream.request
	}
	stream.mu.Unlock()
	if isNew && request.Request != nil {
		first := ReplicateRequest{ID: change.ID, Tenant: change.Tenant, Owner: change.Owner, OwnerAddr: change.OwnerAddr, Term: request.Term}
		if err := s.sendToStandby(ctx, stream, &first); err != nil {
			return false, err
		}
	}
	return true, s.sendToStandby(ctx, stream, &request)
}

// sendToStandby makes one call to the standby. It is not cancelled with ctx: a call in progress is completed.
func (s *Store) sendToStandby(ctx context.Context, stream *Stream, change *ReplicateRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	return s.cluster.Call(ctx, stream.standbyAddr, "stream.copy", change, nil)
}

// chooseStandby chooses a ready router in another zone by a hash of the stream's ID, other than the last one chosen. It
// reports whether there is one; without one the stream continues unreplicated.
func (s *Store) chooseStandby(stream *Stream) bool {
	nodes := s.cluster.Nodes()
	hash := 0
	for _, c := range stream.ID {
		hash = hash*31 + int(c)
	}
	for i := range nodes {
		n := nodes[((hash+i+stream.failedStandbys)%len(nodes)+len(nodes))%len(nodes)]
		if n.Zone != s.ctx.Zone && n.Ready && n.Name != stream.standbyName {
			stream.standbyAddr, stream.standbyName = n.Addr, n.Name
			return true
		}
	}
	return false
}

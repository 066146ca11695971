package streamstore

import (
	"context"
	"time"
)

const (
	replicateTimeout   = 400 * time.Millisecond // of one call to a standby
	maxStandbyAttempts = 3                      // standbys that may fail before a stream goes on without one
)

// AssignStandby gives a stream that was taken over a standby, before its next run. It fails with ErrServedElsewhere.
func (s *Store) AssignStandby(ctx context.Context, stream *Stream) error {
	chunks, _ := stream.Replayable()
	return s.replicate(ctx, stream, ReplicateRequest{Offset: chunks})
}

// revokeStandby makes sure that the present standby does not take the stream over, by claiming its term. It fails with
// ErrServedElsewhere.
func (s *Store) revokeStandby(ctx context.Context, stream *Stream) error {
	if stream.standbyName == "" || stream.request == nil {
		return nil // there is none, or it has no right to
	}
	granted, err := s.claimTerm(ctx, stream.ID, stream.term)
	if err != nil || !granted {
		s.ctx.Log.Warn("Another router may serve the stream. Ours ends.", "request_id", stream.ID)
		s.drop(stream) // whoever asks us for it is to ask the others
		return ErrServedElsewhere
	}
	stream.mu.Lock()
	stream.term++
	stream.mu.Unlock()
	return nil
}

// replicate sends a change to the standby; a new standby gets the whole stream. Where a further run is allowed, a standby
// that did not answer may believe us gone: before anything is shown without it, its term has to be ours. A new one is called
// first without the saved request, which alone gives the right to take over: one that is out of reach costs no term, so
// that a zone cut off from the core serves on.
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

// replicateTo sends a change to the chosen standby. mayTakeOver: the standby may have got the right to take the stream over,
// though err says that it did not acknowledge.
func (s *Store) replicateTo(ctx context.Context, stream *Stream, change ReplicateRequest, isNew bool) (mayTakeOver bool, err error) {
	next := change
	stream.mu.Lock()
	next.Term = stream.term
	if isNew {
		next.Offset, next.Chunks, next.Request = 0, stream.chunks, stream.request
	}
	stream.mu.Unlock()
	if isNew && next.Request != nil {
		first := ReplicateRequest{ID: change.ID, Tenant: change.Tenant, Owner: change.Owner, OwnerAddr: change.OwnerAddr, Term: next.Term}
		if err := s.sendToStandby(ctx, stream, &first); err != nil {
			return false, err
		}
	}
	return true, s.sendToStandby(ctx, stream, &next)
}

// sendToStandby makes one call to the standby. It does not end with ctx: a call under way is finished.
func (s *Store) sendToStandby(ctx context.Context, stream *Stream, change *ReplicateRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	return s.cluster.Call(ctx, stream.standbyAddr, "stream.copy", change, nil)
}

// chooseStandby chooses a ready router in another zone, by a hash of the stream's ID. It reports whether there is one;
// without one the stream goes on unreplicated.
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

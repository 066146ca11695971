package streamstore

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// AssignStandby names a standby for a stream that was taken over, before its second run.
func (s *Store) AssignStandby(ctx context.Context, stream *Stream) error {
	n, _ := stream.Replayable()
	return s.replicate(ctx, stream, ReplicateRequest{Offset: n})
}

// revokeStandby makes sure that the standby we have does not carry the stream on.
func (s *Store) revokeStandby(ctx context.Context, stream *Stream) error {
	if stream.standbyName == "" || stream.request == nil {
		return nil // there is none, or it has no right to
	}
	granted, err := s.claimTerm(ctx, stream.ID, stream.term)
	if err != nil || !granted {
		s.ctx.Log.Warn("Another router may carry the stream on. Ours ends.", "query", stream.ID)
		s.drop(stream) // whoever asks us for it is to ask the others
		return ErrServedElsewhere
	}
	stream.mu.Lock()
	stream.term++
	stream.mu.Unlock()
	return nil
}

// copyToStandby hands a change to the standby; a new one gets the whole stream. Where a second run is
// allowed, a standby that did not answer may believe us gone: before anything is shown without it,
// its turn has to be ours. A new one is called first without the request, which alone gives the right to
// carry on: one that is out of reach costs no turn, so that a zone cut off from the core serves on.
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
		reached, err := s.replicateTo(ctx, stream, change, isNew)
		if err == nil {
			return nil
		}
		s.ctx.Log.Warn("Standby did not take a piece.", "query", stream.ID, "peer", stream.standbyAddr, "error", err.Error())
		if reached {
			if err := s.revokeStandby(ctx, stream); err != nil {
				return err
			}
		}
		stream.standbyAddr = ""
		stream.failedStandbys++
	}
	return nil
}

// copyTo sends a change to the chosen standby. reached: it may have the right to carry the stream on, though err says
// that it did not answer.
func (s *Store) replicateTo(ctx context.Context, stream *Stream, change ReplicateRequest, isNew bool) (reached bool, err error) {
	next := change
	stream.mu.Lock()
	next.Term = stream.term
	if isNew {
		next.Offset, next.Chunks, next.Request = 0, stream.chunks, stream.request
	}
	stream.mu.Unlock()
	if isNew && next.Request != nil {
		first := ReplicateRequest{ID: change.ID, Tenant: change.Tenant, Owner: change.Owner, OwnerAddr: change.OwnerAddr, Term: next.Term}
		if err := s.sendReplication(ctx, stream, &first); err != nil {
			return false, err
		}
	}
	return true, s.sendReplication(ctx, stream, &next)
}

// sendCopy asks the standby to hold something, for a short time.
func (s *Store) sendReplication(ctx context.Context, stream *Stream, change *ReplicateRequest) error {
	short, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	return s.cluster.Call(short, stream.standbyAddr, "stream.copy", change, nil)
}

// chooseStandby chooses a standby in another zone; without one the stream goes on unguarded.
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

// takeCopy takes a copy as a standby.
func (s *Store) handleReplicate(change *ReplicateRequest) (*coreapi.Empty, error) {
	size := 0
	for _, piece := range change.Chunks {
		size += len(piece)
	}
	if change.Request != nil {
		size += len(change.Request.Body)
	}
	stream := s.replicaFor(change)
	if stream == nil {
		return nil, wire.StatusError{Code: codeGap}
	}
	if !s.reserveBytes(size) {
		return nil, wire.StatusError{Code: codeFull}
	}
	var taken int
	var err error
	stream.update(func() { taken, err = stream.applyReplication(change) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size -= size - taken // reserved, and not needed after all
	return &coreapi.Empty{}, err
}

// standbyStream gives the stream that a copy is of, and begins it with its first copy; nil where that was missed.
func (s *Store) replicaFor(change *ReplicateRequest) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.byID[change.ID]
	if stream == nil && change.Offset == 0 {
		stream = &Stream{ID: change.ID, Tenant: change.Tenant, ownerName: change.Owner, ownerAddr: change.OwnerAddr, changed: make(chan struct{}), changedAt: time.Now()}
		s.byID[change.ID] = stream
	}
	return stream
}

// addCopy adds what is new in a copy, and tells how many bytes that are. The caller holds the lock.
func (stream *Stream) applyReplication(change *ReplicateRequest) (taken int, err error) {
	have := len(stream.chunks)
	switch {
	case stream.ownerName == "" || change.Term < stream.term:
		return 0, wire.StatusError{Code: codeGivenUp} // we carry it on, or somebody after its sender does
	case stream.failure != "":
		return 0, wire.StatusError{Code: codeGivenUp} // told a client so already
	case change.Offset > have:
		return 0, wire.StatusError{Code: codeGap}
	}
	for i, piece := range change.Chunks {
		if change.Offset+i >= have {
			stream.chunks = append(stream.chunks, piece)
			taken += len(piece)
		}
	}
	if change.Request != nil && stream.request == nil {
		stream.request = change.Request
		taken += len(change.Request.Body)
	}
	stream.size += taken
	stream.readable = len(stream.chunks)
	stream.term, stream.ownerName, stream.ownerAddr = change.Term, change.Owner, change.OwnerAddr
	stream.ended, stream.failure = stream.ended || change.Complete, change.Failure
	return taken, nil
}

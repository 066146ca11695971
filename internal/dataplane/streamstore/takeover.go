package streamstore

import (
	"context"
	"fmt"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

const (
	ownerTimeout = 3 * time.Second // time without a change of a replica after which its owner is checked
	claimTimeout = 3 * time.Second // for the core to decide a claim

	// beyondEnd is an offset that no stream reaches. A read from there returns no chunks, only whether the stream is found.
	beyondEnd = 1 << 30
)

// checkOwner calls the owner of a replica without recent changes. If the owner does not have the stream or does not respond,
// it takes the stream over or, if a rerun is not allowed, ends it with CodeRouterLost. The peer directory can't replace this
// check: it is not updated while the core is out of reach.
func (s *Store) checkOwner(stream *Stream) {
	ownerAddr, request, ok := stream.startOwnerCheck()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, replicateTimeout)
	defer cancel()
	var response ReadResponse
	err := s.cluster.Call(ctx, ownerAddr, "stream.read", &ReadRequest{ID: stream.ID, Tenant: stream.Tenant, Offset: beyondEnd}, &response)
	switch {
	case err == nil && response.Found:
		stream.mu.Lock()
		stream.changedAt = time.Now() // the owner still serves the stream: the replica must not expire
		stream.mu.Unlock()
	case request != nil && s.OnTakeover != nil:
		s.takeOver(stream, request)
	default:
		stream.update(func() { stream.failure = CodeRouterLost })
		s.ctx.Log.Warn("Stream lost with its router.", "request_id", stream.ID, "peer", ownerAddr)
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.checkingOwner = false
}

// startOwnerCheck reports whether the owner must be checked now, and if so marks the check as running.
func (stream *Stream) startOwnerCheck() (ownerAddr string, request *SavedRequest, ok bool) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	due := stream.ownerName != "" && !stream.checkingOwner && !stream.complete && stream.failure == "" && time.Since(stream.changedAt) > ownerTimeout
	stream.checkingOwner = stream.checkingOwner || due
	return stream.ownerAddr, stream.request, due
}

// takeOver makes this router the owner of a replica, if the core grants it the term. If the owner has claimed the term, it has
// replaced this standby, and the replica is dropped.
func (s *Store) takeOver(stream *Stream, request *SavedRequest) {
	stream.mu.Lock()
	term := stream.term
	stream.mu.Unlock()
	granted, err := s.claimTerm(s.ctx, stream.ID, term)
	if err != nil {
		s.ctx.Log.Warn("Takeover failed: the core did not decide the stream's term.", "request_id", stream.ID, "error", err.Error())
		return // the next sweep checks the owner again
	}
	stream.mu.Lock()
	sameTerm := stream.term == term
	isOwner := granted && sameTerm && !stream.complete && stream.failure == ""
	if isOwner {
		stream.ownerName, stream.readable = "", len(stream.chunks)
		stream.term++
	}
	chunks := len(stream.chunks)
	stream.mu.Unlock()
	if !granted && sameTerm {
		s.ctx.Log.Info("Replica dropped: the stream has another standby.", "request_id", stream.ID)
		s.drop(stream)
	}
	if isOwner {
		s.ctx.Log.Warn("Stream taken over from its router.", "request_id", stream.ID, "chunks", chunks)
		go s.OnTakeover(stream, request)
	}
}

// claimTerm claims a term of a stream at the core, and reports whether it was granted. It is not cancelled with ctx.
func (s *Store) claimTerm(ctx context.Context, id string, term int) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	request := coreapi.ClaimRequest{Key: fmt.Sprintf("%s%s/%d", coreapi.StreamPrefix, id, term),
		Claim: coreapi.Claim{RequestHash: "stream", Claimant: fmt.Sprintf("%s/%x", s.ctx.Name, s.ctx.RunID), Node: s.ctx.Name, NodeRun: s.ctx.RunID}}
	var response coreapi.ClaimResponse
	err := s.cluster.Core.Call(ctx, "core.take", &request, &response, true)
	return response.Granted, err
}

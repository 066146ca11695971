package streamstore

import (
	"context"
	"fmt"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
)

// checkOwner finds out whether a silent owner is gone, and if so carries its stream on, or ends it
// with an error. The list of nodes alone does not decide it: while the core is away it says nothing.
func (s *Store) checkOwner(stream *Stream) {
	stream.mu.Lock()
	quiet := stream.ownerName != "" && !stream.checkingOwner && !stream.ended && stream.failure == "" && time.Since(stream.changedAt) > ownerTimeout
	stream.checkingOwner = stream.checkingOwner || quiet
	addr, request := stream.ownerAddr, stream.request
	stream.mu.Unlock()
	if !quiet {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, replicateTimeout)
	defer cancel()
	var response ReadResponse
	err := s.cluster.Call(ctx, addr, "stream.read", &ReadRequest{ID: stream.ID, Tenant: stream.Tenant, Offset: 1 << 30}, &response)
	switch {
	case err == nil && response.Found:
		stream.mu.Lock()
		stream.changedAt = time.Now() // alive, if silent: its stream is kept
		stream.mu.Unlock()
	case request != nil && s.OnTakeover != nil:
		s.takeOver(stream, request)
	default:
		stream.update(func() { stream.failure = CodeRouterLost })
		s.ctx.Log.Warn("Stream lost with its router.", "query", stream.ID, "peer", addr)
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.checkingOwner = false
}

// takeOver carries on a stream of another router, if the core grants it: the same turn can be claimed by its router,
// who would then name another standby, or by us, and by nobody else.
func (s *Store) takeOver(stream *Stream, request *SavedRequest) {
	stream.mu.Lock()
	turn := stream.term
	stream.mu.Unlock()
	granted, err := s.claimTerm(s.ctx, stream.ID, turn)
	if err != nil {
		s.ctx.Log.Warn("The core can't be asked who carries a stream on.", "query", stream.ID, "error", err.Error())
		return // asked again by the next dropOld
	}
	stream.mu.Lock()
	sameTurn := stream.term == turn
	carriesOn := granted && sameTurn && !stream.ended && stream.failure == ""
	if carriesOn {
		stream.ownerName, stream.readable = "", len(stream.chunks)
		stream.term++
	}
	pieces := len(stream.chunks)
	stream.mu.Unlock()
	if !granted && sameTurn {
		s.ctx.Log.Info("Stream is another standby's by now.", "query", stream.ID)
		s.drop(stream)
	}
	if carriesOn {
		s.ctx.Log.Warn("Stream is carried on in place of its router.", "query", stream.ID, "pieces", pieces)
		go s.OnTakeover(stream, request)
	}
}

// claimTurn claims one turn of a stream.
func (s *Store) claimTerm(ctx context.Context, id string, turn int) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	request := coreapi.ClaimRequest{Key: fmt.Sprintf("%s%s/%d", coreapi.StreamPrefix, id, turn),
		Claim: coreapi.Claim{RequestHash: "stream", Claimant: fmt.Sprintf("%s/%x", s.ctx.Name, s.ctx.RunID), Node: s.ctx.Name, NodeRun: s.ctx.RunID}}
	var response coreapi.ClaimResponse
	err := s.cluster.Core.Call(ctx, "core.take", &request, &response, true)
	return response.Granted, err
}

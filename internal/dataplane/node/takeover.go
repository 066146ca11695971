package node

import (
	"context"
	"fmt"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
)

// checkOwner finds out whether a silent owner is gone, and if so carries its stream on, or ends it
// with an error. The list of nodes alone does not decide it: while the core is away it says nothing.
func (s *Streams) checkOwner(stream *Stream) {
	stream.mu.Lock()
	quiet := stream.ownerName != "" && !stream.askingOwner && !stream.ended && stream.lost == "" && time.Since(stream.changedAt) > ownerSilentAfter
	stream.askingOwner = stream.askingOwner || quiet
	addr, request := stream.ownerAddr, stream.request
	stream.mu.Unlock()
	if !quiet {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, copyTimeout)
	defer cancel()
	var response StreamReadResponse
	err := s.hub.Call(ctx, addr, "stream.read", &StreamReadRequest{ID: stream.ID, Tenant: stream.Tenant, After: 1 << 30}, &response)
	switch {
	case err == nil && response.Have:
		stream.mu.Lock()
		stream.changedAt = time.Now() // alive, if silent: its stream is kept
		stream.mu.Unlock()
	case request != nil && s.Successor != nil:
		s.takeOver(stream, request)
	default:
		stream.change(func() { stream.lost = LostRouter })
		s.ctx.Log.Warn("Stream lost with its router.", "query", stream.ID, "peer", addr)
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.askingOwner = false
}

// takeOver carries on a stream of another router, if the core grants it: the same turn can be claimed by its router,
// who would then name another standby, or by us, and by nobody else.
func (s *Streams) takeOver(stream *Stream, request *StreamRequest) {
	stream.mu.Lock()
	turn := stream.turn
	stream.mu.Unlock()
	granted, err := s.claimTurn(s.ctx, stream.ID, turn)
	if err != nil {
		s.ctx.Log.Warn("The core can't be asked who carries a stream on.", "query", stream.ID, "error", err.Error())
		return // asked again by the next dropOld
	}
	stream.mu.Lock()
	sameTurn := stream.turn == turn
	carriesOn := granted && sameTurn && !stream.ended && stream.lost == ""
	if carriesOn {
		stream.ownerName, stream.readable = "", len(stream.pieces)
		stream.turn++
	}
	pieces := len(stream.pieces)
	stream.mu.Unlock()
	if !granted && sameTurn {
		s.ctx.Log.Info("Stream is another standby's by now.", "query", stream.ID)
		s.forget(stream)
	}
	if carriesOn {
		s.ctx.Log.Warn("Stream is carried on in place of its router.", "query", stream.ID, "pieces", pieces)
		go s.Successor(stream, request)
	}
}

// claimTurn claims one turn of a stream.
func (s *Streams) claimTurn(ctx context.Context, id string, turn int) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	request := coreapi.ClaimRequest{Key: fmt.Sprintf("%s%s/%d", coreapi.StreamPrefix, id, turn),
		Claim: coreapi.Claim{RequestHash: "stream", Claimant: fmt.Sprintf("%s/%x", s.ctx.Name, s.ctx.RunID), Node: s.ctx.Name, NodeRun: s.ctx.RunID}}
	var response coreapi.ClaimResponse
	err := s.hub.Core.Call(ctx, "core.take", &request, &response, true)
	return response.Granted, err
}

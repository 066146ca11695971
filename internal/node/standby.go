package node

import (
	"context"
	"time"

	"yarrowridge/internal/core"
	"yarrowridge/internal/wire"
)

// Guard names a standby for a stream that was taken over, before its second run.
//
//	err := streams.Guard(ctx, stream)
func (s *Streams) Guard(ctx context.Context, stream *Stream) error {
	n, _ := stream.Held()
	return s.copyToStandby(ctx, stream, StreamCopy{From: n})
}

// revokeStandby makes sure that the standby we have does not carry the stream on.
func (s *Streams) revokeStandby(ctx context.Context, stream *Stream) error {
	if stream.standbyName == "" || stream.request == nil {
		return nil // there is none, or it has no right to
	}
	got, err := s.claimTurn(ctx, stream.ID, stream.turn)
	if err != nil || !got {
		s.ctx.Log.Warn("Another router may carry the stream on. Ours ends.", "query", stream.ID)
		s.drop(stream) // whoever asks us for it is to ask the others
		return ErrTaken
	}
	stream.mu.Lock()
	stream.turn++
	stream.mu.Unlock()
	return nil
}

// copyToStandby hands a change to the standby; a new one gets the whole stream. Where a second run is
// allowed, a standby that did not answer may believe us gone: before anything is shown without it,
// its turn has to be ours. A new one is greeted first without the request, which alone gives the right to
// carry on: one that is out of reach costs no turn, so that a zone cut off from the core serves on.
func (s *Streams) copyToStandby(ctx context.Context, stream *Stream, change StreamCopy) error {
	if stream.tooLarge {
		return nil
	}
	change.ID, change.Tenant, change.Owner, change.Addr = stream.ID, stream.Tenant, s.ctx.Name, s.hub.addr
	for stream.failedStandbys < maxCopyTries {
		fresh := stream.standbyAddr == ""
		if fresh && !s.chooseStandby(stream) {
			return nil
		}
		next := change
		stream.mu.Lock()
		next.Turn = stream.turn
		if fresh {
			next.From, next.Pieces, next.Request = 0, stream.pieces, stream.request
		}
		stream.mu.Unlock()
		var err error
		met := !fresh || next.Request == nil
		if !met {
			err = s.sendCopy(ctx, stream, &StreamCopy{ID: change.ID, Tenant: change.Tenant, Owner: change.Owner, Addr: change.Addr, Turn: next.Turn})
			met = err == nil
		}
		if err == nil {
			err = s.sendCopy(ctx, stream, &next)
		}
		if err == nil {
			return nil
		}
		s.ctx.Log.Warn("Understudy did not take a piece.", "query", stream.ID, "peer", stream.standbyAddr, "trouble", err.Error())
		if met {
			if err := s.revokeStandby(ctx, stream); err != nil {
				return err
			}
		}
		stream.standbyAddr = ""
		stream.failedStandbys++
	}
	return nil
}

// sendCopy asks the standby to hold something, for a short time.
func (s *Streams) sendCopy(ctx context.Context, stream *Stream, change *StreamCopy) error {
	short, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	return s.hub.Call(short, stream.standbyAddr, "stream.copy", change, nil)
}

// chooseStandby chooses a standby in another zone; without one the stream goes on unguarded.
func (s *Streams) chooseStandby(stream *Stream) bool {
	nodes := s.hub.Nodes()
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
func (s *Streams) takeCopy(change *StreamCopy) (*core.Empty, error) {
	n := 0
	for _, piece := range change.Pieces {
		n += len(piece)
	}
	if change.Request != nil {
		n += len(change.Request.Body)
	}
	s.mu.Lock()
	stream := s.byID[change.ID]
	if stream == nil {
		if change.From > 0 {
			s.mu.Unlock()
			return nil, wire.Fault{Code: "gap"}
		}
		stream = &Stream{ID: change.ID, Tenant: change.Tenant, ownerName: change.Owner, ownerAddr: change.Addr, changed: make(chan struct{}), changedAt: time.Now()}
		s.byID[change.ID] = stream
	}
	s.mu.Unlock()
	if !s.reserveBytes(n) {
		return nil, wire.Fault{Code: "full"}
	}
	var err error
	stream.change(func() {
		have := len(stream.pieces)
		switch {
		case stream.ownerName == "" || change.Turn < stream.turn:
			err = wire.Fault{Code: "given-up"} // we carry it on, or somebody after its sender does
		case stream.lost != "":
			err = wire.Fault{Code: "given-up"} // told a client so already
		case change.From > have:
			err = wire.Fault{Code: "gap"}
		default:
			for i, piece := range change.Pieces {
				if change.From+i >= have {
					stream.pieces = append(stream.pieces, piece)
					stream.size += len(piece)
					n -= len(piece)
				}
			}
			if change.Request != nil && stream.request == nil {
				stream.request = change.Request
				stream.size += len(change.Request.Body)
				n -= len(change.Request.Body)
			}
			stream.readable, stream.turn, stream.ownerName, stream.ownerAddr = len(stream.pieces), change.Turn, change.Owner, change.Addr
			stream.ended, stream.lost = stream.ended || change.End, change.Lost
		}
	})
	s.mu.Lock()
	s.size -= n // reserved, and not needed after all
	s.mu.Unlock()
	return &core.Empty{}, err
}

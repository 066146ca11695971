package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/transport/wire"
)

// How long a resumed stream is read for.
const (
	resumeWait    = 700 * time.Millisecond // for a new piece
	resumeTimeout = 1500 * time.Millisecond
)

// handle answers other routers' calls about streams.
func (s *Streams) handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "stream.copy":
		return wire.HandleTyped(body, s.takeCopy)
	case "stream.read":
		return wire.HandleTyped(body, func(request *StreamReadRequest) (*StreamReadResponse, error) { return s.read(ctx, request), nil })
	}
	return nil, wire.StatusError{Code: wire.CodeUnknownKind}
}

// read gives the pieces after a number, and waits for one where there is none.
func (s *Streams) read(ctx context.Context, request *StreamReadRequest) *StreamReadResponse {
	s.mu.Lock()
	stream := s.byID[request.ID]
	s.mu.Unlock()
	if stream == nil || stream.Tenant != request.Tenant {
		return &StreamReadResponse{}
	}
	wait := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		stream.mu.Lock()
		response := &StreamReadResponse{Have: !stream.tooLarge, End: stream.ended, Lost: stream.lost}
		if request.After < stream.readable {
			response.Pieces = append(response.Pieces, stream.pieces[max(0, request.After):stream.readable]...)
		}
		more := stream.changed
		stream.mu.Unlock()
		if len(response.Pieces) > 0 || response.End || response.Lost != "" || request.WaitMs <= 0 {
			return response
		}
		select {
		case <-more:
		case <-wait.C:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

// ErrNoStream means that no router within reach holds the stream for this tenant.
var ErrNoStream = eris.New("node: no such stream")

// Resume gives the pieces after a number, waiting for new ones, wherever the stream is held. The
// router that carries it is asked as well as its standby; who has more is believed.
func (s *Streams) Resume(ctx context.Context, id, tenant string, after int) (*StreamReadResponse, error) {
	request := &StreamReadRequest{ID: id, Tenant: tenant, After: after, WaitMs: int(resumeWait.Milliseconds())}
	s.mu.Lock()
	stream := s.byID[id]
	s.mu.Unlock()
	if stream != nil && stream.isOwn() {
		if response := s.read(ctx, request); response.Have {
			return response, nil
		}
		return nil, ErrNoStream
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	responses, pending := s.readEverywhere(ctx, stream, request)
	var best *StreamReadResponse
	for range pending {
		response := <-responses
		switch {
		case !response.Have:
		case len(response.Pieces) > 0 || response.End:
			return response, nil
		case best == nil || response.Lost == "":
			best = response
		}
	}
	if best == nil {
		return nil, ErrNoStream
	}
	return best, nil
}

// readEverywhere reads a stream at all other routers, and here if we are its standby. The channel gets a response from
// each, an empty one from those that do not answer.
func (s *Streams) readEverywhere(ctx context.Context, stream *Stream, request *StreamReadRequest) (responses <-chan *StreamReadResponse, count int) {
	nodes := s.hub.Nodes()
	all := make(chan *StreamReadResponse, len(nodes)+1)
	for _, n := range nodes {
		if n.Name == s.ctx.Name {
			continue
		}
		count++
		go func() {
			var response StreamReadResponse
			if s.hub.Call(ctx, n.Addr, "stream.read", request, &response) != nil {
				response = StreamReadResponse{}
			}
			all <- &response
		}()
	}
	if stream != nil {
		count++
		go func() { all <- s.read(ctx, request) }()
	}
	return all, count
}

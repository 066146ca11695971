package streamstore

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
func (s *Store) handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "stream.copy":
		return wire.HandleTyped(body, s.handleReplicate)
	case "stream.read":
		return wire.HandleTyped(body, func(request *ReadRequest) (*ReadResponse, error) { return s.read(ctx, request), nil })
	}
	return nil, wire.StatusError{Code: wire.CodeUnknownKind}
}

// read gives the pieces after a number, and waits for one where there is none.
func (s *Store) read(ctx context.Context, request *ReadRequest) *ReadResponse {
	s.mu.Lock()
	stream := s.byID[request.ID]
	s.mu.Unlock()
	if stream == nil || stream.Tenant != request.Tenant {
		return &ReadResponse{}
	}
	wait := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		stream.mu.Lock()
		response := &ReadResponse{Found: !stream.tooLarge, Complete: stream.ended, Failure: stream.failure}
		if request.Offset < stream.readable {
			response.Chunks = append(response.Chunks, stream.chunks[max(0, request.Offset):stream.readable]...)
		}
		more := stream.changed
		stream.mu.Unlock()
		if len(response.Chunks) > 0 || response.Complete || response.Failure != "" || request.WaitMs <= 0 {
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
var ErrNotFound = eris.New("node: no such stream")

// Resume gives the pieces after a number, waiting for new ones, wherever the stream is held. The
// router that carries it is asked as well as its standby; who has more is believed.
func (s *Store) Resume(ctx context.Context, id, tenant string, after int) (*ReadResponse, error) {
	request := &ReadRequest{ID: id, Tenant: tenant, Offset: after, WaitMs: int(resumeWait.Milliseconds())}
	s.mu.Lock()
	stream := s.byID[id]
	s.mu.Unlock()
	if stream != nil && stream.isOwn() {
		if response := s.read(ctx, request); response.Found {
			return response, nil
		}
		return nil, ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	responses, pending := s.readFromPeers(ctx, stream, request)
	var best *ReadResponse
	for range pending {
		response := <-responses
		switch {
		case !response.Found:
		case len(response.Chunks) > 0 || response.Complete:
			return response, nil
		case best == nil || response.Failure == "":
			best = response
		}
	}
	if best == nil {
		return nil, ErrNotFound
	}
	return best, nil
}

// readEverywhere reads a stream at all other routers, and here if we are its standby. The channel gets a response from
// each, an empty one from those that do not answer.
func (s *Store) readFromPeers(ctx context.Context, stream *Stream, request *ReadRequest) (responses <-chan *ReadResponse, count int) {
	nodes := s.cluster.Nodes()
	all := make(chan *ReadResponse, len(nodes)+1)
	for _, n := range nodes {
		if n.Name == s.ctx.Name {
			continue
		}
		count++
		go func() {
			var response ReadResponse
			if s.cluster.Call(ctx, n.Addr, "stream.read", request, &response) != nil {
				response = ReadResponse{}
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

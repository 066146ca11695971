package streamstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/transport/wire"
)

const (
	resumeWait    = 700 * time.Millisecond  // for a new chunk
	resumeTimeout = 1500 * time.Millisecond // for other routers' responses, which may take resumeWait
)

// ErrNotFound means that no router within reach has the stream for this tenant.
var ErrNotFound = eris.New("streamstore: no such stream")

// handle is the wire.Handler for other routers' calls about streams.
func (s *Store) handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "stream.copy":
		return wire.HandleTyped(body, s.handleReplicate)
	case "stream.read":
		return wire.HandleTyped(body, func(request *ReadRequest) (*ReadResponse, error) { return s.read(ctx, request), nil })
	}
	return nil, wire.StatusError{Code: wire.CodeUnknownKind}
}

// read returns the readable chunks from an offset on. If there is none, it waits for one, the end or the time-out.
func (s *Store) read(ctx context.Context, request *ReadRequest) *ReadResponse {
	stream := s.find(request.ID)
	if stream == nil || stream.Tenant != request.Tenant {
		return &ReadResponse{}
	}
	wait := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer wait.Stop()
	for {
		response, changed := stream.readFrom(request.Offset)
		if len(response.Chunks) > 0 || response.Complete || response.Failure != "" || request.WaitMs <= 0 {
			return response
		}
		select {
		case <-changed:
		case <-wait.C:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

// readFrom returns the chunks that are readable now, from an offset on. changed is closed by the stream's next change.
func (stream *Stream) readFrom(offset int) (response *ReadResponse, changed <-chan struct{}) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	response = &ReadResponse{Found: !stream.tooLarge, Complete: stream.complete, Failure: stream.failure}
	if offset < stream.readable {
		response.Chunks = append(response.Chunks, stream.chunks[max(0, offset):stream.readable]...)
	}
	return response, stream.changed
}

// Resume returns a stream's chunks from an offset on, from whichever router has it, and waits up to 700 ms for new ones. A
// router that is not the owner reads from all others, since the owner may have more chunks than its standby, and returns the
// first response with chunks or the end. Its only error is ErrNotFound.
func (s *Store) Resume(ctx context.Context, id, tenant string, offset int) (*ReadResponse, error) {
	request := &ReadRequest{ID: id, Tenant: tenant, Offset: offset, WaitMs: int(resumeWait.Milliseconds())}
	stream := s.find(id)
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

// readFromPeers reads a stream from all other routers, and from the replica here if there is one. The channel receives count
// responses, with an empty one for each router that does not respond.
func (s *Store) readFromPeers(ctx context.Context, replica *Stream, request *ReadRequest) (responses <-chan *ReadResponse, count int) {
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
	if replica != nil {
		count++
		go func() { all <- s.read(ctx, request) }()
	}
	return all, count
}

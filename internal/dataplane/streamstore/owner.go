package streamstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrServedElsewhere means that another router serves the stream now, or may do so: nothing more of it may be shown to a
// client here.
var ErrServedElsewhere = eris.New("streamstore: another router serves the stream")

// Open begins a stream that this router owns. request is what a further run needs; nil where none is allowed.
func (s *Store) Open(id, tenant string, request *SavedRequest) *Stream {
	stream := newStream(id, tenant)
	stream.request = request
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = stream
	return stream
}

// Append adds chunks to a stream and replicates them to the standby. They may be shown to the client only after it has
// returned nil; the error is ErrServedElsewhere. A stream that outgrows its bounds goes on, but is no longer kept.
func (s *Store) Append(ctx context.Context, stream *Stream, chunks [][]byte) error {
	n := totalBytes(chunks)
	stream.mu.Lock()
	over := stream.tooLarge || stream.size+n > MaxStreamBytes
	offset := len(stream.chunks)
	stream.mu.Unlock()
	if over || !s.reserveBytes(n) {
		return s.abandon(ctx, stream)
	}
	stream.mu.Lock()
	stream.chunks = append(stream.chunks, chunks...)
	stream.size += n
	stream.mu.Unlock()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: offset, Chunks: chunks}); err != nil {
		return err
	}
	stream.update(func() { stream.readable = len(stream.chunks) })
	return nil
}

// abandon gives up keeping a stream that has outgrown its bounds.
func (s *Store) abandon(ctx context.Context, stream *Stream) error {
	if stream.tooLarge {
		return nil
	}
	s.ctx.Log.Warn("Stream exceeds its size limit. It can't be resumed.", "request_id", stream.ID)
	// The standby must not continue from its replica: the client sees more from now on.
	if err := s.revokeStandby(ctx, stream); err != nil {
		return err
	}
	stream.update(func() { stream.tooLarge = true })
	s.drop(stream)
	return nil
}

// Close ends a stream: completely where failure is "", else with that error code. It fails with ErrServedElsewhere.
func (s *Store) Close(ctx context.Context, stream *Stream, failure string) error {
	chunks, _ := stream.Replayable()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: chunks, Complete: failure == "", Failure: failure}); err != nil {
		return err
	}
	stream.update(func() { stream.complete, stream.failure = failure == "", failure })
	return nil
}

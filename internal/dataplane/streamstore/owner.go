package streamstore

import (
	"context"

	"github.com/rotisserie/eris"
)

// ErrServedElsewhere means that another router serves the stream, or may do so. This router must send no more of it to a
// client.
var ErrServedElsewhere = eris.New("streamstore: another router serves the stream")

// Open adds a new stream that this router owns. request is saved for a rerun; nil: a rerun is not allowed.
func (s *Store) Open(id, tenant string, request *SavedRequest) *Stream {
	stream := newStream(id, tenant)
	stream.request = request
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = stream
	return stream
}

// Append adds chunks to a stream and replicates them to the standby. They may be sent to the client only after it has returned
// nil; its only error is ErrServedElsewhere. A stream that exceeds the size limits goes on, but is no longer stored.
func (s *Store) Append(ctx context.Context, stream *Stream, chunks [][]byte) error {
	size := totalBytes(chunks)
	stream.mu.Lock()
	tooLarge := stream.tooLarge || stream.size+size > MaxStreamBytes
	offset := len(stream.chunks)
	stream.mu.Unlock()
	if tooLarge || !s.reserveBytes(size) {
		return s.abandon(ctx, stream)
	}
	stream.mu.Lock()
	stream.chunks = append(stream.chunks, chunks...)
	stream.size += size
	stream.mu.Unlock()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: offset, Chunks: chunks}); err != nil {
		return err
	}
	stream.update(func() { stream.readable = len(stream.chunks) })
	return nil
}

// abandon removes a stream that exceeds the size limits from the store. The stream itself goes on.
func (s *Store) abandon(ctx context.Context, stream *Stream) error {
	if stream.tooLarge {
		return nil
	}
	s.ctx.Log.Warn("Stream exceeds its size limit. It can't be resumed.", "request_id", stream.ID)
	// The standby must not continue the stream: from now on the client receives chunks that the replica lacks.
	if err := s.revokeStandby(ctx, stream); err != nil {
		return err
	}
	stream.update(func() { stream.tooLarge = true })
	s.drop(stream)
	return nil
}

// Close ends a stream: as complete if failure is "", otherwise with that error code. Its only error is ErrServedElsewhere.
func (s *Store) Close(ctx context.Context, stream *Stream, failure string) error {
	chunks, _ := stream.Replayable()
	if err := s.replicate(ctx, stream, ReplicateRequest{Offset: chunks, Complete: failure == "", Failure: failure}); err != nil {
		return err
	}
	stream.update(func() { stream.complete, stream.failure = failure == "", failure })
	return nil
}

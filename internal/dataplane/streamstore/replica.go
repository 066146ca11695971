package streamstore

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// handleReplicate stores an owner's change as its standby.
func (s *Store) handleReplicate(change *ReplicateRequest) (*coreapi.Empty, error) {
	size := totalBytes(change.Chunks)
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
	var added int
	var err error
	stream.update(func() { added, err = stream.applyReplication(change) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size -= size - added // reserved, and not needed after all
	return &coreapi.Empty{}, err
}

// replicaFor returns the replica that a change is for, and begins it with its first one; nil where that was missed.
func (s *Store) replicaFor(change *ReplicateRequest) *Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.byID[change.ID]
	if stream == nil && change.Offset == 0 {
		stream = newStream(change.ID, change.Tenant)
		stream.ownerName, stream.ownerAddr = change.Owner, change.OwnerAddr
		s.byID[change.ID] = stream
	}
	return stream
}

// applyReplication adds what is new in a change, and returns how many bytes that are. The caller holds the stream's lock.
func (stream *Stream) applyReplication(change *ReplicateRequest) (added int, err error) {
	have := len(stream.chunks)
	switch {
	case stream.ownerName == "" || change.Term < stream.term:
		return 0, wire.StatusError{Code: codeGivenUp} // we own it now, or a later owner than the sender does
	case stream.failure != "":
		return 0, wire.StatusError{Code: codeGivenUp} // a client may have seen the failure
	case change.Offset > have:
		return 0, wire.StatusError{Code: codeGap}
	}
	for i, chunk := range change.Chunks {
		if change.Offset+i >= have {
			stream.chunks = append(stream.chunks, chunk)
			added += len(chunk)
		}
	}
	if change.Request != nil && stream.request == nil {
		stream.request = change.Request
		added += len(change.Request.Body)
	}
	stream.size += added
	stream.readable = len(stream.chunks)
	stream.term, stream.ownerName, stream.ownerAddr = change.Term, change.Owner, change.OwnerAddr
	stream.complete, stream.failure = stream.complete || change.Complete, change.Failure
	return added, nil
}

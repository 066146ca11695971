package streamstore

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// handleReplicate applies an owner's change to the replica on this standby.
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
	s.size -= size - added // release what was reserved and not used
	return &coreapi.Empty{}, err
}

// replicaFor returns the replica that a change is for. It creates the replica if the change begins with the first chunk, and
// returns nil if there is no replica otherwise.
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

// applyReplication adds the chunks and the saved request that are new in a change, and returns their size in bytes. The caller
// holds the stream's lock.
func (stream *Stream) applyReplication(change *ReplicateRequest) (added int, err error) {
	count := len(stream.chunks)
	switch {
	case stream.ownerName == "" || change.Term < stream.term:
		return 0, wire.StatusError{Code: codeGivenUp} // this router owns the stream now, or the change is of an earlier term
	case stream.failure != "":
		return 0, wire.StatusError{Code: codeGivenUp} // a client may have seen the failure
	case change.Offset > count:
		return 0, wire.StatusError{Code: codeGap}
	}
	for i, chunk := range change.Chunks {
		if change.Offset+i >= count {
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

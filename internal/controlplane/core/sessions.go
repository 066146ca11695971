package core

import (
	"context"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// sessionsKey is the key of the routers' session directory. It is on disk so that sessions keep their runners
// after the loss of all routers; the core does not decode it.
const sessionsKey = "sessions"

// maxSessionsBytes is the size of the largest directory that is stored, in bytes.
const maxSessionsBytes = 1 << 20

// storeSessions stores the directory in place of the one before.
func (s *Server) storeSessions(ctx context.Context, directory *coreapi.SessionDirectory) (*coreapi.Empty, error) {
	if len(directory.Batch) > maxSessionsBytes {
		return nil, wire.StatusError{Code: coreapi.CodeTooLarge}
	}
	err := s.Submit(ctx, pipeline.ClassRouter, func(tx *transaction.Tx) error { return tx.Put(sessionsKey, directory) })
	if err != nil {
		return nil, err
	}
	return &coreapi.Empty{}, nil
}

// readSessions gives the directory that was stored last.
func (s *Server) readSessions() (*coreapi.SessionDirectory, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	var directory coreapi.SessionDirectory
	if raw, ok := s.store.Load().Get(sessionsKey); ok {
		if _, err := directory.UnmarshalMsg(raw); err != nil {
			return nil, err
		}
	}
	return &directory, nil
}

package service

import (
	"context"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// sessionsKey is the key of the routers' session directory. It is stored on disk so that sessions remain assigned to their
// runners after the loss of all routers. The core does not decode it.
const sessionsKey = "sessions"

// maxSessionsBytes is the maximum size of a stored directory.
const maxSessionsBytes = 1 << 20

// storeSessions replaces the stored directory.
func (s *Service) storeSessions(ctx context.Context, directory *coreapi.SessionDirectory) (*coreapi.Empty, error) {
	if len(directory.Batch) > maxSessionsBytes {
		return nil, wire.StatusError{Code: coreapi.CodeTooLarge}
	}
	err := s.host.Submit(ctx, pipeline.ClassRouter, 1, func(tx *transaction.Tx) error { return tx.Put(sessionsKey, directory) })
	if err != nil {
		return nil, err
	}
	return &coreapi.Empty{}, nil
}

// readSessions returns the stored directory, or an empty one if none was stored.
func (s *Service) readSessions() (*coreapi.SessionDirectory, error) {
	if err := s.host.RequirePrimary(); err != nil {
		return nil, err
	}
	var directory coreapi.SessionDirectory
	if raw, ok := s.host.Store().Get(sessionsKey); ok {
		if _, err := directory.UnmarshalMsg(raw); err != nil {
			return nil, err
		}
	}
	return &directory, nil
}

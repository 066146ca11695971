package service

import (
	"context"
	"net/http"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// readConfig returns the configuration in force, or an older version that is still retained.
func (s *Service) readConfig(request *coreapi.ConfigRequest) (*coreapi.StoredConfig, error) {
	if err := s.host.RequirePrimary(); err != nil {
		return nil, err
	}
	current := s.committedConfig()
	if request.Version == 0 || request.Version == current.Version {
		return &current, nil
	}
	return configuration.ReadVersion(s.host.Store(), request.Version, current.Version)
}

// committedConfig returns the newest committed configuration.
func (s *Service) committedConfig() coreapi.StoredConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// writeConfig validates and applies an operator's change. It responds once the change is committed and pushed to the first
// routers of every zone, or once that push has timed out.
func (s *Service) writeConfig(ctx context.Context, request *coreapi.WriteRequest) (*coreapi.WriteResponse, error) {
	if len(request.Raw) > s.codec.MaxBytes() {
		return &coreapi.WriteResponse{Code: http.StatusRequestEntityTooLarge}, nil
	}
	response := &coreapi.WriteResponse{Code: http.StatusOK}
	hash := configuration.Hash(request.Raw)
	var written coreapi.StoredConfig
	err := s.host.Submit(ctx, pipeline.ClassConfig, 1, func(tx *transaction.Tx) (err error) {
		written, err = s.documents.Write(tx, request, hash, response)
		return err
	})
	if err != nil {
		return nil, err
	}
	if written.Version > 0 {
		s.ctx.Log.Info("Configuration taken.", "sequence", written.Version)
		s.push(dissemination.ConfigRecord(written.Version, written.Raw))
		if !s.host.IsPrimary() {
			return nil, wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
		}
	}
	return response, nil
}

package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
)

// claimKey handles a request to claim an idempotency key.
func (s *Service) claimKey(ctx context.Context, request *coreapi.ClaimRequest) (*coreapi.ClaimResponse, error) {
	response := &coreapi.ClaimResponse{}
	err := s.host.Submit(ctx, pipeline.ClassClaim, 1, func(tx *transaction.Tx) error { return s.claims.Claim(tx, request, response, s.mayRunBeAlive) })
	if err != nil {
		return nil, err
	}
	return response, nil
}

// completeClaim records the outcome of a claimed request, or releases its key.
func (s *Service) completeClaim(ctx context.Context, request *coreapi.CompleteClaimRequest) (*coreapi.Empty, error) {
	return &coreapi.Empty{}, s.host.Submit(ctx, pipeline.ClassClaim, 1, func(tx *transaction.Tx) error { return s.claims.Complete(tx, request) })
}

// mayRunBeAlive reports whether a run of a node may be alive. After a change of primary, every run counts as alive until it has
// had time to send a heartbeat.
func (s *Service) mayRunBeAlive(node string, run uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers.MayBeAlive(node, run, time.Now())
}

// sweepClaims schedules the removal of expired idempotency records.
func (s *Service) sweepClaims(now time.Time, limits configuration.ClaimLimits) {
	for _, operation := range s.claims.Sweep(s.host.Store(), now, limits) {
		s.host.SubmitLater(pipeline.ClassClaim, operation)
	}
}

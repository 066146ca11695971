package core

import (
	"context"
	"time"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
)

// claimPrefix begins the keys of claims.
const claimPrefix = "claim/"

// takeClaim gives a once-only key to who asks first, and tells the others what became of it.
func (s *Server) takeClaim(ctx context.Context, request *coreapi.ClaimRequest) (*coreapi.ClaimResponse, error) {
	response := &coreapi.ClaimResponse{}
	err := s.Submit(ctx, func(tx *transaction.Tx) error { return s.putClaim(tx, request, response) })
	if err != nil {
		return nil, err
	}
	return response, nil
}

// putClaim judges one request for a claim and records the claim where it is granted.
func (s *Server) putClaim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse) error {
	stored, known, err := readClaim(tx, request.Key)
	if err != nil {
		return err
	}
	isOwn := stored.Claimant == request.Claim.Claimant
	if !known || stored.State == coreapi.ClaimReleased && !isOwn {
		return s.putNewClaim(tx, request, response, known)
	}
	if stored.State == coreapi.ClaimReleased {
		response.Claim = stored
		return nil
	}
	response.Conflict = stored.RequestHash != request.Claim.RequestHash
	switch {
	case isOwn:
		response.Granted = !response.Conflict
	case !response.Conflict:
		response.Claim = stored
		response.Running = stored.State == coreapi.ClaimRunning && s.mayRun(stored.Node, stored.NodeRun)
	}
	return nil
}

// putNewClaim grants a key that nobody holds, if it did not run before and there is room.
func (s *Server) putNewClaim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse, known bool) error {
	switch {
	case !known && s.finishedKeys.has(tx, keyHash(request.Key)):
		response.AlreadyRan = true
		return nil
	case s.finishedKeys.count >= s.maxFinishedKeys():
		response.TooManyKeys = true
		return nil
	}
	response.Granted = true
	return tx.Put(claimPrefix+request.Key, &request.Claim)
}

// readClaim reads the claim of a key. known is false where there is none.
func readClaim(tx *transaction.Tx, key string) (claim coreapi.Claim, known bool, err error) {
	raw, known := tx.Get(claimPrefix + key)
	if known {
		_, err = claim.UnmarshalMsg(raw)
	}
	return claim, known, err
}

// mayRun reports whether a run of a node may be alive. Just after a hand-over every one counts as alive until it has had
// time to send a heartbeat.
func (s *Server) mayRun(node string, run uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers.MayBeAlive(node, run, time.Now())
}

// settleClaim records what became of a claimed key, or lets it go.
func (s *Server) settleClaim(ctx context.Context, request *coreapi.CompleteClaimRequest) (*coreapi.Empty, error) {
	return &coreapi.Empty{}, s.Submit(ctx, func(tx *transaction.Tx) error {
		stored, known, err := readClaim(tx, request.Key)
		if err != nil {
			return err
		}
		if known && stored.Claimant != request.Claim.Claimant || stored.State != coreapi.ClaimRunning {
			return nil // another's, or settled before
		}
		key := claimPrefix + request.Key
		switch {
		case request.Release:
			// The taking itself may still be under way to us: it must find that it was let go.
			return tx.Put(key, &coreapi.Claim{Claimant: request.Claim.Claimant, State: coreapi.ClaimReleased})
		case known:
			return tx.Put(key, &request.Claim)
		}
		return nil
	})
}

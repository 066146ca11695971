package core

import (
	"context"
	"time"
)

// claimPrefix begins the keys of claims.
const claimPrefix = "claim/"

// States of a claim.
const (
	ClaimRuns    = 0
	ClaimDone    = 1
	ClaimUnknown = 2
	ClaimFreed   = 3 // let go: anybody but its own late taking may claim the key
)

// takeClaim gives a once-only key to who asks first, and tells the others what became of it.
func (s *Server) takeClaim(ctx context.Context, request *ClaimRequest) (*ClaimResponse, error) {
	response := &ClaimResponse{}
	err := s.Submit(ctx, func(tx *Tx) error { return s.putClaim(tx, request, response) })
	if err != nil {
		return nil, err
	}
	return response, nil
}

// putClaim judges one request for a claim and records the claim where it is granted.
func (s *Server) putClaim(tx *Tx, request *ClaimRequest, response *ClaimResponse) error {
	stored, known, err := tx.claim(request.Key)
	if err != nil {
		return err
	}
	isOwn := stored.Claimant == request.Claim.Claimant
	if !known || stored.State == ClaimFreed && !isOwn {
		return s.putNewClaim(tx, request, response, known)
	}
	if stored.State == ClaimFreed {
		response.Claim = stored
		return nil
	}
	response.Conflict = stored.RequestHash != request.Claim.RequestHash
	switch {
	case isOwn:
		response.Granted = !response.Conflict
	case !response.Conflict:
		response.Claim = stored
		response.Running = stored.State == ClaimRuns && s.mayRun(stored.Node, stored.NodeRun)
	}
	return nil
}

// putNewClaim grants a key that nobody holds, if it did not run before and there is room.
func (s *Server) putNewClaim(tx *Tx, request *ClaimRequest, response *ClaimResponse, known bool) error {
	switch {
	case !known && s.finishedKeys.has(tx, keyHash(request.Key)):
		response.AlreadyRan = true
		return nil
	case s.finishedKeys.count >= s.maxFinishedKeys():
		response.Full = true
		return nil
	}
	response.Granted = true
	return tx.Put(claimPrefix+request.Key, &request.Claim)
}

// claim reads the claim of a key. known is false where there is none.
func (t *Tx) claim(key string) (claim Claim, known bool, err error) {
	raw, known := t.Get(claimPrefix + key)
	if known {
		_, err = claim.UnmarshalMsg(raw)
	}
	return claim, known, err
}

// mayRun tells whether a run of a node may be alive. Just after a hand-over every one counts as alive until it has had
// time to send a heartbeat.
func (s *Server) mayRun(node string, run uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.readySince) < nodeLeaseTerm {
		return true
	}
	known := s.nodes[node]
	return known != nil && known.node.Run == run && time.Since(known.heardAt) < nodeLeaseTerm
}

// settleClaim records what became of a claimed key, or lets it go.
func (s *Server) settleClaim(ctx context.Context, request *SettleRequest) (*Empty, error) {
	return &Empty{}, s.Submit(ctx, func(tx *Tx) error {
		stored, known, err := tx.claim(request.Key)
		if err != nil {
			return err
		}
		if known && stored.Claimant != request.Claim.Claimant || stored.State != ClaimRuns {
			return nil // another's, or settled before
		}
		key := claimPrefix + request.Key
		switch {
		case request.Release:
			// The taking itself may still be under way to us: it must find that it was let go.
			return tx.Put(key, &Claim{Claimant: request.Claim.Claimant, State: ClaimFreed})
		case known:
			return tx.Put(key, &request.Claim)
		}
		return nil
	})
}

// StreamPrefix begins the keys under which the right to carry a stream on is claimed. No tenant's key
// begins so: a tenant's name is not empty.
const StreamPrefix = "/stream/"

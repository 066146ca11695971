// Package idempotency is the state machine of idempotency keys: who claimed a key, the response with which the claimed
// request was completed, and, long after that is gone, that the key was used. It sees a batch of the core's state and does
// no I/O; the core submits its operations and commits the batch.
package idempotency

import (
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// claimPrefix begins the keys of claims.
const claimPrefix = "claim/"

// Claims grants, completes, releases and expires claims. Only the goroutine of the core's run loop may call its methods.
type Claims struct {
	maxFinishedKeys func() int // by the configuration in force
	finished        finishedKeys
	writtenChunks   int                  // chunks of finished keys written by this run of the process
	firstSeen       map[string]time.Time // by this run of the process: claims, and chunks of the finished keys
}

// New makes the state machine. maxFinishedKeys gives the most finished keys that are kept; it is asked only for claims of
// new keys, within Claim.
func New(maxFinishedKeys func() int) *Claims {
	return &Claims{maxFinishedKeys: maxFinishedKeys}
}

// Load reads what it keeps in memory anew from a committed state: the core begins to lead.
func (c *Claims) Load(committed *store.Store) { c.finished.load(committed) }

// ApplyCommitted follows a batch that was committed.
func (c *Claims) ApplyCommitted(tx *transaction.Tx) { c.finished.applyAll(tx.Mutations()) }

// Claim grants an idempotency key to the first claimant, and tells the others what became of it. isRunAlive reports
// whether a run of a node may still be at work on the request that it claimed; it is asked only about a claim that was
// neither completed nor released.
func (c *Claims) Claim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse, isRunAlive func(node string, run uint64) bool) error {
	stored, known, err := readClaim(tx, request.Key)
	if err != nil {
		return err
	}
	isOwn := stored.Claimant == request.Claim.Claimant
	if !known || stored.State == coreapi.ClaimReleased && !isOwn {
		return c.grantClaim(tx, request, response, known)
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
		response.Running = stored.State == coreapi.ClaimRunning && isRunAlive(stored.Node, stored.NodeRun)
	}
	return nil
}

// grantClaim grants a key that nobody has claimed, unless it was used before or too many finished keys are kept.
func (c *Claims) grantClaim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse, known bool) error {
	switch {
	case !known && c.finished.has(tx, keyHash(request.Key)):
		response.AlreadyRan = true
		return nil
	case c.finished.count >= c.maxFinishedKeys():
		response.TooManyKeys = true
		return nil
	}
	response.Granted = true
	return tx.Put(claimPrefix+request.Key, &request.Claim)
}

// Complete records the outcome of a claimed request, or releases its key. It changes nothing where the claim is another
// claimant's, or was completed or released before.
func (c *Claims) Complete(tx *transaction.Tx, request *coreapi.CompleteClaimRequest) error {
	stored, known, err := readClaim(tx, request.Key)
	if err != nil {
		return err
	}
	if known && stored.Claimant != request.Claim.Claimant || stored.State != coreapi.ClaimRunning {
		return nil
	}
	key := claimPrefix + request.Key
	switch {
	case request.Release:
		// The request for the claim may still be in flight: it must find that the claim was released.
		return tx.Put(key, &coreapi.Claim{Claimant: request.Claim.Claimant, State: coreapi.ClaimReleased})
	case known:
		return tx.Put(key, &request.Claim)
	}
	return nil
}

// readClaim reads the claim of a key. known is false where there is none.
func readClaim(tx *transaction.Tx, key string) (claim coreapi.Claim, known bool, err error) {
	raw, known := tx.Get(claimPrefix + key)
	if !known {
		return claim, false, nil
	}
	if _, err := claim.UnmarshalMsg(raw); err != nil {
		return claim, true, eris.Wrap(err, "idempotency: decode a claim")
	}
	return claim, true, nil
}

// Counts is how much a committed state keeps of idempotency keys.
type Counts struct {
	Claims            int
	FinishedKeys      int
	FinishedKeyChunks int // records that hold the finished keys
}

// Count counts what a committed state keeps. It is safe for concurrent use.
func Count(committed *store.Store) Counts {
	var counts Counts
	committed.ForEachWithPrefix(claimPrefix, func(string, []byte) { counts.Claims++ })
	committed.ForEachWithPrefix(finishedPrefix, func(_ string, raw []byte) {
		counts.FinishedKeyChunks++
		counts.FinishedKeys += len(raw) / hashBytes
	})
	return counts
}

// Package idempotency is the state machine of idempotency keys: which claimant a key was granted to, the response with which
// the claimed request was completed, and, long after that response has expired, that the key was used. It operates on a batch
// of the core's state and does no I/O; the core submits its operations and commits the batch.
package idempotency

import (
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

// claimPrefix is the prefix of the store keys of claims.
const claimPrefix = "claim/"

// Claims grants, completes, releases and expires claims. Only the goroutine of the core's run loop may call its methods.
type Claims struct {
	maxFinishedKeys func() int // limit in the current configuration
	finished        finishedKeys
	writtenChunks   int                  // chunks of finished keys written by this run of the process; makes their keys unique
	firstSeen       map[string]time.Time // when this run of the process first saw a claim or a chunk, by store key
}

// New returns the state machine. maxFinishedKeys returns the number of finished keys at which no more keys are granted. It is
// called only by Claim, and only if the key could otherwise be granted.
func New(maxFinishedKeys func() int) *Claims {
	return &Claims{maxFinishedKeys: maxFinishedKeys}
}

// Load rebuilds the in-memory state from a committed state. It must be called when this process becomes primary.
func (c *Claims) Load(committed *store.Store) { c.finished.load(committed) }

// ApplyCommitted updates the in-memory state after a batch was committed.
func (c *Claims) ApplyCommitted(tx *transaction.Tx) { c.finished.applyAll(tx.Mutations()) }

// Claim grants an idempotency key to its first claimant; the response to any other claimant has the state of that claim.
// isRunAlive reports whether a run of a node may still be processing the request that it claimed. It is called only for a claim
// that is neither completed nor released.
func (c *Claims) Claim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse, isRunAlive func(node string, run uint64) bool) error {
	stored, found, err := readClaim(tx, request.Key)
	if err != nil {
		return err
	}
	isOwn := stored.Claimant == request.Claim.Claimant
	if !found || stored.State == coreapi.ClaimReleased && !isOwn {
		return c.grantClaim(tx, request, response, found)
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

// grantClaim grants a key that is unclaimed, or that another claimant has released. It does not grant a finished key, or any key
// while there are too many finished keys.
func (c *Claims) grantClaim(tx *transaction.Tx, request *coreapi.ClaimRequest, response *coreapi.ClaimResponse, isReleased bool) error {
	switch {
	case !isReleased && c.finished.contains(tx, keyHash(request.Key)):
		response.AlreadyRan = true
		return nil
	case c.finished.count >= c.maxFinishedKeys():
		response.TooManyKeys = true
		return nil
	}
	response.Granted = true
	return tx.Put(claimPrefix+request.Key, &request.Claim)
}

// Complete records the outcome of a claimed request, or releases its key. It does nothing if the key is claimed by another
// claimant, or if the claim has already been completed or released.
func (c *Claims) Complete(tx *transaction.Tx, request *coreapi.CompleteClaimRequest) error {
	stored, found, err := readClaim(tx, request.Key)
	if err != nil {
		return err
	}
	if found && stored.Claimant != request.Claim.Claimant || stored.State != coreapi.ClaimRunning {
		return nil
	}
	key := claimPrefix + request.Key
	switch {
	case request.Release:
		// The claim request itself may still be in flight: when it arrives, it must not be granted.
		return tx.Put(key, &coreapi.Claim{Claimant: request.Claim.Claimant, State: coreapi.ClaimReleased})
	case found:
		return tx.Put(key, &request.Claim)
	}
	return nil
}

// readClaim reads the claim of a key. found is false if there is none.
func readClaim(tx *transaction.Tx, key string) (claim coreapi.Claim, found bool, err error) {
	raw, found := tx.Get(claimPrefix + key)
	if !found {
		return claim, false, nil
	}
	if _, err := claim.UnmarshalMsg(raw); err != nil {
		return claim, true, eris.Wrap(err, "idempotency: decode claim")
	}
	return claim, true, nil
}

// Counts has the number of records of each kind that a committed state has for idempotency keys.
type Counts struct {
	Claims            int
	FinishedKeys      int
	FinishedKeyChunks int // records that contain the finished keys
}

// Count counts the records of idempotency keys in a committed state. It is safe for concurrent use.
func Count(committed *store.Store) Counts {
	var counts Counts
	committed.ForEachWithPrefix(claimPrefix, func(string, []byte) { counts.Claims++ })
	committed.ForEachWithPrefix(finishedPrefix, func(_ string, raw []byte) {
		counts.FinishedKeyChunks++
		counts.FinishedKeys += len(raw) / hashBytes
	})
	return counts
}

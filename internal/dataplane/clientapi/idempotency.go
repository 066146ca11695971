package clientapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
)

// KeyHeader is the request header with the client's idempotency key.
const KeyHeader = "Idempotency-Key"

// maxStoredResponseBytes is the largest response stored with a claim, in bytes.
const maxStoredResponseBytes = 16 << 10

const (
	maxKeyBytes       = 200                    // of an idempotency key
	claimTimeout      = 3 * time.Second        // for the core to grant a claim
	completionTimeout = 5 * time.Second        // of one attempt to complete a claim
	completionBackoff = 200 * time.Millisecond // between two attempts
)

// Claims takes and completes the durable claims of idempotency keys at the core. It may be used concurrently.
type Claims struct {
	ctx                daemon.Context
	cluster            *cluster.Member
	nextClaim          atomic.Uint64 // makes the claimant IDs of this process unique
	pendingCompletions atomic.Int64  // completions that the core has not acknowledged
}

// NewClaims returns a client that takes claims for the router of ctx.
func NewClaims(ctx daemon.Context, member *cluster.Member) *Claims {
	return &Claims{ctx: ctx, cluster: member}
}

// PendingCompletions returns how many completions the core has not acknowledged yet.
func (claims *Claims) PendingCompletions() int { return int(claims.pendingCompletions.Load()) }

// idempotencyClaim is a durable claim of one idempotency key, for the time that its request runs.
type idempotencyClaim struct {
	claims    *Claims
	key       string
	record    coreapi.Claim
	completed bool
}

// completeAtCore reports a claim's outcome to the core in the background, and retries until the core acknowledges it or the
// process ends. With release, the key becomes free again.
func (claims *Claims) completeAtCore(claim *idempotencyClaim, release bool) {
	if claim.completed {
		return
	}
	claim.completed = true
	claims.pendingCompletions.Add(1)
	request := coreapi.CompleteClaimRequest{Key: claim.key, Release: release, Claim: claim.record}
	go func() {
		defer claims.pendingCompletions.Add(-1)
		for {
			ctx, cancel := context.WithTimeout(claims.ctx, completionTimeout)
			err := claims.cluster.Core.Call(ctx, "core.settle", &request, nil, true)
			cancel()
			if err == nil || !runloop.Sleep(claims.ctx, completionBackoff) {
				return
			}
		}
	}()
}

// release ends a claim whose request has no complete response. If the outcome is unknown, the key is marked as such; otherwise
// the request certainly did not run, and the key becomes free.
func (claim *idempotencyClaim) release(outcomeUnknown bool) {
	if outcomeUnknown {
		claim.record.State = coreapi.ClaimUnknown
	}
	claim.claims.completeAtCore(claim, !outcomeUnknown)
}

// complete ends a claim with its response, which is stored if it is small enough.
func (claim *idempotencyClaim) complete(status int, contentType string, body []byte) {
	claim.record.State, claim.record.Status, claim.record.ContentType = coreapi.ClaimDone, status, contentType
	if len(body) <= maxStoredResponseBytes {
		claim.record.Response = append([]byte{}, body...)
		claim.record.HasResponse = true
	}
	claim.claims.completeAtCore(claim, false)
}

// acquireClaim acquires the durable claim for a request with an idempotency key in a once-only traffic class. If the key was
// claimed before, it replays the stored response or rejects the request with the earlier one's outcome. If the core is out of
// reach, it rejects the request.
func (e *exchange) acquireClaim() error {
	key := e.incoming.Header.Get(KeyHeader)
	if !e.class.OnceOnly || key == "" || faultinjection.Disabled("claim") {
		return nil
	}
	if len(key) > maxKeyBytes {
		return &Rejection{Status: 400, Code: CodeBadKey, Message: "A " + KeyHeader + " of at most 200 bytes is expected."}
	}
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n", e.incoming.Method, e.incoming.URL.RequestURI())
	hash.Write(e.body)
	claims := e.server.Claims
	claim := &idempotencyClaim{claims: claims, key: e.tenant.Name + "/" + key, record: coreapi.Claim{RequestHash: hex.EncodeToString(hash.Sum(nil)),
		Claimant: fmt.Sprintf("%s/%x/%d", claims.ctx.Name, claims.ctx.RunID, claims.nextClaim.Add(1)),
		Node:     claims.ctx.Name, NodeRun: claims.ctx.RunID}}
	ctx, cancel := context.WithTimeout(e.incoming.Context(), min(e.class.QueueTimeout, claimTimeout))
	defer cancel()
	var response coreapi.ClaimResponse
	err := e.server.Cluster.Core.Call(ctx, "core.take", &coreapi.ClaimRequest{Key: claim.key, Claim: claim.record}, &response, true)
	if err != nil {
		if coreapi.IsOutcomeUnknown(err) {
			claim.release(false) // the core may have granted it; nothing ran, so the key is released once the core is reachable
		}
		return &Rejection{Status: 503, Code: CodeCoreUnreachable, RetryAfter: 2 * time.Second, Message: "The core can't be asked whether this key has run, so it was not run."}
	}
	switch {
	case response.Granted:
		e.claim = claim
		return nil
	case response.AlreadyRan:
		return &Rejection{Status: 409, Code: CodeAlreadyRan, OutcomeUnknown: true, Message: "A query with this key ran before; what came of it is no longer kept. It is not run again."}
	case response.TooManyKeys:
		return &Rejection{Status: 503, Code: CodeTooManyKeys, RetryAfter: time.Minute, Message: "The core keeps as many keys that ran as limits.ran_most allows, so it can take no new one yet."}
	case response.Conflict:
		return &Rejection{Status: 422, Code: CodeKeyReused, Message: "This key was used for another query."}
	case response.Running:
		return &Rejection{Status: 409, Code: CodeStillRunning, RetryAfter: time.Second, OutcomeUnknown: true, Message: "The query with this key is still running."}
	case response.Claim.State == coreapi.ClaimDone && response.Claim.HasResponse:
		return e.replay(response.Claim)
	case response.Claim.State == coreapi.ClaimDone:
		return &Rejection{Status: 409, Code: CodeResponseNotStored, OutcomeUnknown: true, Message: "The query with this key ran to its end; its answer is not kept."}
	}
	return &Rejection{Status: 409, Code: CodeOutcomeUnknown, OutcomeUnknown: true, Message: "What became of the query with this key is not known. It won't be run again."}
}

// replay sends the stored response of a completed claim.
func (e *exchange) replay(record coreapi.Claim) error {
	header := e.writer.Header()
	if record.ContentType != "" {
		header.Set("Content-Type", record.ContentType)
	}
	header.Set("X-Yarrowridge-Replayed", "true")
	header.Set("Content-Length", strconv.Itoa(len(record.Response)))
	e.writer.WriteHeader(record.Status)
	_, _ = e.writer.Write(record.Response)
	return &Rejection{Code: CodeReplayed}
}

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

// KeyHeader is the header by which a client names a request that may run only once.
const KeyHeader = "Idempotency-Key"

// maxStoredResponseBytes is the largest response stored with a claim, in bytes.
const maxStoredResponseBytes = 16 << 10

const (
	maxKeyBytes       = 200
	claimTimeout      = 3 * time.Second        // for the core to grant a claim
	completionTimeout = 5 * time.Second        // of one attempt to complete a claim
	completionBackoff = 200 * time.Millisecond // between two attempts
)

// Claims takes and completes the durable claims of idempotency keys at the core. It may be used concurrently.
type Claims struct {
	ctx                daemon.Context
	cluster            *cluster.Member
	next               atomic.Uint64
	pendingCompletions atomic.Int64 // completions that the core has not acknowledged
}

// NewClaims makes the client of the core's claims.
func NewClaims(ctx daemon.Context, member *cluster.Member) *Claims {
	return &Claims{ctx: ctx, cluster: member}
}

// PendingCompletions counts the completions that the core has not acknowledged yet.
func (claims *Claims) PendingCompletions() int { return int(claims.pendingCompletions.Load()) }

// idempotencyClaim is one durable claim of a key, held while its request runs.
type idempotencyClaim struct {
	claims    *Claims
	key       string
	record    coreapi.Claim
	completed bool
}

// completeAtCore reports to the core what became of a claim, with retries for as long as that takes.
func (claims *Claims) completeAtCore(claim *idempotencyClaim, free bool) {
	if claim.completed {
		return
	}
	claim.completed = true
	claims.pendingCompletions.Add(1)
	in := coreapi.CompleteClaimRequest{Key: claim.key, Release: free, Claim: claim.record}
	go func() {
		defer claims.pendingCompletions.Add(-1)
		for {
			ctx, cancel := context.WithTimeout(claims.ctx, completionTimeout)
			err := claims.cluster.Core.Call(ctx, "core.settle", &in, nil, true)
			cancel()
			if err == nil || !runloop.Sleep(claims.ctx, completionBackoff) {
				return
			}
		}
	}()
}

// release ends a claim whose request has no complete response: the key is free where the request surely never ran.
func (claim *idempotencyClaim) release(unknown bool) {
	if unknown {
		claim.record.State = coreapi.ClaimUnknown
	}
	claim.claims.completeAtCore(claim, !unknown)
}

// complete ends a claim with its response, stored where it is small enough.
func (claim *idempotencyClaim) complete(status int, kind string, raw []byte) {
	claim.record.State, claim.record.Status, claim.record.ContentType = coreapi.ClaimDone, status, kind
	if len(raw) <= maxStoredResponseBytes {
		claim.record.Response = append([]byte{}, raw...)
		claim.record.HasResponse = true
	}
	claim.claims.completeAtCore(claim, false)
}

// takeClaim takes the durable claim for a request with an idempotency key in a once-only traffic class, or says what became
// of the earlier one. Without the core it does not run.
func (e *exchange) takeClaim() error {
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
		Claimant: fmt.Sprintf("%s/%x/%d", claims.ctx.Name, claims.ctx.RunID, claims.next.Add(1)),
		Node:     claims.ctx.Name, NodeRun: claims.ctx.RunID}}
	ctx, cancel := context.WithTimeout(e.incoming.Context(), min(e.class.QueueTimeout, claimTimeout))
	defer cancel()
	var taken coreapi.ClaimResponse
	err := e.server.Cluster.Core.Call(ctx, "core.take", &coreapi.ClaimRequest{Key: claim.key, Claim: claim.record}, &taken, true)
	if err != nil {
		if coreapi.IsOutcomeUnknown(err) {
			claim.release(false) // it may stand there: nothing was run, so let it go when the core is back
		}
		return &Rejection{Status: 503, Code: CodeCoreUnreachable, RetryAfter: 2 * time.Second, Message: "The core can't be asked whether this key has run, so it was not run."}
	}
	switch {
	case taken.Granted:
		e.claim = claim
		return nil
	case taken.AlreadyRan:
		return &Rejection{Status: 409, Code: CodeAlreadyRan, OutcomeUnknown: true, Message: "A query with this key ran before; what came of it is no longer kept. It is not run again."}
	case taken.TooManyKeys:
		return &Rejection{Status: 503, Code: CodeTooManyKeys, RetryAfter: time.Minute, Message: "The core keeps as many keys that ran as limits.ran_most allows, so it can take no new one yet."}
	case taken.Conflict:
		return &Rejection{Status: 422, Code: CodeKeyReused, Message: "This key was used for another query."}
	case taken.Running:
		return &Rejection{Status: 409, Code: CodeStillRunning, RetryAfter: time.Second, OutcomeUnknown: true, Message: "The query with this key is still running."}
	case taken.Claim.State == coreapi.ClaimDone && taken.Claim.HasResponse:
		return e.replay(taken.Claim)
	case taken.Claim.State == coreapi.ClaimDone:
		return &Rejection{Status: 409, Code: CodeResponseNotStored, OutcomeUnknown: true, Message: "The query with this key ran to its end; its answer is not kept."}
	}
	return &Rejection{Status: 409, Code: CodeOutcomeUnknown, OutcomeUnknown: true, Message: "What became of the query with this key is not known. It won't be run again."}
}

// replay answers from a claim that is done.
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

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

// maxKeptResponse is the largest response kept with a claim, in bytes.
const maxKeptResponse = 16 << 10

// Claims takes and settles the durable claims of once-only keys.
type Claims struct {
	ctx      daemon.Context
	cluster  *cluster.Member
	next     atomic.Uint64
	settling atomic.Int64 // settlements under way
}

// NewClaims makes the part that talks about claims with the core.
func NewClaims(ctx daemon.Context, member *cluster.Member) *Claims {
	return &Claims{ctx: ctx, cluster: member}
}

// Settling counts settlements that the core has not answered yet.
func (claims *Claims) Settling() int { return int(claims.settling.Load()) }

// claim is one durable claim of a key, held while its request runs.
type claim struct {
	claims  *Claims
	key     string
	record  coreapi.Claim
	settled bool
}

// settle tells the core what became of a claim, for as long as that takes.
func (claims *Claims) settle(claim *claim, free bool) {
	if claim.settled {
		return
	}
	claim.settled = true
	claims.settling.Add(1)
	in := coreapi.CompleteClaimRequest{Key: claim.key, Release: free, Claim: claim.record}
	go func() {
		defer claims.settling.Add(-1)
		for {
			ctx, cancel := context.WithTimeout(claims.ctx, 5*time.Second)
			err := claims.cluster.Core.Call(ctx, "core.settle", &in, nil, true)
			cancel()
			if err == nil || !runloop.Sleep(claims.ctx, 200*time.Millisecond) {
				return
			}
		}
	}()
}

// release settles a claim whose request has no whole response: free where it surely never ran.
func (claim *claim) release(unknown bool) {
	if unknown {
		claim.record.State = coreapi.ClaimUnknown
	}
	claim.claims.settle(claim, !unknown)
}

// complete settles a claim with its response, kept where it is small enough.
func (claim *claim) complete(status int, kind string, raw []byte) {
	claim.record.State, claim.record.Status, claim.record.ContentType = coreapi.ClaimDone, status, kind
	if len(raw) <= maxKeptResponse {
		claim.record.Response = append([]byte{}, raw...)
		claim.record.HasResponse = true
	}
	claim.claims.settle(claim, false)
}

// takeClaim takes the durable claim for a keyed request on a once-only lane, or tells what became of
// the earlier one. Without the core it doesn't run.
func (x *exchange) takeClaim() error {
	key := x.incoming.Header.Get(KeyHeader)
	if !x.lane.OnceOnly || key == "" || faultinjection.Disabled("claim") {
		return nil
	}
	if len(key) > 200 {
		return &Rejection{Status: 400, Code: "bad-key", Message: "A " + KeyHeader + " of at most 200 bytes is expected."}
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %s\n", x.incoming.Method, x.incoming.URL.RequestURI())
	hash.Write(x.body)
	claims := x.server.Claims
	claim := &claim{claims: claims, key: x.tenant.Name + "/" + key, record: coreapi.Claim{RequestHash: hex.EncodeToString(hash.Sum(nil)),
		Claimant: fmt.Sprintf("%s/%x/%d", claims.ctx.Name, claims.ctx.RunID, claims.next.Add(1)),
		Node:     claims.ctx.Name, NodeRun: claims.ctx.RunID}}
	ctx, cancel := context.WithTimeout(x.incoming.Context(), min(x.lane.QueueTimeout, 3*time.Second))
	defer cancel()
	var taken coreapi.ClaimResponse
	err := x.server.Cluster.Core.Call(ctx, "core.take", &coreapi.ClaimRequest{Key: claim.key, Claim: claim.record}, &taken, true)
	if err != nil {
		if coreapi.IsOutcomeUnknown(err) {
			claim.release(false) // it may stand there: nothing was run, so let it go when the core is back
		}
		return &Rejection{Status: 503, Code: "no-core", RetryAfter: 2 * time.Second, Message: "The core can't be asked whether this key has run, so it was not run."}
	}
	switch {
	case taken.Granted:
		x.claim = claim
		return nil
	case taken.AlreadyRan:
		return &Rejection{Status: 409, Code: "ran-before", OutcomeUnknown: true, Message: "A query with this key ran before; what came of it is no longer kept. It is not run again."}
	case taken.TooManyKeys:
		return &Rejection{Status: 503, Code: "keys-full", RetryAfter: time.Minute, Message: "The core keeps as many keys that ran as limits.ran_most allows, so it can take no new one yet."}
	case taken.Conflict:
		return &Rejection{Status: 422, Code: "key-clash", Message: "This key was used for another query."}
	case taken.Running:
		return &Rejection{Status: 409, Code: "still-running", RetryAfter: time.Second, OutcomeUnknown: true, Message: "The query with this key is still running."}
	case taken.Claim.State == coreapi.ClaimDone && taken.Claim.HasResponse:
		return x.replay(taken.Claim)
	case taken.Claim.State == coreapi.ClaimDone:
		return &Rejection{Status: 409, Code: "done-not-kept", OutcomeUnknown: true, Message: "The query with this key ran to its end; its answer is not kept."}
	}
	return &Rejection{Status: 409, Code: "outcome-unknown", OutcomeUnknown: true, Message: "What became of the query with this key is not known. It won't be run again."}
}

// replay answers from a claim that is done.
func (x *exchange) replay(record coreapi.Claim) error {
	header := x.writer.Header()
	if record.ContentType != "" {
		header.Set("Content-Type", record.ContentType)
	}
	header.Set("X-Yarrowridge-Replayed", "true")
	header.Set("Content-Length", strconv.Itoa(len(record.Response)))
	x.writer.WriteHeader(record.Status)
	x.writer.Write(record.Response)
	return &Rejection{Code: "replayed"}
}

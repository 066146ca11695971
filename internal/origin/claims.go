package origin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/node"
	"yarrowridge/internal/strike"
)

// KeyHead is the header by which an origin names a query that may run only once.
const KeyHead = "Idempotency-Key"

// keepMost is the largest answer kept with a claim, in bytes.
const keepMost = 16 << 10

// Claims takes and settles the durable claims of once-only keys.
type Claims struct {
	ctx  env.Ctx
	hub  *node.Hub
	next atomic.Uint64
	open atomic.Int64 // settlements under way
}

// NewClaims makes the part that talks about claims with the core.
//
//	c := origin.NewClaims(ctx, hub)
func NewClaims(ctx env.Ctx, hub *node.Hub) *Claims { return &Claims{ctx: ctx, hub: hub} }

// Open counts settlements that the core has not answered yet.
//
//	for c.Open() > 0 { ... }
func (c *Claims) Open() int { return int(c.open.Load()) }

type claim struct {
	c    *Claims
	key  string
	rec  core.Claim
	over bool
}

func (c *Claims) settle(cl *claim, free bool) {
	if cl.over {
		return
	}
	cl.over = true
	c.open.Add(1)
	in := core.Settle{Key: cl.key, Free: free, Claim: cl.rec}
	go func() {
		defer c.open.Add(-1)
		for {
			ctx, end := context.WithTimeout(c.ctx, 5*time.Second)
			err := c.hub.Core.Call(ctx, "core.settle", &in, nil, true)
			end()
			if err == nil || !env.Wait(c.ctx, 200*time.Millisecond) {
				return
			}
		}
	}()
}

// end settles a claim whose query has no whole answer: free where it surely never ran.
func (cl *claim) end(unknown bool) {
	if unknown {
		cl.rec.State = core.ClaimUnknown
	}
	cl.c.settle(cl, !unknown)
}

// done settles a claim with its answer, kept where it is small enough.
func (cl *claim) done(status int, kind string, raw []byte) {
	cl.rec.State, cl.rec.Status, cl.rec.Kind = core.ClaimDone, status, kind
	if len(raw) <= keepMost {
		cl.rec.Answer = append([]byte{}, raw...)
		cl.rec.Kept = true
	}
	cl.c.settle(cl, false)
}

// claimed takes the durable claim for a keyed query on a once-only lane, or tells what became of
// the earlier one. Without the core it doesn't run.
func (y *way) claimed() error {
	key := y.r.Header.Get(KeyHead)
	if !y.lane.Once || key == "" || strike.Out("claim") {
		return nil
	}
	if len(key) > 200 {
		return &Bounce{Status: 400, Code: "bad-key", Text: "A " + KeyHead + " of at most 200 bytes is expected."}
	}
	sum := sha256.New()
	fmt.Fprintf(sum, "%s %s\n", y.r.Method, y.r.URL.RequestURI())
	sum.Write(y.body)
	c := y.f.Claims
	cl := &claim{c: c, key: y.tn.Name + "/" + key, rec: core.Claim{Sum: hex.EncodeToString(sum.Sum(nil)),
		Id:   fmt.Sprintf("%s/%x/%d", c.ctx.Name, c.ctx.Born, c.next.Add(1)),
		Node: c.ctx.Name, Born: c.ctx.Born}}
	ctx, end := context.WithTimeout(y.r.Context(), min(y.lane.Patience, 3*time.Second))
	defer end()
	var out core.Took
	err := y.f.Hub.Core.Call(ctx, "core.take", &core.Take{Key: cl.key, Claim: cl.rec}, &out, true)
	if err != nil {
		if core.Doubt(err) {
			cl.end(false) // it may stand there: nothing was run, so let it go when the core is back
		}
		return &Bounce{Status: 503, Code: "no-core", Retry: 2 * time.Second, Text: "The core can't be asked whether this key has run, so it was not run."}
	}
	switch {
	case out.Got:
		y.claim = cl
		return nil
	case out.Ran:
		return &Bounce{Status: 409, Code: "ran-before", Unknown: true, Text: "A query with this key ran before; what came of it is no longer kept. It is not run again."}
	case out.Full:
		return &Bounce{Status: 503, Code: "keys-full", Retry: time.Minute, Text: "The core keeps as many keys that ran as limits.ran_most allows, so it can take no new one yet."}
	case out.Clash:
		return &Bounce{Status: 422, Code: "key-clash", Text: "This key was used for another query."}
	case out.Live:
		return &Bounce{Status: 409, Code: "still-running", Retry: time.Second, Unknown: true, Text: "The query with this key is still running."}
	case out.Claim.State == core.ClaimDone && out.Claim.Kept:
		return y.replay(out.Claim)
	case out.Claim.State == core.ClaimDone:
		return &Bounce{Status: 409, Code: "done-not-kept", Unknown: true, Text: "The query with this key ran to its end; its answer is not kept."}
	}
	return &Bounce{Status: 409, Code: "outcome-unknown", Unknown: true, Text: "What became of the query with this key is not known. It won't be run again."}
}

// replay answers from a claim that is done.
func (y *way) replay(c core.Claim) error {
	h := y.w.Header()
	if c.Kind != "" {
		h.Set("Content-Type", c.Kind)
	}
	h.Set("X-Yarrowridge-Replayed", "true")
	h.Set("Content-Length", strconv.Itoa(len(c.Answer)))
	y.w.WriteHeader(c.Status)
	y.w.Write(c.Answer)
	return &Bounce{Code: "replayed"}
}

package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/retry"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/model/routing"
)

// Quotas keeps tenants within their limits.
type Quotas interface {
	// Reserve holds so many units of a quota. False: too few are left for now; when to ask again.
	Reserve(ctx context.Context, quota string, units int) (bool, time.Duration)
	// Spend turns a reservation into spent units: the request leaves for a runner now.
	Spend(quota string, units int)
	// Release ends a reservation unspent.
	Release(quota string, units int)
	// Scarce reports whether the quota is nearly spent over all routers.
	Scarce(quota string) bool
}

// RetryBounds bound the second attempts of the whole fleet at one service.
type RetryBounds struct {
	Ratio     float64
	Allowance int
}

// KeyBounds tell for how long tenants' keys hold at a router that cannot ask whether they still do.
type KeyBounds struct {
	// Term is within which a key that a configuration took away is of no use anywhere, from that configuration's
	// acknowledgement. 0: a router goes by the configuration that it has.
	Term time.Duration
	// ConfirmedAt is the latest moment of which all configurations acknowledged before it are known to be obeyed.
	ConfirmedAt func() time.Time
}

// clockDriftDivisor is the part of the term by which two machines' monotonic clocks may differ over it.
const clockDriftDivisor = 10

// Stale reports whether keys may have been taken away for longer than the term at a moment, without our knowing.
func (k KeyBounds) Stale(at time.Time) bool {
	return k.Term > 0 && at.Sub(k.ConfirmedAt()) > k.Term-k.Term/clockDriftDivisor
}

// Options are what a gateway is made of.
type Options struct {
	Dialect    Dialect
	Table      func() *routing.Table // the routing table in force; nil: none yet
	Ready      func() string         // why nothing can be served; "": it can
	Balancer   *balance.Balancer
	Pool       *upstream.Pool
	Quotas     Quotas
	Retries    RetryBounds
	Keys       KeyBounds
	LocalShare func(whole int) int // this router's part of a whole that all routers share
	Log        *slog.Logger
}

// Gateway answers clients.
type Gateway struct {
	Options
	budget          *retry.Budget
	draining        atomic.Bool
	open            atomic.Int64
	counts          counters
	maxOutputTokens routeMaxima[int]           // the most output that was asked for, in tokens
	maxDeadlines    routeMaxima[time.Duration] // the longest time that a client has told
}

// New makes a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, budget: retry.New(), counts: newCounters()}
}

// Drain begins to leave: each answer from now on asks the client to close the connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Open counts the requests under way.
func (g *Gateway) Open() int { return int(g.open.Load()) }

// ServeHTTP carries one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	request := &request{gateway: g, writer: w, client: r, received: time.Now()}
	err := request.run()
	if err == nil {
		g.counts.add(request, codeDone)
		return
	}
	refusal, known := err.(*Rejection)
	if !known {
		g.Log.Error("A request failed by a fault of ours.", "error", err.Error())
		refusal = failRunnerLost
	}
	g.counts.add(request, refusal.Code)
	if refusal.Status == 0 || request.responseStarted {
		// The client must not take a cut answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	refusal.write(w)
}

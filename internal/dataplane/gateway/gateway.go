package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/retry"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/model/routing"
)

// Quotas keeps tenants within their limits. Requests call it concurrently.
type Quotas interface {
	// Reserve reserves units of a quota. It may block until ctx ends, while it asks for more. False: too few are left for
	// now; retryAfter is when to ask again.
	Reserve(ctx context.Context, quota string, units int) (ok bool, retryAfter time.Duration)
	// Spend turns a reservation into spent units: the request has been sent to a runner. It does not block.
	Spend(quota string, units int)
	// Release ends a reservation unspent. It does not block.
	Release(quota string, units int)
	// Unanswered reports, after Reserve has reported false, that it is not known whether the quota is spent: the control plane
	// was asked for units and has not answered. It does not block.
	Unanswered(quota string) bool
	// Scarce reports whether the quota is nearly spent over all routers.
	Scarce(quota string) bool
}

// RetryBounds bound the retries of the whole fleet at one service.
type RetryBounds struct {
	Ratio     float64 // retries that each request earns
	Allowance int     // retries on top, over all routers
}

// Options are what a gateway is made of. All functions are called concurrently and must not block.
type Options struct {
	Dialect    Dialect
	Table      func() *routing.Table // the routing table in force; nil: none yet
	NotReadyReason      func() string         // why nothing can be served; "": it can
	Balancer   *balance.Balancer
	Pool       *upstream.Pool
	Quotas     Quotas
	Retries    RetryBounds
	Keys       KeyBounds
	LocalShare func(total int) int // this router's share of a total that all routers divide among them
	Log        *slog.Logger
}

// Gateway serves clients' requests. It is an http.Handler.
type Gateway struct {
	Options
	budget          *retry.Budget
	draining        atomic.Bool
	open            atomic.Int64
	counts          counters
	maxOutputTokens routeMaxima[int]           // the most output that a client asked for
	maxDeadlines    routeMaxima[time.Duration] // the longest time that a client said it would wait
}

// New makes a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, budget: retry.New(), counts: newCounters()}
}

// Drain begins the graceful shutdown: each response from now on asks the client to close its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns how many requests are in flight.
func (g *Gateway) InFlight() int { return int(g.open.Load()) }

// ServeHTTP serves one request.
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
	var rejection *Rejection
	if !errors.As(err, &rejection) {
		g.Log.Error("Request failed by an internal fault.", "error", err.Error())
		rejection = reject(CodeRunnerLost)
	}
	g.counts.add(request, rejection.Code)
	if rejection.Status == 0 || request.responseStarted {
		// The client must not take a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
	rejection.write(w)
}

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

// Quotas enforces the tenants' rate limits. Its methods are called concurrently.
type Quotas interface {
	// Reserve reserves units of a quota. It may block until ctx ends while it requests more units from the control plane. If
	// ok is false, too few units are left for now, and retryAfter is how long to wait before retrying.
	Reserve(ctx context.Context, quota string, units int) (ok bool, retryAfter time.Duration)
	// Spend commits a reservation once the request has been sent to a runner. It does not block.
	Spend(quota string, units int)
	// Release cancels a reservation and returns its units. It does not block.
	Release(quota string, units int)
	// Unanswered reports, after Reserve has returned false, whether the control plane has not yet answered the request for
	// more units, so that it is unknown whether the quota is spent. It does not block.
	Unanswered(quota string) bool
	// Scarce reports whether the quota is nearly spent across all routers.
	Scarce(quota string) bool
}

// RetryBounds limits the retries of all routers together at one service.
type RetryBounds struct {
	Ratio     float64 // retries earned per request
	Allowance int     // additional retries, summed over all routers
}

// Options configures a Gateway. All functions are called concurrently and must not block.
type Options struct {
	Dialect        Dialect
	Table          func() *routing.Table // the current routing table; nil: none yet
	NotReadyReason func() string         // why requests cannot be served; "": they can
	Balancer       *balance.Balancer
	Pool           *upstream.Pool
	Quotas         Quotas
	Retries        RetryBounds
	Keys           KeyBounds
	LocalShare     func(total int) int // this router's share of a total that is divided among all routers
	Log            *slog.Logger
}

// Gateway serves clients' requests. It is an http.Handler.
type Gateway struct {
	Options
	retryBudget     *retry.Budget
	drainingSince   atomic.Pointer[time.Time] // nil: the graceful shutdown has not begun
	inFlight        atomic.Int64
	counts          counters
	maxOutputTokens routeMaxima[int]           // the largest output that a client requested, by route
	maxDeadlines    routeMaxima[time.Duration] // the longest deadline that a client sent, by route
}

// New creates a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, retryBudget: retry.New(), counts: newCounters()}
}

// Drain begins the graceful shutdown: from now on each response asks the client to close its connection.
func (g *Gateway) Drain() {
	now := time.Now()
	g.drainingSince.CompareAndSwap(nil, &now)
}

// isDraining reports whether the graceful shutdown has begun.
func (g *Gateway) isDraining() bool { return g.drainingSince.Load() != nil }

// drainingFor returns the time since the graceful shutdown began, 0 before it.
func (g *Gateway) drainingFor() time.Duration {
	since := g.drainingSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP serves one request. It aborts the connection if the response has been started but cannot be completed, and if
// the client has disconnected.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.isDraining() {
		w.Header().Set("Connection", "close")
	}
	request := &request{gateway: g, writer: w, httpRequest: r, received: time.Now()}
	err := request.run()
	if err == nil {
		g.counts.add(request, codeCompleted)
		return
	}
	var rejection *Rejection
	if !errors.As(err, &rejection) {
		g.Log.Error("Request failed by an internal fault.", "error", err.Error())
		rejection = reject(CodeRunnerLost)
	}
	g.counts.add(request, rejection.Code)
	if rejection.Status == 0 || request.responseStarted {
		if rejection.Code != CodeClientDisconnected {
			request.reportInterruption(rejection)
		}
		// Abort the connection so that the client cannot mistake a truncated response for a complete one.
		panic(http.ErrAbortHandler)
	}
	rejection.write(w)
}

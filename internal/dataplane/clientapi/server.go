// Package clientapi serves the clients' HTTP API: it takes each request from its reading to its response,
// by way of authentication, routing, admission, the choice of a runner and, where one was lost, a second run.
package clientapi

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/place"
	"yarrowridge/internal/dataplane/request"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/dataplane/tracing"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/metrics"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/model/quota"
)

// Responses are buffered completely before a success is written, so they are bounded.
const (
	maxResponseBytes    = 8 << 20
	maxEventBytes       = 1 << 20
	maxFirstByteTimeout = time.Hour              // no response is awaited longer than this for its length
	bodyDrainTimeout    = 500 * time.Millisecond // for the rest of a body, once its request was rejected
)

// Server answers clients.
type Server struct {
	Ctx         daemon.Context
	Cluster     *cluster.Member
	Runners     *runner.Pool
	Scheduler   *place.Scheduler
	Sender      *runner.Sender
	Metrics     *metrics.Metrics
	Log         *request.Log
	QuotaShares *quota.Shares
	Retries     *RetryBudget
	Claims      *Claims
	Streams     *streamstore.Store
	Tracer      *tracing.Tracer

	open atomic.Int64 // known tenants' requests in flight
}

// exchange is one request with all that its steps need.
type exchange struct {
	server           *Server
	request          *request.Request
	writer           http.ResponseWriter
	incoming         *http.Request
	config           *fleetconfig.Config
	tenantIndex      int
	tenant           *fleetconfig.Tenant
	class            *fleetconfig.TrafficClass
	pool             *fleetconfig.Pool
	body             []byte
	bodyRead         bool         // the body was read completely
	keyHash          string       // hash of the key it came with
	attemptedRunners map[int]bool // runs of runners that were attempted already
	resumable        *resumableStream
	isRetry          bool // it is a second run of a stream

	wantsStream     bool // it asks for a stream
	model           string
	prompt          string
	maxTokens       int // output that it may have; 0 in classes without prompts
	loweredTo       int // what it was lowered to, if it was
	reservedUnits   int // quota units reserved
	claim           *idempotencyClaim
	estimatedWait   time.Duration // for a runner, as the allowance judged it
	queueKind       string
	abortConnection bool // the response ends without its frame
}

// ServeHTTP serves one request from its headers to its end.
func (s *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	e := &exchange{server: s, request: request.New(), writer: writer, incoming: incoming}
	writer.Header().Set(runner.RequestHeader, e.request.ID)
	err := e.run()
	e.releaseUnits()
	code := "done"
	if err != nil {
		code = e.reject(err)
		s.Log.Add(e.request, code)
	}
	s.Tracer.Export(e.request, code)
	s.Metrics.Requests.WithLabelValues(e.request.Lane, code).Inc()
	if e.abortConnection {
		// The frame of a stream that ended with an error is never closed as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

// run takes the request through its steps; the first error ends it.
func (e *exchange) run() error {
	if err := e.authenticate(); err != nil {
		return err
	}
	// Unknown keys were rejected by their headers and do not count; the bodies of known tenants are read only within the
	// bound, so that a flood of requests costs no memory.
	defer e.server.open.Add(-1)
	if int(e.server.open.Add(1)) > e.config.Limits.OpenRequests {
		return &Rejection{Status: 503, Code: CodeTooManyRequests, Message: "Too many queries are under way.", RetryAfter: time.Second}
	}
	if strings.HasPrefix(e.incoming.URL.Path, StreamPath) {
		return e.resume()
	}
	for _, step := range []func() error{e.route, e.admit, e.takeClaim} {
		if err := step(); err != nil {
			return err
		}
	}
	err := e.serve()
	if e.resumable != nil {
		err = e.continueStream(err)
	}
	return err
}

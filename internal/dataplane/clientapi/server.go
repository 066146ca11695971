// Package clientapi serves the HTTP API for clients. Each request is authenticated, routed, admitted, queued for a runner and
// forwarded to it. A stream whose runner or router is lost may be continued by a rerun of its request.
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

const (
	maxResponseBytes    = 8 << 20                // of a response that is not a stream: it is buffered before any of it is forwarded
	maxEventBytes       = 1 << 20                // of one event of a stream
	maxFirstByteTimeout = time.Hour              // upper limit of untilFirstByte
	bodyDrainTimeout    = 500 * time.Millisecond // for reading the rest of a rejected request's body
)

// Server handles the requests of clients.
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

	inFlight atomic.Int64 // requests of known tenants, including streams taken over from another router
}

// exchange is the state of one request while it is processed.
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
	keyHash          string       // hash of the client's API key
	attemptedRunners map[int]bool // runners that are not tried again, by Instance.Index
	resumable        *resumableStream
	isRerun          bool // this run continues a lost stream

	wantsStream     bool // the client asked for a stream
	model           string
	prompt          string
	maxTokens       int // limit of the output; 0 in traffic classes without prompts
	loweredTo       int // maxTokens after the allowance lowered it; 0: not lowered
	reservedUnits   int // quota units reserved
	claim           *idempotencyClaim
	estimatedWait   time.Duration // for a runner, as estimated for the allowance
	queueKind       string        // pool, and model if the traffic class has prompts
	abortConnection bool          // close the connection without completing the response
}

// ServeHTTP handles one request.
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
		// Returning normally would complete the chunked encoding, and a stream that failed would look complete.
		panic(http.ErrAbortHandler)
	}
}

// run processes the request up to its response. The first step that fails ends it.
func (e *exchange) run() error {
	if err := e.authenticate(); err != nil {
		return err
	}
	// Requests with unknown keys were rejected already and do not count. Bodies are read only below the limit of requests in
	// flight, so that a flood of requests cannot exhaust memory.
	defer e.server.inFlight.Add(-1)
	if int(e.server.inFlight.Add(1)) > e.config.Limits.OpenRequests {
		return &Rejection{Status: 503, Code: CodeTooManyRequests, Message: "Too many queries are under way.", RetryAfter: time.Second}
	}
	if strings.HasPrefix(e.incoming.URL.Path, StreamPath) {
		return e.resume()
	}
	for _, step := range []func() error{e.route, e.admit, e.acquireClaim} {
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

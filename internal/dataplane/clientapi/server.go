// Package clientapi serves the clients' HTTP API: it takes each request from its reading to its response,
// by way of authentication, routing, admission, the choice of a runner and, where one was lost, a second run.
package clientapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
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
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/model/quota"
)

// Responses are held whole before a success is written, so they are bounded.
const (
	maxResponse    = 8 << 20
	maxEvent       = 1 << 20
	maxSilence     = time.Hour              // no response is awaited longer than this for its length
	restOfBodyWait = 500 * time.Millisecond // for the rest of a body, once its request was rejected
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

	open atomic.Int64 // known tenants' requests under way
}

// Rejection is a "no" to a client: what code, at which step, and whether the request ran.
type Rejection struct {
	Status         int
	Code           string
	Message        string
	RetryAfter     time.Duration // zero: none
	OutcomeUnknown bool          // it may have run, or may be running
}

// Error gives the code.
func (r *Rejection) Error() string { return r.Code }

// RejectionBody is the JSON body of a rejection, and the data of the event that ends a stream early.
type RejectionBody struct {
	Error RejectionError `json:"error"`
}

// RejectionError tells a client what went wrong and whether its request ran.
type RejectionError struct {
	Code      string        `json:"code"`
	Message   string        `json:"message"`
	RequestID string        `json:"query"`
	Run       string        `json:"run"` // "not run" or "unknown"
	Step      request.State `json:"step,omitempty"`
}

// exchange is one request with all that its steps need.
type exchange struct {
	server       *Server
	request      *request.Request
	writer       http.ResponseWriter
	incoming     *http.Request
	config       *fleetconfig.Config
	tenantIndex  int
	tenant       *fleetconfig.Tenant
	lane         *fleetconfig.TrafficClass
	pool         *fleetconfig.Pool
	body         []byte
	bodyRead     bool         // the body was read whole
	keyHash      string       // hash of the key it came with
	triedRunners map[int]bool // runs of runners that were tried already
	carrier      *carrier
	secondRun    bool // it is the second run of a stream

	wantsStream     bool // it asks for a stream
	model           string
	prompt          string
	maxTokens       int // output it may have; 0 on plain lanes
	loweredTo       int // what it was lowered to, if it was
	reservedUnits   int // quota units reserved
	claim           *claim
	estimatedWait   time.Duration // for a runner, as the allowance judged it
	queueKind       string
	abortConnection bool // the response ends without its frame
}

// ServeHTTP serves one request from its headers to its end.
func (s *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	x := &exchange{server: s, request: request.New(), writer: writer, incoming: incoming}
	writer.Header().Set(runner.RequestHeader, x.request.ID)
	err := x.run()
	x.releaseUnits()
	code := "done"
	if err != nil {
		code = x.reject(err)
		s.Log.Add(x.request, code)
	}
	s.Tracer.Export(x.request, code)
	s.Metrics.Requests.WithLabelValues(x.request.Lane, code).Inc()
	if x.abortConnection {
		// The frame of a stream that ended with an error is never closed as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

// run takes the request through its steps; the first error ends it.
func (x *exchange) run() error {
	if err := x.authenticate(); err != nil {
		return err
	}
	// Strangers were rejected by their headers and hold no place; known tenants' bodies are read only
	// where there is one, so that a crowd costs no memory.
	defer x.server.open.Add(-1)
	if int(x.server.open.Add(1)) > x.config.Limits.OpenRequests {
		return &Rejection{Status: 503, Code: "too-many", Message: "Too many queries are under way.", RetryAfter: time.Second}
	}
	if strings.HasPrefix(x.incoming.URL.Path, StreamPath) {
		return x.resume()
	}
	for _, step := range []func() error{x.route, x.admit, x.takeClaim} {
		if err := step(); err != nil {
			return err
		}
	}
	err := x.serve()
	if x.carrier != nil {
		err = x.continueStream(err)
	}
	return err
}

// reject answers a request that went wrong before anything was written to the client.
func (x *exchange) reject(err error) string {
	var rejection *Rejection
	if !errors.As(err, &rejection) {
		rejection = &Rejection{Status: 500, Code: "internal", Message: "Internal trouble.", OutcomeUnknown: true}
		x.server.Ctx.Log.Error("Query in trouble of our own making.", "query", x.request.ID, "error", err.Error())
	}
	step := x.finishFailed(rejection.Code)
	if x.claim != nil {
		x.claim.release(rejection.OutcomeUnknown)
	}
	if rejection.Status == 0 {
		// Nobody to tell, or told already. An unanswered handler would be taken for an empty 200.
		x.abortConnection = x.abortConnection || rejection.Code == "origin-left"
		return rejection.Code
	}
	if !x.bodyRead {
		// What is left of a body that nobody wants holds up neither the response nor a planned stop.
		web.ResponseController(x.writer, x.incoming).SetReadDeadline(time.Now().Add(restOfBodyWait))
	}
	header := x.writer.Header()
	for name := range header {
		if name != runner.RequestHeader {
			header.Del(name)
		}
	}
	header.Set("Content-Type", "application/json")
	if rejection.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(rejection.RetryAfter.Seconds()))))
	}
	run := "not run"
	if rejection.OutcomeUnknown {
		run = "unknown"
	}
	x.writer.WriteHeader(rejection.Status)
	json.NewEncoder(x.writer).Encode(RejectionBody{RejectionError{
		Code: rejection.Code, Message: rejection.Message, RequestID: x.request.ID, Run: run, Step: step}})
	return rejection.Code
}

// finishFailed ends a request that came to no whole response, by its code, and tells how far it had come.
func (x *exchange) finishFailed(code string) request.State {
	at := x.request.State()
	if at == request.Sent || at == request.Responding {
		x.request.Advance(request.Failed, code)
	} else {
		x.request.Advance(request.Rejected, code)
	}
	return at
}

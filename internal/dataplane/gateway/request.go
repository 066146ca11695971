package gateway

import (
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// request is the state of one client request. It is owned by one goroutine and needs no lock.
type request struct {
	gateway     *Gateway
	writer      http.ResponseWriter
	httpRequest *http.Request
	received    time.Time
	chart       stateChart

	// From the headers and the routing table. All but meta are revalidated before each attempt.
	meta    RequestMeta
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	tenant  *routing.Tenant // nil: the route is public, or no tenants are configured

	// Set by routing and admission.
	body        []byte
	deadline    time.Time        // from the client's header and the route's time-out, whichever is earlier
	reservation quotaReservation // of the tenant's quota

	// Results of the attempts so far.
	responseStarted bool         // the head of a response has been written
	tried           map[int]bool // by Runner.Index
	sentAttempts    int          // attempts of which a byte may have reached a runner
	mayHaveRun      bool         // a runner may have run the request, and its response is lost
	lost            interruption // the latest response that was lost
}

// run processes the request from routing to the end of its response. If the gateway itself ends the request, the error is a
// *Rejection.
func (r *request) run() error {
	if !r.awaitReady() {
		return reject(CodeNotReady)
	}
	r.table = r.gateway.Table()
	steps := []struct {
		do func() error
		to State
	}{
		{r.findRoute, Routed}, {r.authenticate, Authenticated}, {r.admit, Admitted},
	}
	for _, step := range steps {
		if err := step.do(); err != nil {
			return err
		}
		if err := r.chart.advance(step.to); err != nil {
			return err
		}
	}
	defer r.releaseQuota()
	return r.replaceFalseNotExecuted(r.serve())
}

// replaceFalseNotExecuted replaces a rejection whose status promises that the request has not run if a runner may have run
// it. Other errors are returned unchanged.
func (r *request) replaceFalseNotExecuted(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) && r.mayHaveRun && rejection.promisesNotExecuted() {
		return reject(CodeRunnerLost)
	}
	return err
}

// remaining returns the time until the request's deadline.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// findRoute reads the headers, looks up route and service in the routing table, and sets the deadline.
func (r *request) findRoute() error {
	meta, err := r.gateway.Dialect.ReadRequest(r.httpRequest.Header)
	if err != nil {
		return rejectHeaders(err)
	}
	r.meta = meta
	r.route = r.table.Match(r.httpRequest.Host, r.httpRequest.URL.Path)
	if r.route == nil {
		return reject(CodeNoRoute)
	}
	r.service = &r.table.Services[r.route.Pick(hashAttemptID(meta.AttemptID))]
	r.chart.idempotent = r.route.Idempotent()
	timeout := r.route.Timeout
	if meta.Deadline > 0 {
		timeout = min(timeout, meta.Deadline)
		r.gateway.maxDeadlines.observe(r.route.Name, meta.Deadline)
	}
	r.deadline = r.received.Add(timeout)
	return nil
}

// hashAttemptID returns an evenly distributed hash of a client's attempt ID. Clients choose their IDs, and FNV alone does not
// mix its bits well enough for Route.Pick, which takes the hash modulo the weights.
func hashAttemptID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hashing.Mix(hash.Sum64())
}

// authenticate determines the request's tenant from its key.
func (r *request) authenticate() error {
	if err := r.awaitConfirmedKeys(); err != nil {
		return err
	}
	tenant, known := tenantFor(r.table, r.route, r.meta.Key)
	if !known {
		return reject(CodeUnknownKey)
	}
	r.tenant = tenant
	return nil
}

// tenantFor returns the tenant of a request with the given key. The tenant is nil if the route needs none; known is false
// if the route needs a tenant and none has the key.
func tenantFor(table *routing.Table, route *routing.Route, key string) (tenant *routing.Tenant, known bool) {
	if route.Public || len(table.Tenants) == 0 {
		return nil, true
	}
	index, known := table.TenantByKey(key)
	if !known {
		return nil, false
	}
	return &table.Tenants[index], true
}

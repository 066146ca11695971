package gateway

import (
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// request is one client's request on its way. One goroutine owns it; nothing in it is locked.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	client   *http.Request
	received time.Time
	chart    stateChart

	// What the headers and the routing table say. Revalidated before each attempt.
	meta    RequestMeta
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	tenant  *routing.Tenant // nil: the route is public, or there are no tenants

	// What admission settled.
	body        []byte
	deadline    time.Time        // the client or the operator waits no longer
	reservation quotaReservation // of the tenant's quota

	// What the attempts came to.
	responseStarted bool         // a byte of a response was written
	tried           map[int]bool // by Runner.Index
	sentAttempts    int          // attempts that may have reached a runner
	mayHaveRun      bool         // one of them may have run it, and its response is lost
}

// run takes the request its whole way. The error is a *Rejection where the gateway itself ends the request.
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
	return r.withoutFalsePromise(r.serve())
}

// withoutFalsePromise keeps a rejection from promising that the request has not run where it may have.
func (r *request) withoutFalsePromise(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) && r.mayHaveRun && rejection.promisesNotExecuted() {
		return reject(CodeRunnerLost)
	}
	return err
}

// remaining is how long the request may still take.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// findRoute reads the headers, finds route and service by the table, and sets the deadline.
func (r *request) findRoute() error {
	meta, err := r.gateway.Dialect.ReadRequest(r.client.Header)
	if err != nil {
		return rejectHeaders(err)
	}
	r.meta = meta
	r.route = r.table.Match(r.client.Host, r.client.URL.Path)
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

// hashAttemptID hashes a client's ID evenly over all numbers. Clients choose their IDs, so that the hash's own mixing is
// not enough for Route.Pick, which takes it modulo the weights.
func hashAttemptID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hashing.Mix(hash.Sum64())
}

// authenticate finds the request's tenant by its key.
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

// tenantFor finds the tenant that a request with a key belongs to on a route. Nil: none is needed.
func tenantFor(table *routing.Table, route *routing.Route, key string) (tenant *routing.Tenant, known bool) {
	if route.Public || len(table.Tenants) == 0 {
		return nil, true
	}
	index, known := table.TenantOf(key)
	if !known {
		return nil, false
	}
	return &table.Tenants[index], true
}

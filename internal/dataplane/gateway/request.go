package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/retry"
	"yarrowridge/internal/lib/hashing"
	"yarrowridge/internal/model/routing"
)

// request is one request on its way.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	client   *http.Request
	received time.Time
	progress stateChart

	meta            RequestMeta
	table           *routing.Table
	route           *routing.Route
	service         *routing.Service
	tenant          *routing.Tenant // nil: the route is public, or there are no tenants
	body            []byte
	deadline        time.Time        // the client or the operator waits no longer
	reservation     quotaReservation // what is held of the tenant's quota
	responseStarted bool             // a byte of an answer was written
	tried           map[int]bool
	sentAttempts    int  // attempts that may have reached a runner
	outcomeUnknown  bool // one of them may have run it, and its answer is lost
}

// run takes the request its whole way. The error is a *Refusal where an answer of ours is due.
func (r *request) run() error {
	if !r.awaitReady() {
		return rejectNotReady
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
		if err := r.progress.advance(step.to); err != nil {
			return err
		}
	}
	defer r.releaseQuota()
	return r.withoutFalsePromise(r.serve())
}

// honest keeps an answer from promising that the request has not run where it may have.
func (r *request) withoutFalsePromise(err error) error {
	if refusal, ours := err.(*Rejection); ours && r.outcomeUnknown && refusal.promisesNotExecuted() {
		return failRunnerLost
	}
	return err
}

// How long a request waits for what the router is about to learn, from when it came: a late answer is worth more than a
// refusal. A router that starts awaits the configuration, one that thaws or is joined again the word that its keys still hold.
const (
	maxReadyWait       = 500 * time.Millisecond
	readyCheckInterval = 20 * time.Millisecond
)

// await waits a moment until something holds, and reports whether it does.
func (r *request) waitUntil(holds func() bool) bool {
	for !holds() {
		if time.Since(r.received) > maxReadyWait {
			return false
		}
		select {
		case <-time.After(readyCheckInterval):
		case <-r.client.Context().Done():
			return false
		}
	}
	return true
}

// awaitReady waits a moment for a router that has just started, unless it leaves already.
func (r *request) awaitReady() bool {
	ready := func() bool { return r.gateway.Ready() == "" }
	return r.waitUntil(func() bool { return ready() || r.gateway.draining.Load() }) && ready()
}

func (r *request) findRoute() error {
	meta, err := r.gateway.Dialect.ReadRequest(r.client.Header)
	if err != nil {
		return &Rejection{Status: http.StatusBadRequest, Code: "headers", Text: err.Error()}
	}
	r.meta = meta
	r.route = r.table.Match(r.client.Host, r.client.URL.Path)
	if r.route == nil {
		return rejectNoRoute
	}
	r.service = &r.table.Services[r.route.Pick(hashAttemptID(meta.AttemptID))]
	r.progress.idempotent = r.route.Idempotent()
	wait := r.route.Timeout
	if meta.Deadline > 0 {
		wait = min(wait, meta.Deadline)
		r.gateway.maxDeadlines.observe(r.route.Name, meta.Deadline)
	}
	r.deadline = r.received.Add(wait)
	return nil
}

// spreadID turns an id into a number that is spread evenly.
func hashAttemptID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hashing.Mix(hash.Sum64())
}

// payer finds the tenant that a request with a key belongs to on a route. Nil: none is needed.
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

func (r *request) authenticate() error {
	if err := r.awaitKeys(); err != nil {
		return err
	}
	tenant, known := tenantFor(r.table, r.route, r.meta.Key)
	if !known {
		return rejectUnknownKey
	}
	r.tenant = tenant
	return nil
}

// quotaWaitPart is the part of a request's time, in hundredths, that it may wait for a core that does not
// answer: while the core changes hands a late answer is worth more than a refusal.
const quotaWaitPercent = 40

// admit holds a part of the tenant's quota, judges the allowance and reads the body.
func (r *request) admit() error {
	if r.tenant != nil && r.tenant.Rate > 0 {
		ctx, cancel := context.WithDeadline(r.client.Context(), r.received.Add(r.deadline.Sub(r.received)*quotaWaitPercent/100))
		hold := quotaReservation{name: r.tenant.QuotaName(), units: r.tenant.Cost(r.meta.InputTokens+r.meta.OutputTokens, r.meta.TokensKnown)}
		ok, again := r.gateway.Quotas.Reserve(ctx, hold.name, hold.units)
		cancel()
		if !ok {
			return rejectQuota(again)
		}
		hold.reserved = true
		r.reservation = hold
	}
	err := r.judgeAllowance()
	if err == nil {
		err = r.readBody()
	}
	if err != nil {
		r.releaseQuota()
	}
	return err
}

// quotaHold is what a request holds of a quota. A later configuration may count in another unit: it stays what it was when
// the request was let in.
type quotaReservation struct {
	name     string
	units    int
	reserved bool // and neither spent nor released
}

// spendQuota spends what is held: the request leaves for its first runner.
func (r *request) spendQuota() {
	if r.reservation.reserved {
		r.gateway.Quotas.Spend(r.reservation.name, r.reservation.units)
	}
	r.reservation.reserved = false
}

// release gives back what of the quota was held and not spent.
func (r *request) releaseQuota() {
	if r.reservation.reserved {
		r.gateway.Quotas.Release(r.reservation.name, r.reservation.units)
	}
	r.reservation.reserved = false
}

func (r *request) readBody() error {
	most := int64(r.table.Limits.BodyBytes)
	if r.client.ContentLength == 0 {
		return nil
	}
	if r.client.ContentLength > most && most > 0 {
		return rejectBodySize
	}
	if r.client.ContentLength > 0 {
		r.body = make([]byte, r.client.ContentLength)
		if _, err := io.ReadFull(r.client.Body, r.body); err != nil {
			return rejectBody
		}
		return nil
	}
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.client.Body, most+1))
	if err != nil {
		return rejectBody
	}
	if int64(len(body)) > most {
		return rejectBodySize
	}
	r.body = body
	return nil
}

// defaultBodyBytes bounds a body where the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// remaining is how long the request may still take.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

func (r *request) retryRule() retry.Rule {
	bounds := r.gateway.Retries
	return retry.Rule{Ratio: bounds.Ratio, Spare: r.gateway.LocalShare(bounds.Allowance)}
}

// serve sends the request to runners until one has answered, or no further one may be tried.
func (r *request) serve() error {
	r.tried = map[int]bool{}
	r.gateway.budget.First(r.service.Name, r.retryRule())
	var stream *streamResponse
	if r.route.Kind == routing.Streaming {
		stream = &streamResponse{request: r, lastID: r.meta.LastEventID}
	}
	for {
		if err := r.revalidate(); err != nil {
			return err
		}
		outcome, err := r.attempt(stream)
		switch outcome {
		case outcomeEnded:
			return err
		case outcomeNotSent:
			if r.remaining() <= 0 || errors.Is(r.client.Context().Err(), context.Canceled) {
				return r.giveUp(err)
			}
			continue
		case outcomeNotExecuted, outcomeUnknown:
			if !r.mayRetry(outcome) {
				return r.giveUp(err)
			}
		case outcomeFinal:
			return err
		case outcomeRetryGranted:
		}
		if err := r.progress.advance(Admitted); err != nil {
			return err
		}
	}
}

// mayRepeat reports whether the request may be sent to a further runner.
func (r *request) mayRetry(last attemptOutcome) bool {
	if last == outcomeUnknown && !r.route.Idempotent() {
		return false
	}
	if r.sentAttempts >= max(1, r.route.MaxAttempts) || r.remaining() <= 0 || r.client.Context().Err() != nil {
		return false
	}
	if !r.hasUntriedRunner() {
		return false
	}
	return r.gateway.budget.Take(r.service.Name)
}

func (r *request) hasUntriedRunner() bool {
	for _, runner := range r.gateway.Balancer.Runners(r.service.Name) {
		if !r.tried[runner.Index] && runner.Info().State == routing.RunnerReady {
			return true
		}
	}
	return false
}

// giveUp ends a request that no further runner is tried for.
func (r *request) giveUp(err error) error {
	if r.client.Context().Err() != nil {
		return failClientLeft
	}
	return err
}

// choose picks a runner and counts the request as sent there.
func (r *request) chooseRunner() *balance.Attempt {
	return r.gateway.Balancer.Choose(balance.Request{Service: r.service.Name, Model: r.meta.Model, Parts: parts(r.meta.Prefix),
		Input: r.meta.InputTokens, Output: r.meta.OutputTokens, Tried: r.tried})
}

func parts(prefix []PromptPart) []balance.Part {
	if len(prefix) == 0 {
		return nil
	}
	out := make([]balance.Part, len(prefix))
	for i, part := range prefix {
		out[i] = balance.Part{ID: part.ID, Tokens: part.Tokens}
	}
	return out
}

// follow obeys the routing table in force before each attempt: a key or a route that was taken away
// meanwhile is obeyed, and so is a route that leads to other services by now.
func (r *request) revalidate() error {
	if r.keyMayBeRevoked() {
		return rejectKeysStale
	}
	table := r.gateway.Table()
	if table.Revision == r.table.Revision {
		return nil
	}
	route := table.Match(r.client.Host, r.client.URL.Path)
	if route == nil || route.Kind != r.route.Kind {
		return r.revoked(rejectNoRoute)
	}
	tenant, known := tenantFor(table, route, r.meta.Key)
	if !known || tenant != nil && r.tenant != nil && tenant.Name != r.tenant.Name {
		return r.revoked(rejectUnknownKey)
	}
	if (tenant == nil) != (r.tenant == nil) {
		return r.revoked(rejectNotReady)
	}
	service := &table.Services[route.Pick(hashAttemptID(r.meta.AttemptID))]
	for _, part := range route.Split {
		if name := table.Services[part.Service].Name; name == r.service.Name && part.Weight > 0 {
			service = &table.Services[part.Service]
		}
	}
	r.table, r.route, r.tenant, r.service = table, route, tenant, service
	return nil
}

// withdrawn ends a request that the newer table no longer allows.
func (r *request) revoked(refusal *Rejection) error {
	switch {
	case r.responseStarted:
		return failResponseCut
	case r.sentAttempts > 0 && !r.progress.notExecuted:
		return failRunnerLost
	}
	return refusal
}

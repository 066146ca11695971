package clientapi

import (
	"errors"
	"time"

	"yarrowridge/internal/dataplane/place"
	"yarrowridge/internal/dataplane/request"
)

// serve queues the request until a runner has capacity, and sends it to that runner. It tries another runner only if no byte
// of the request can have been sent.
func (e *exchange) serve() error {
	if e.attemptedRunners == nil {
		e.attemptedRunners = map[int]bool{}
	}
	if e.wantsStream && e.resumable == nil {
		e.resumable = e.newResumableStream()
	}
	deadline := time.Now().Add(e.class.QueueTimeout)
	service := e.config.Services[e.pool.Service]
	ctx := e.incoming.Context()
	if e.isRerun {
		ctx = e.resumable.ctx // the client may have disconnected and come back to resume the stream
	}
	prefixHashes := place.PrefixHashes(e.tenantIndex, e.prompt)
	for attempt := 0; ; attempt++ {
		if err := e.request.Advance(request.Queued, e.queueKind); err != nil {
			return err
		}
		waiter := &place.Waiter{Kind: e.queueKind, Priority: e.class.Priority, Tenant: e.tenantIndex, Tokens: e.maxTokens, TrafficClass: e.class.Name, UntilFirstByte: e.untilFirstByte(), PrefixHashes: prefixHashes, Eligible: e.eligibleRunners, Excluded: e.attemptedRunners, Recheck: e.checkConfig}
		slot, err := e.server.Scheduler.Acquire(ctx, waiter, time.Until(deadline), e.config.Limits.Queue)
		var rejection *Rejection
		switch {
		case errors.As(err, &rejection):
			return rejection
		case errors.Is(err, place.ErrWaitTimeout):
			return &Rejection{Status: 503, Code: CodeQueueTimeout, RetryAfter: e.retryAfter(), Message: "No runner had room within the lane's patience."}
		case errors.Is(err, place.ErrQueueFull):
			return &Rejection{Status: 503, Code: CodeQueueFull, RetryAfter: e.retryAfter(), Message: "Too many queries wait."}
		case err != nil:
			return &Rejection{Code: CodeClientLeft}
		}
		if err := e.request.Advance(request.Chosen, slot.Address); err != nil {
			return err
		}
		if attempt == 0 && !e.isRerun {
			e.server.Metrics.DispatchWait.WithLabelValues(e.tenantKind()).Observe(e.request.Age().Seconds())
			e.server.Retries.CountFirstAttempt(service, e.server.Cluster.Share(service.MinRetries))
		}
		maybeSent, err := e.send(slot)
		if err == nil || maybeSent || errors.As(err, &rejection) {
			return err
		}
		e.attemptedRunners[slot.Index] = true
		if len(e.attemptedRunners) >= len(e.eligibleRunners()) || !e.server.Retries.Allow(service) {
			return &Rejection{Status: 502, Code: CodeRunnerUnreachable, RetryAfter: time.Second, Message: "The runner could not be reached."}
		}
	}
}

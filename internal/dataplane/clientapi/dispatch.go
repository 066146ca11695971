package clientapi

import (
	"errors"
	"time"

	"yarrowridge/internal/dataplane/place"
	"yarrowridge/internal/dataplane/request"
)

// serve queues, chooses and sends, trying another runner only while no byte has left.
func (x *exchange) serve() error {
	if x.triedRunners == nil {
		x.triedRunners = map[int]bool{}
	}
	if x.wantsStream && x.carrier == nil {
		x.carrier = x.newCarrier()
	}
	until := time.Now().Add(x.lane.QueueTimeout)
	service := x.config.Services[x.pool.Service]
	ctx := x.incoming.Context()
	if x.secondRun {
		ctx = x.carrier.ctx // its client may be on its way back
	}
	keys := place.PrefixHashes(x.tenantIndex, x.prompt)
	for try := 0; ; try++ {
		if err := x.request.Advance(request.Queued, x.queueKind); err != nil {
			return err
		}
		wait := &place.Waiter{Kind: x.queueKind, Priority: x.lane.Priority, Tenant: x.tenantIndex, Tokens: x.maxTokens, Lane: x.lane.Name, UntilFirstByte: x.silentFor(), PrefixHashes: keys, Eligible: x.eligibleRunners, Excluded: x.triedRunners, Recheck: x.checkConfig}
		slot, err := x.server.Scheduler.Acquire(ctx, wait, time.Until(until), x.config.Limits.Queue)
		var rejection *Rejection
		switch {
		case errors.As(err, &rejection):
			return rejection
		case errors.Is(err, place.ErrWaitTimeout):
			return &Rejection{Status: 503, Code: "patience-out", RetryAfter: x.retryAfter(), Message: "No runner had room within the lane's patience."}
		case errors.Is(err, place.ErrQueueFull):
			return &Rejection{Status: 503, Code: "queue-full", RetryAfter: x.retryAfter(), Message: "Too many queries wait."}
		case err != nil:
			return &Rejection{Code: "origin-left"}
		}
		if err := x.request.Advance(request.Chosen, slot.Address); err != nil {
			return err
		}
		if try == 0 && !x.secondRun {
			x.server.Metrics.DispatchWait.WithLabelValues(x.tenantKind()).Observe(x.request.Age().Seconds())
			x.server.Retries.CountFirst(service, x.server.Cluster.Share(service.MinRetries))
		}
		left, err := x.send(slot)
		if err == nil || left || errors.As(err, &rejection) {
			return err
		}
		x.triedRunners[slot.Index] = true
		if len(x.triedRunners) >= len(x.eligibleRunners()) || !x.server.Retries.Allow(service) {
			return &Rejection{Status: 502, Code: "runner-unreached", RetryAfter: time.Second, Message: "The runner could not be reached."}
		}
	}
}

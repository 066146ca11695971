package runner

import (
	"time"
)

// Load returns the number of streams on the runner from all routers, and the capacity that it reported (0: none).
func (instance *Instance) Load() (streams, capacity int) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.streams(), instance.report.Capacity
}

// HasCapacity reports whether the runner has capacity for one more request of this router.
func (instance *Instance) HasCapacity() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.hasCapacity()
}

// QueuedTokens returns the output that the runner still has to generate, in requested tokens. queued covers the streams
// that routers count: this router's own, and the others' by their reports. excess is how far the runner's own report, which
// lags behind, exceeds that, after deducting what the runner should have generated since the report.
func (instance *Instance) QueuedTokens() (queued, excess float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.queuedTokens(instance.rate(instance.streams()))
}

// queuedTokens returns counts of requested tokens. rate counts received tokens, so the length ratio converts it.
func (instance *Instance) queuedTokens(rate float64) (queued, excess float64) {
	queued = float64(instance.ownQueuedTokens() + instance.remoteLoad.Tokens)
	if report := instance.report; report.Capacity > 0 && report.MaxTokens > 0 && report.Queued > report.Capacity*report.MaxTokens {
		return queued, 0 // implausible: more than all slots can generate
	}
	return queued, max(0, float64(instance.report.Queued)-time.Since(instance.reportedAt).Seconds()*max(rate/instance.speed.lengths.Ratio(), 1)-queued)
}

// Estimate returns the output that the runner generates before it starts a new request, and its measured rate, both in
// received tokens. A runner generates the output of its batch concurrently with a new request, so with a free slot none of
// that is ahead. Without one, the request waits until the first slot is released: by then 2/(capacity+1) of the queued
// output is expected to be generated, which is all of it at a capacity of 1. The excess that only the
// runner itself reports is always ahead. The rate is that of a batch with the new request or, if requests are waiting, of a
// full batch.
func (instance *Instance) Estimate(waiting bool) (ahead, rate float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	batchSize := instance.capacity()
	if !waiting {
		batchSize = min(batchSize, instance.streams()+1)
	}
	if rate = instance.rate(batchSize); rate == 0 {
		rate = instance.remoteRate
	}
	queued, excess := instance.queuedTokens(rate)
	ahead = excess
	if !instance.hasCapacity() {
		ahead += queued * 2 / float64(instance.report.Capacity+1)
	}
	return ahead * instance.speed.lengths.Ratio(), rate
}

// hasCapacity reports whether the runner has capacity for one more stream of this router. Other routers' reports of their
// streams are delayed, so routers that send to the same runner concurrently could exceed its capacity. From half of the
// capacity on, each router is therefore limited to an equal share.
func (instance *Instance) hasCapacity() bool {
	capacity, streams := instance.report.Capacity, instance.streams()
	if capacity <= 0 {
		return true
	}
	ownShare := (capacity + instance.remoteRouters) / (1 + instance.remoteRouters)
	return streams < capacity && (len(instance.slots) < ownShare || 2*streams < capacity)
}

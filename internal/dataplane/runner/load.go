package runner

import (
	"time"
)

// Load is how many streams are on the runner by all accounts, and how many it takes.
func (instance *Instance) Load() (streams, capacity int) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.streams(), instance.report.Capacity
}

// HasCapacity reports whether the runner has capacity for one more request of ours.
func (instance *Instance) HasCapacity() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.hasCapacity()
}

// QueuedTokens is the output that the runner still has to give. Each stream counts once: our own by our own
// count, others' by their routers' reports. more is what its own late report says beyond that, less what it should have
// worked off since.
func (instance *Instance) QueuedTokens() (queued, more float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.queuedTokens(instance.rate(instance.streams()))
}

// queuedTokens is all in the unit of what was asked for; the rate is not.
func (instance *Instance) queuedTokens(rate float64) (queued, more float64) {
	queued = float64(instance.ownQueuedTokens() + instance.remoteLoad.Tokens)
	if report := instance.report; report.Capacity > 0 && report.MaxTokens > 0 && report.Queued > report.Capacity*report.MaxTokens {
		return queued, 0 // more than it can hold: not believed
	}
	return queued, max(0, float64(instance.report.Queued)-time.Since(instance.reportedAt).Seconds()*max(rate/instance.speed.lengths.Ratio(), 1)-queued)
}

// Estimate returns the output ahead of a newcomer on the runner, and its measured rate. A runner that batches
// gives what it owes beside the newcomer, not before it: with a place free nothing is ahead, with none what
// the first place to come free still has to give, which is all of it where one runs at a time. The rate is
// that of as many streams as will run: one more than now, or, where requests wait, all that it takes.
func (instance *Instance) Estimate(wait bool) (ahead, rate float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	fill := instance.capacity()
	if !wait {
		fill = min(fill, instance.streams()+1)
	}
	if rate = instance.rate(fill); rate == 0 {
		rate = instance.remoteRate
	}
	queued, more := instance.queuedTokens(rate)
	ahead = more
	if !instance.hasCapacity() {
		ahead += queued * 2 / float64(instance.report.Capacity+1)
	}
	return ahead * instance.speed.lengths.Ratio(), rate
}

// hasCapacity reports whether there is capacity for one more of our streams. Reports of the others' streams come late, so
// that routers which fill a runner together would overfill it: near its limit each keeps to an equal share.
func (instance *Instance) hasCapacity() bool {
	capacity, streams := instance.report.Capacity, instance.streams()
	if capacity <= 0 {
		return true
	}
	ownShare := (capacity + instance.remoteRouters) / (1 + instance.remoteRouters)
	return streams < capacity && (len(instance.slots) < ownShare || 2*streams < capacity)
}

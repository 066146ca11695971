package runner

import (
	"slices"
	"time"
)

// Slot is the capacity that one request occupies on a runner.
type Slot struct {
	*Instance
	acquiredAt           time.Time
	streamSecondsAtStart float64 // the runner's streamSeconds when the slot was acquired
	expectedTokens       int     // the maximum output that was requested
	receivedTokens       int
	stalledAt            time.Time // the request is overdue from then on
}

// Acquire acquires a slot for a request of up to tokens of output. It returns nil if the runner is unhealthy or has no
// capacity. untilFirstByte is the expected time until the first byte of the response, zero for a streamed one.
func (instance *Instance) Acquire(tokens int, untilFirstByte time.Duration) *Slot {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	now := time.Now()
	if instance.health(now) != "" || !instance.hasCapacity() {
		return nil
	}
	if instance.failures > 0 {
		instance.probing = true
	}
	if len(instance.slots) == 0 {
		instance.progressAt = now
	}
	instance.speed.advance(now, instance.streams())
	slot := &Slot{Instance: instance, acquiredAt: now, streamSecondsAtStart: instance.speed.streamSeconds, expectedTokens: tokens, stalledAt: now.Add(StallTimeout + untilFirstByte)}
	instance.slots = append(instance.slots, slot)
	return slot
}

// AddTokens counts n received output tokens.
func (slot *Slot) AddTokens(n int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.receivedTokens += n
	slot.progressAt = time.Now()
}

// Release releases the slot and returns the number of output tokens received. ok reports whether the response was complete;
// only then does it count for the runner's measured speed.
func (slot *Slot) Release(ok bool) (received int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	now := time.Now()
	slot.speed.advance(now, slot.streams())
	slot.slots = slices.DeleteFunc(slot.slots, func(other *Slot) bool { return other == slot })
	slot.probing = false
	if ok {
		slot.failures = 0
		slot.progressAt = now
		slot.speed.add(slot.receivedTokens, now.Sub(slot.acquiredAt), slot.speed.streamSeconds-slot.streamSecondsAtStart)
		if slot.receivedTokens > 0 {
			slot.speed.lengths.Add(slot.expectedTokens, slot.receivedTokens)
		}
	}
	return slot.receivedTokens
}

// streams returns the number of streams on the runner: this router's, and those that the other routers reported.
func (instance *Instance) streams() int { return len(instance.slots) + instance.remoteLoad.Streams }

// capacity returns the number of streams that the runner takes at once. If it reported none, a size in the largest
// bucket of its measured speed is assumed.
func (instance *Instance) capacity() int {
	if instance.report.Capacity <= 0 {
		return 1 << len(instance.speed.byBatchSize)
	}
	return instance.report.Capacity
}

// ownQueuedTokens returns the output that is still to come for this router's requests on the runner.
func (instance *Instance) ownQueuedTokens() (n int) {
	for _, slot := range instance.slots {
		n += max(0, slot.expectedTokens-slot.receivedTokens)
	}
	return n
}

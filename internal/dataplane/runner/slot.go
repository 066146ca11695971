package runner

import (
	"slices"
	"time"
)

// Slot is one request's slot on a runner.
type Slot struct {
	*Instance
	takenAt            time.Time
	fillSecondsAtStart float64 // of the runner's fill over time, when the place was taken
	expectedTokens     int     // output promised
	receivedTokens     int
	stalledAt          time.Time // by when it should have sent something
}

// Acquire takes a slot on the runner for one request, if it may have one now; nil if not. untilFirstByte is how long
// its response takes before anything of it is sent: zero for one that comes piece by piece.
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
	slot := &Slot{Instance: instance, takenAt: now, fillSecondsAtStart: instance.speed.fillSeconds, expectedTokens: tokens, stalledAt: now.Add(StallTimeout + untilFirstByte)}
	instance.slots = append(instance.slots, slot)
	return slot
}

// AddTokens records output that has come.
func (slot *Slot) AddTokens(n int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.receivedTokens += n
	slot.progressAt = time.Now()
}

// Release gives a request's slot back; ok says whether the runner answered in full. received is the output there was.
func (slot *Slot) Release(ok bool) (received int) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	now := time.Now()
	slot.speed.advance(now, slot.streams())
	slot.slots = slices.DeleteFunc(slot.slots, func(o *Slot) bool { return o == slot })
	slot.probing = false
	if ok {
		slot.failures = 0
		slot.progressAt = now
		slot.speed.add(slot.receivedTokens, now.Sub(slot.takenAt), slot.speed.fillSeconds-slot.fillSecondsAtStart)
		if slot.receivedTokens > 0 {
			slot.speed.lengths.Add(slot.expectedTokens, slot.receivedTokens)
		}
	}
	return slot.receivedTokens
}

// streams is how many streams are on the runner by all accounts.
func (instance *Instance) streams() int { return len(instance.slots) + instance.remoteLoad.Streams }

// capacity is how many streams run at once when all places are taken.
func (instance *Instance) capacity() int {
	if instance.report.Capacity <= 0 {
		return 1 << len(instance.speed.byFill)
	}
	return instance.report.Capacity
}

// ownQueuedTokens is the output that our requests on the runner still have to come.
func (instance *Instance) ownQueuedTokens() (n int) {
	for _, slot := range instance.slots {
		n += max(0, slot.expectedTokens-slot.receivedTokens)
	}
	return n
}

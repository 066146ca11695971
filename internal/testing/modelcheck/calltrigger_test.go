package modelcheck

import (
	"slices"
	"time"
)

// triggerTimeout is how long an event waits for a call of its kind; after that it starts in any case.
const triggerTimeout = 3 * time.Second

// callTrigger starts an event at a call.
type callTrigger struct {
	kind  string
	after bool
	fired chan struct{}
}

// awaitCall waits for the call at which an event starts, if the event has one.
func (f *fleet) awaitCall(event Event) {
	if event.TriggerCall == "" {
		return
	}
	trigger := &callTrigger{kind: event.TriggerCall, after: event.AfterCall, fired: make(chan struct{})}
	f.mu.Lock()
	f.triggers = append(f.triggers, trigger)
	f.mu.Unlock()
	select {
	case <-trigger.fired:
	case <-time.After(triggerTimeout):
		f.removeTriggers(func(waiting *callTrigger) bool { return waiting == trigger })
	}
}

// observeCall starts the events that wait for a call of this kind. They have started when it returns: simulated time
// advances only while every other goroutine waits.
func (f *fleet) observeCall(kind string, after bool) {
	fired := f.removeTriggers(func(waiting *callTrigger) bool { return waiting.kind == kind && waiting.after == after })
	for _, trigger := range fired {
		close(trigger.fired)
	}
	if len(fired) > 0 {
		time.Sleep(time.Nanosecond)
	}
}

// removeTriggers removes the triggers that match, and returns them.
func (f *fleet) removeTriggers(matches func(*callTrigger) bool) (removed []*callTrigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.triggers = slices.DeleteFunc(f.triggers, func(trigger *callTrigger) bool {
		if matches(trigger) {
			removed = append(removed, trigger)
			return true
		}
		return false
	})
	return removed
}

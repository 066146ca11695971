package place

import (
	"context"
	"errors"
	"time"

	"yarrowridge/internal/dataplane/runner"
)

// The errors with which Acquire fails, beside those of Waiter.Recheck.
var (
	ErrWaitTimeout = errors.New("place: timed out in the queue")
	ErrQueueFull   = errors.New("place: queue is full")
	ErrClientGone  = errors.New("place: client disconnected")
)

// Waiter is a request that waits for a runner.
type Waiter struct {
	Kind           string        // pool, and model if the request has a prompt
	TrafficClass   string        // its name
	Priority       int           // the lowest number is dispatched first
	Tenant         int           // index of the tenant
	Tokens         int           // limit of the output
	UntilFirstByte time.Duration // how long the response may take before its first byte
	PrefixHashes   []uint64
	Eligible       func() []*runner.Instance // the runners that serve this request, healthy or not
	Excluded       map[int]bool              // runners that were tried already, by index
	Recheck        func() error              // optional; called before a runner is assigned, an error ends the wait

	granted chan *runner.Slot
	done    bool  // removed from its queue
	err     error // why granted was closed without a slot
}

// Acquire waits for a slot on a runner, for at most timeout. maxWaiting limits the waiting requests of this router over all
// queues: if it is reached, a waiter of lower priority is rejected to make room, or this one if there is none.
func (s *Scheduler) Acquire(ctx context.Context, waiter *Waiter, timeout time.Duration, maxWaiting int) (*runner.Slot, error) {
	waiter.granted = make(chan *runner.Slot, 1)
	waiter.done, waiter.err = false, nil
	s.mu.Lock()
	if s.waiting >= maxWaiting && !s.evictBelow(waiter.Priority) {
		s.mu.Unlock()
		return nil, ErrQueueFull
	}
	s.enqueue(waiter)
	s.mu.Unlock()
	s.Wake()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var err error
	select {
	case slot := <-waiter.granted:
		if slot == nil {
			return nil, waiter.err
		}
		return slot, nil
	case <-timer.C:
		err = ErrWaitTimeout
	case <-ctx.Done():
		err = ErrClientGone
	}
	s.mu.Lock()
	if !waiter.done {
		s.dequeue(waiter)
		s.mu.Unlock()
		return nil, err
	}
	s.mu.Unlock()
	slot := <-waiter.granted
	if slot == nil {
		return nil, waiter.err
	}
	if err == ErrClientGone {
		slot.Release(false)
		s.Wake()
		return nil, ErrClientGone
	}
	return slot, nil
}

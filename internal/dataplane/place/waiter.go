package place

import (
	"context"
	"errors"
	"time"

	"yarrowridge/internal/dataplane/runner"
)

// Why a wait ended without a runner.
var (
	ErrWaitTimeout = errors.New("place: timed out in the queue")
	ErrQueueFull   = errors.New("place: queue is full")
	ErrClientGone  = errors.New("place: the client left")
)

// Waiter is one request that waits for a runner.
type Waiter struct {
	Kind           string // pool and model
	Lane           string
	Priority       int
	Tenant         int
	Tokens         int
	UntilFirstByte time.Duration // how long its response takes before anything of it is sent
	PrefixHashes   []uint64
	Eligible       func() []*runner.Instance // runners that serve this request
	Excluded       map[int]bool              // runs attempted already
	Recheck        func() error              // asked again before it goes; an error ends the wait

	granted chan *runner.Slot
	done    bool // set under the scheduler's lock: given a runner, or ended
	err     error
}

// Acquire waits for a runner, for at most timeout. maxWaiting bounds all queues of this router together:
// beyond it the newest of the lowest priority is rejected, be it this one or another.
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

package runnerregistry

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// batchDelay is how long the first change of a batch waits for further changes.
const batchDelay = 5 * time.Millisecond

// Notifier pushes changes of runners to routers. Changes within batchDelay are pushed as one batch. Its methods are safe for
// concurrent use.
type Notifier struct {
	push func(...dissemination.Record)

	mu      sync.Mutex
	pending *batch // collects changes until its delay is over; nil: no batch is pending
}

// batch is a group of changes that are pushed together.
type batch struct {
	records []dissemination.Record
	pushed  chan struct{} // closed once the push has ended
}

// NewNotifier returns a notifier. push sends records to routers and returns once the attempt has ended, whether it succeeded
// or not. It is called in one goroutine per batch, concurrently for different batches.
func NewNotifier(push func(...dissemination.Record)) *Notifier { return &Notifier{push: push} }

// Notify adds a runner's change to the pending batch without waiting for the push. The returned channel is closed once the
// push has ended; it is nil if the runner cannot be encoded.
func (n *Notifier) Notify(runner routing.Runner) <-chan struct{} {
	body, err := runner.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return n.add(dissemination.Record{Key: dissemination.RunnerKeyPrefix + runner.ID, Version: runner.Sequence, Body: body})
}

// add adds a record to the pending batch, starting one if there is none.
func (n *Notifier) add(record dissemination.Record) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending == nil {
		n.pending = &batch{pushed: make(chan struct{})}
		go n.pushAfterDelay(n.pending)
	}
	n.pending.records = append(n.pending.records, record)
	return n.pending.pushed
}

// pushAfterDelay waits for batchDelay, then pushes the pending batch. It does not wait for pushes of earlier batches.
func (n *Notifier) pushAfterDelay(pending *batch) {
	time.Sleep(batchDelay)
	n.mu.Lock()
	n.pending = nil
	n.mu.Unlock()
	n.push(pending.records...)
	close(pending.pushed)
}

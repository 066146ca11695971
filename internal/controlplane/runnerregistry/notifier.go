package runnerregistry

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

// batchDelay is how long the first change of a batch waits for others.
const batchDelay = 5 * time.Millisecond

// Notifier pushes changes of runners to routers. Changes that come within batchDelay are pushed as one. Its methods may be
// called concurrently.
type Notifier struct {
	push func(...dissemination.Record)

	mu      sync.Mutex
	pending *batch // takes changes until it is pushed; nil: there is none
}

// batch is a group of changes that are pushed together.
type batch struct {
	records []dissemination.Record
	pushed  chan struct{} // closed once the push has ended
}

// NewNotifier makes a notifier. push is called on a goroutine of the batch's own, and concurrently for several batches: it
// hands records to routers and returns once that has ended, well or not.
func NewNotifier(push func(...dissemination.Record)) *Notifier { return &Notifier{push: push} }

// Notify puts a runner's change into the pending batch and does not wait for it. The channel is closed once the batch was
// pushed; it is nil where the runner cannot be encoded.
func (n *Notifier) Notify(runner routing.Runner) <-chan struct{} {
	body, err := runner.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return n.add(dissemination.Record{Key: dissemination.RunnerPrefix + runner.ID, Version: runner.Sequence, Body: body})
}

// add puts a record into the pending batch, or begins one.
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

// pushAfterDelay waits for more changes and pushes the batch. Batches do not wait for each other.
func (n *Notifier) pushAfterDelay(ready *batch) {
	time.Sleep(batchDelay)
	n.mu.Lock()
	n.pending = nil
	n.mu.Unlock()
	n.push(ready.records...)
	close(ready.pushed)
}

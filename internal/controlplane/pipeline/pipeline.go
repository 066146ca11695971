// Package pipeline is the primary's write pipeline. Operations wait in bounded queues, one for each class of urgency. The run
// loop takes the waiting operations, applies them one after another to one transaction, and commits that as one batch, so
// that many writes share one sync of the disks (group commit). The Committer implements the commit itself.
//
// Under overload the classes are independent. An operation whose caller gives up before the operation is started is never
// applied. An operation that would wait for longer than maxClassWait is rejected at once with CodeOverloaded. So operations
// complete in time for their callers, and a burst of retries leaves no backlog behind.
package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// Operation reads and changes the state. If it returns an error, its changes are rolled back; those of the batch's other
// operations are still committed.
type Operation func(*transaction.Tx) error

// Batch is a transaction with the conditions under which it began.
type Batch struct {
	Tx       *transaction.Tx
	View     view.View // the newest view when the batch began
	Writable bool      // this process was a ready primary then; otherwise the batch's operations are rejected
}

// Committer commits batches. Only the run loop's goroutine calls it.
type Committer interface {
	// Begin starts a batch on the committed state.
	Begin() Batch
	// Commit returns once the batch is durable. An error is returned to the callers of all of its operations. It may block for
	// seconds.
	Commit(Batch) error
	// AfterCommit is called after the successful commit of a batch with mutations, once its callers have been answered.
	AfterCommit(Batch)
}

// Pipeline consists of the queues of operations and the run loop that applies them.
type Pipeline struct {
	queues    *queues
	committer Committer
}

// New returns a pipeline with empty queues.
func New(committer Committer) Pipeline { return Pipeline{queues: newQueues(), committer: committer} }

// operation is one entry of a queue. Its state decides whether the run loop applies it or its caller abandons it.
type operation struct {
	apply    Operation
	weight   int    // amount of work, in units of an ordinary operation
	sequence uint64 // position in the common order of all operations and steps
	state    atomic.Int32
	outcome  chan error // buffered, so that sending the outcome never blocks
	err      error      // returned by apply

	step     func()        // set instead of apply for a step of the run loop
	stepDone chan struct{} // closed when the step has ended
}

// The states of an operation.
const (
	operationWaiting int32 = iota
	operationStarted
	operationAbandoned // by its caller, before it was started
)

// Submit queues an operation for the run loop and waits for its outcome. weight is the amount of work, in units of an ordinary
// operation: usually 1. The error has code CodeNotReady or CodeOverloaded if the operation has not been committed and never
// will be, and CodeOutcomeUnknown if it may be committed. The run loop's goroutine must not call Submit.
func (p *Pipeline) Submit(ctx context.Context, class Class, weight int, apply Operation) error {
	queued := &operation{apply: apply, weight: weight, outcome: make(chan error, 1)}
	if !p.queues.push(class, queued) {
		return wire.StatusError{Code: coreapi.CodeOverloaded}
	}
	select {
	case err := <-queued.outcome:
		return err
	case <-ctx.Done():
		if queued.state.CompareAndSwap(operationWaiting, operationAbandoned) {
			return wire.StatusError{Code: coreapi.CodeNotReady}
		}
		return wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
	}
}

// SubmitLater queues an operation without waiting for its outcome. The operation is dropped if its class has no room.
func (p *Pipeline) SubmitLater(class Class, apply Operation) {
	p.queues.push(class, &operation{apply: apply, weight: 1, outcome: make(chan error, 1)})
}

// StepLater queues a step for the run loop to take between two batches. The step is dropped if the queue of steps is full.
func (p *Pipeline) StepLater(step func()) {
	p.queues.pushStep(&operation{step: step, stepDone: make(chan struct{})})
}

// Step queues a step for the run loop to take between two batches, and waits until it has ended or the timeout expires. It
// returns at once if the queue of steps is full.
func (p *Pipeline) Step(step func(), timeout time.Duration) {
	queued := &operation{step: step, stepDone: make(chan struct{})}
	if !p.queues.pushStep(queued) {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-queued.stepDone:
	case <-timer.C:
	}
}

// Run is the run loop: it applies and commits operations, takes steps, and calls tick at each interval, until ctx ends.
func (p *Pipeline) Run(ctx context.Context, tickInterval time.Duration, tick func()) {
	runloop.Run(ctx, p.queues.wakeup, tickInterval, func(struct{}) { p.runOnce() }, tick)
}

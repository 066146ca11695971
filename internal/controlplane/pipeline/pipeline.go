// Package pipeline is the primary's write pipeline. Operations wait in a bounded queue; the run loop takes those that wait
// together, applies them one after another to one transaction, and has it committed as one batch: so many writes share
// one sync of the disks (group commit). What a commit takes is the Committer's matter.
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

// How much is taken at once.
const (
	maxBatchOperations = 256                    // committed together
	maxBatchBytes      = 1 << 20                // of keys and values, after which no further operation joins a batch
	queueCapacity      = 4 * maxBatchOperations // operations that wait; more are rejected
)

// Operation reads and changes the state. Where it returns an error its changes are rolled back, and the others' committed.
type Operation func(*transaction.Tx) error

// Batch is what a Committer begins and commits.
type Batch struct {
	Tx       *transaction.Tx
	View     view.View // under which it began
	Writable bool      // we were a ready primary then; else its operations are rejected
}

// Committer commits batches. Only the run loop's goroutine calls it.
type Committer interface {
	// Begin starts a batch on the committed state.
	Begin() Batch
	// Commit returns once the batch is durable, or an error that each of its operations gets. It may block for long.
	Commit(Batch) error
	// AfterCommit is called after a commit without error, once the operations' callers have been answered.
	AfterCommit(Batch)
}

// Pipeline is the queue of operations and the loop that takes them. The zero value rejects all operations.
type Pipeline struct {
	queue     chan *operation
	committer Committer
}

// New makes a pipeline with an empty queue.
func New(committer Committer) Pipeline {
	return Pipeline{queue: make(chan *operation, queueCapacity), committer: committer}
}

// operation is one entry of the queue; its state says who may still end it.
type operation struct {
	apply Operation
	state atomic.Int32
	done  chan error // has room for the outcome
	err   error      // of apply

	step     func()        // in place of apply: a step of the run loop's own
	stepDone chan struct{} // closed after it
}

// The states of an operation.
const (
	operationWaiting int32 = iota
	operationTaken
	operationAbandoned // by its caller, before it was taken
)

// Submit passes an operation to the run loop and waits for its outcome. The code of the error is CodeNotReady where the
// operation surely was not and will not be committed, CodeOutcomeUnknown where it may be. Any goroutine may call it but
// the run loop's.
func (p *Pipeline) Submit(ctx context.Context, apply Operation) error {
	queued := &operation{apply: apply, done: make(chan error, 1)}
	if !p.enqueue(queued) {
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	select {
	case err := <-queued.done:
		return err
	case <-ctx.Done():
		if queued.state.CompareAndSwap(operationWaiting, operationAbandoned) {
			return wire.StatusError{Code: coreapi.CodeNotReady}
		}
		return wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
	}
}

// SubmitLater queues an operation whose outcome nobody waits for. It is dropped where the queue is full.
func (p *Pipeline) SubmitLater(apply Operation) {
	p.enqueue(&operation{apply: apply, done: make(chan error, 1)})
}

// StepLater has the run loop take a step between two batches. It is dropped where the queue is full.
func (p *Pipeline) StepLater(step func()) {
	p.enqueue(&operation{step: step, stepDone: make(chan struct{})})
}

// Step has the run loop take a step between two batches, and waits for its end, or for the time-out.
func (p *Pipeline) Step(step func(), timeout time.Duration) {
	queued := &operation{step: step, stepDone: make(chan struct{})}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case p.queue <- queued:
	case <-timer.C:
		return
	}
	select {
	case <-queued.stepDone:
	case <-timer.C:
	}
}

// enqueue queues an operation, and reports whether there was room.
func (p *Pipeline) enqueue(queued *operation) bool {
	select {
	case p.queue <- queued:
		return true
	default:
		return false
	}
}

// Run is the run loop: it takes operations, and calls tick at each interval, until ctx ends.
func (p *Pipeline) Run(ctx context.Context, tickInterval time.Duration, tick func()) {
	runloop.Run(ctx, p.queue, tickInterval, p.runBatch, tick)
}

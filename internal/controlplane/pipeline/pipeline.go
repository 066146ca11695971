// Package pipeline is the primary's write pipeline. Operations wait in bounded queues, one for each class of urgency; the
// run loop takes those that wait together, applies them one after another to one transaction, and has it committed as one
// batch: so many writes share one sync of the disks (group commit). What a commit takes is the Committer's matter.
//
// Under overload each class is on its own. An operation whose caller gave up before it was taken is not done. One that
// would wait for longer than maxClassWait is rejected at once with CodeOverloaded, so that what is done is done in time for
// its caller, and a crowd that calls again leaves nothing behind that outlasts it.
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

// Pipeline is the queues of operations and the loop that takes them.
type Pipeline struct {
	queues    *queues
	committer Committer
}

// New makes a pipeline with empty queues.
func New(committer Committer) Pipeline { return Pipeline{queues: newQueues(), committer: committer} }

// operation is one entry of a queue; its state says who may still end it.
type operation struct {
	apply  Operation
	weight int    // how much work it is, in operations
	number uint64 // in the order in which all were queued
	state  atomic.Int32
	done   chan error // has room for the outcome
	err    error      // of apply

	step     func()        // in place of apply: a step of the run loop's own
	stepDone chan struct{} // closed after it
}

// The states of an operation.
const (
	operationWaiting int32 = iota
	operationTaken
	operationAbandoned // by its caller, before it was taken
)

// Submit passes an operation to the run loop and waits for its outcome. weight is how much work it is, in operations: 1 for
// most. The code of the error is CodeNotReady or CodeOverloaded where the operation surely was not and will not be
// committed, CodeOutcomeUnknown where it may be. Any goroutine may call it but the run loop's.
func (p *Pipeline) Submit(ctx context.Context, class Class, weight int, apply Operation) error {
	queued := &operation{apply: apply, weight: weight, done: make(chan error, 1)}
	if !p.queues.push(class, queued) {
		return wire.StatusError{Code: coreapi.CodeOverloaded}
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

// SubmitLater queues an operation whose outcome nobody waits for. It is dropped where the class has no room.
func (p *Pipeline) SubmitLater(class Class, apply Operation) {
	p.queues.push(class, &operation{apply: apply, weight: 1, done: make(chan error, 1)})
}

// StepLater has the run loop take a step between two batches. It is dropped where too many wait.
func (p *Pipeline) StepLater(step func()) {
	p.queues.pushStep(&operation{step: step, stepDone: make(chan struct{})})
}

// Step has the run loop take a step between two batches, and waits for its end, or for the time-out.
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

// Run is the run loop: it takes operations, and calls tick at each interval, until ctx ends.
func (p *Pipeline) Run(ctx context.Context, tickInterval time.Duration, tick func()) {
	runloop.Run(ctx, p.queues.wakeup, tickInterval, func(struct{}) { p.runBatch() }, tick)
}

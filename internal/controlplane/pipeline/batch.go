package pipeline

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// runBatch takes the operations that wait, the most urgent classes first, commits them as one batch, and then takes the
// first step that waits. What is left over is for the run loop's next round, so that its ticks come between.
func (p *Pipeline) runBatch() {
	p.commitWaiting()
	if step := p.queues.takeStep(); step != nil {
		step.step()
		close(step.stepDone)
	}
	if !p.queues.isEmpty() {
		p.queues.wake()
	}
}

// commitWaiting commits one batch of the operations that wait.
func (p *Pipeline) commitWaiting() {
	start := time.Now()
	var batch Batch
	var taken []*operation
	began := false
	for class := range Class(classCount) {
		for weight := 0; weight < maxClassWeight && !(began && batch.Tx.Size() >= maxBatchBytes); {
			next := p.queues.take(class)
			if next == nil {
				break
			}
			if !began {
				batch, began = p.committer.Begin(), true
			}
			weight += next.weight
			if next.run(batch.Tx, batch.Writable) {
				taken = append(taken, next)
			}
		}
	}
	if began {
		p.finish(batch, taken)
		p.queues.recordBatch(time.Since(start))
	}
}

// run applies an operation to the batch, and reports whether it is part of it. One that was abandoned is passed over, and
// one that may not write is rejected.
func (o *operation) run(tx *transaction.Tx, writable bool) bool {
	if !o.state.CompareAndSwap(operationWaiting, operationTaken) {
		return false
	}
	if !writable {
		o.done <- wire.StatusError{Code: coreapi.CodeNotReady}
		return false
	}
	savepoint := tx.Savepoint()
	if o.err = o.apply(tx); o.err != nil {
		tx.Rollback(savepoint)
	}
	return true
}

// finish commits a batch and answers its callers.
func (p *Pipeline) finish(batch Batch, taken []*operation) {
	err := p.committer.Commit(batch)
	for _, one := range taken {
		if err != nil {
			one.done <- err
		} else {
			one.done <- one.err
		}
	}
	if err == nil && len(batch.Tx.Mutations()) > 0 {
		p.committer.AfterCommit(batch)
	}
}

package pipeline

import (
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// runBatch takes an operation and all that wait behind it, and commits them as one batch.
func (p *Pipeline) runBatch(first *operation) {
	if first.step != nil {
		first.step()
		close(first.stepDone)
		return
	}
	batch := p.committer.Begin()
	var taken []*operation
	var step *operation
	for next, count := first, 0; next != nil; count++ {
		if next.run(batch.Tx, batch.Writable) {
			taken = append(taken, next)
		}
		next = nil
		if count < maxBatchOperations && batch.Tx.Size() < maxBatchBytes {
			next, step = p.dequeue()
		}
	}
	p.finish(batch, taken)
	if step != nil {
		p.runBatch(step)
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

// dequeue takes the operation that waits, if one does. A step of the run loop's own belongs to no batch.
func (p *Pipeline) dequeue() (next, step *operation) {
	select {
	case queued := <-p.queue:
		if queued.step != nil {
			return nil, queued
		}
		return queued, nil
	default:
		return nil, nil
	}
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

package pipeline

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// runOnce commits one batch of the waiting operations, the most urgent classes first, and then takes the first waiting step.
// The rest waits for the run loop's next iteration, so that ticks are handled in between.
func (p *Pipeline) runOnce() {
	p.commitNextBatch()
	if step := p.queues.popStep(); step != nil {
		step.step()
		close(step.stepDone)
	}
	if !p.queues.isEmpty() {
		p.queues.wake()
	}
}

// commitNextBatch applies and commits one batch of the waiting operations.
func (p *Pipeline) commitNextBatch() {
	start := time.Now()
	var batch Batch
	var applied []*operation
	began := false
	for class := range Class(classCount) {
		for weight := 0; weight < maxClassWeight && !(began && batch.Tx.Size() >= maxBatchBytes); {
			next := p.queues.pop(class)
			if next == nil {
				break
			}
			if !began {
				batch, began = p.committer.Begin(), true
			}
			weight += next.weight
			if next.applyTo(batch.Tx, batch.Writable) {
				applied = append(applied, next)
			}
		}
	}
	if began {
		p.commitAndReply(batch, applied)
		p.queues.recordBatchTime(time.Since(start))
	}
}

// applyTo applies an operation to a batch's transaction, and reports whether it is part of the batch. An abandoned operation
// is skipped. If writes are not accepted, the operation is rejected.
func (o *operation) applyTo(tx *transaction.Tx, writable bool) bool {
	if !o.state.CompareAndSwap(operationWaiting, operationStarted) {
		return false
	}
	if !writable {
		o.outcome <- wire.StatusError{Code: coreapi.CodeNotReady}
		return false
	}
	savepoint := tx.Savepoint()
	if o.err = o.apply(tx); o.err != nil {
		tx.Rollback(savepoint)
	}
	return true
}

// commitAndReply commits a batch and sends each operation's outcome to its caller.
func (p *Pipeline) commitAndReply(batch Batch, applied []*operation) {
	err := p.committer.Commit(batch)
	for _, op := range applied {
		if err != nil {
			op.outcome <- err
		} else {
			op.outcome <- op.err
		}
	}
	if err == nil && len(batch.Tx.Mutations()) > 0 {
		p.committer.AfterCommit(batch)
	}
}

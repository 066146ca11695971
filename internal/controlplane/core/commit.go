package core

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// job is one operation of the run loop; its state says who may still end it.
type job struct {
	do    func(*transaction.Tx) error
	step  func() // in place of do: a step of the run loop's own
	state atomic.Int32
	done  chan error
	err   error
}

// The states of a job.
const (
	jobWaiting int32 = iota
	jobTaken
	jobAbandoned // by its caller, before it was taken
)

// Submit passes an operation to the run loop and waits for its outcome. The error is NotReady
// where the operation surely was not and will not be taken, InDoubt where it may be.
func (s *Server) Submit(ctx context.Context, do func(*transaction.Tx) error) error {
	if !s.isReady() {
		if v := s.acceptor.View(); v.Primary != s.acceptor.ID() {
			return wire.StatusError{Code: coreapi.CodeNotPrimary}
		}
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	operation := &job{do: do, done: make(chan error, 1)}
	select {
	case s.jobs <- operation:
	default:
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	select {
	case err := <-operation.done:
		return err
	case <-ctx.Done():
		if operation.state.CompareAndSwap(jobWaiting, jobAbandoned) {
			return wire.StatusError{Code: coreapi.CodeNotReady}
		}
		return wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
	}
}

// runBatch takes a job and all that wait behind it, and syncs them as one batch.
func (s *Server) runBatch(first *job) {
	if first.step != nil {
		first.step()
		close(first.done)
		return
	}
	s.mu.Lock()
	ready, epoch := s.ready, s.epoch
	s.mu.Unlock()
	v := s.acceptor.View()
	tx := transaction.New(s.store.Load())
	mayWrite := ready && v.Epoch == epoch && s.isPrimary(v)
	var taken []*job
	var step *job
	for next, count := first, 0; next != nil; count++ {
		if next.run(tx, mayWrite) {
			taken = append(taken, next)
		}
		next = nil
		if count < maxBatchJobs && tx.Size() < maxBatchBytes {
			next, step = s.nextJob()
		}
	}
	s.finishBatch(v, tx, taken)
	if step != nil {
		s.runBatch(step)
	}
}

// run puts what a job does into the batch, and reports whether it did. A job that was abandoned is passed over, and
// where writes are not taken the job ends.
func (j *job) run(tx *transaction.Tx, mayWrite bool) bool {
	if !j.state.CompareAndSwap(jobWaiting, jobTaken) {
		return false
	}
	if !mayWrite {
		j.done <- wire.StatusError{Code: coreapi.CodeNotReady}
		return false
	}
	savepoint := tx.Savepoint()
	if j.err = j.do(tx); j.err != nil {
		tx.Rollback(savepoint)
	}
	return true
}

// nextJob gives the job that waits, if one does. A step of the run loop's own belongs to no batch.
func (s *Server) nextJob() (work, step *job) {
	select {
	case next := <-s.jobs:
		if next.step != nil {
			return nil, next
		}
		return next, nil
	default:
		return nil, nil
	}
}

// finishBatch commits a batch and tells its jobs what came of it.
func (s *Server) finishBatch(v view.View, tx *transaction.Tx, taken []*job) {
	err := s.commit(v, tx)
	for _, one := range taken {
		if err != nil {
			one.done <- err
		} else {
			one.done <- one.err
		}
	}
	if err == nil && len(tx.Mutations()) > 0 {
		if err := tx.Committed().CompactIfNeeded(); err != nil {
			s.failDisk(err)
		}
	}
}

// commit stores the batch on our disk and the backups', and looks at the lease once more. Only then is it done.
func (s *Server) commit(v view.View, tx *transaction.Tx) error {
	inDoubt := wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
	if len(tx.Mutations()) == 0 {
		if !s.isPrimary(v) {
			return wire.StatusError{Code: coreapi.CodeNotReady}
		}
		return nil
	}
	batch := store.Batch{Version: tx.Committed().Version() + 1, Mutations: tx.LastMutations()}
	stored, replicated := make(chan error, 1), make(chan []string, 1)
	go func() { stored <- tx.Committed().Append(batch) }()
	go func() { replicated <- s.replicator.Replicate(v, batch) }()
	tooSlow := time.NewTimer(diskTimeout)
	defer tooSlow.Stop()
	select {
	case err := <-stored:
		if err != nil {
			s.failDisk(err)
			return inDoubt
		}
	case <-tooSlow.C:
		s.failDisk(eris.New("sync takes too long"))
		return inDoubt
	}
	if failed := <-replicated; len(failed) > 0 && !faultinjection.Disabled("backup-copy") {
		s.replicator.RecordFailures(failed)
		if !s.replaceBackups() {
			return inDoubt
		}
	} else if !s.isPrimary(v) {
		return inDoubt
	}
	s.applyCommitted(tx)
	return nil
}

// replaceBackups leads on until backups hold all, the unanswered batch included. Those that failed are let go where
// others can be had.
func (s *Server) replaceBackups() bool {
	s.setReady(false)
	me := s.acceptor.ID()
	for deadline := time.Now().Add(replaceTimeout); time.Now().Before(deadline); {
		current := s.acceptor.View()
		if current.Primary != me || s.hasDiskFailed() {
			return false
		}
		s.lead(current, me)
		next := s.acceptor.View()
		if s.isReady() && s.isPrimary(next) {
			return true
		}
		if next.Epoch != current.Epoch {
			continue // a step was made, and the next one need not wait
		}
		if !runloop.Sleep(s.ctx, replaceStepPause) {
			return false
		}
	}
	return false
}

// applyCommitted takes up what a committed batch says: the configuration that nodes are told of, and the finished keys.
func (s *Server) applyCommitted(tx *transaction.Tx) {
	s.claims.ApplyCommitted(tx)
	if config, ok := configuration.Written(tx); ok {
		s.mu.Lock()
		s.config = config
		s.mu.Unlock()
	}
}

package core

import (
	"time"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// How long a write may wait.
const (
	diskTimeout         = 600 * time.Millisecond // for our disk, as for a backup's; a slower one counts as failed
	replaceTimeout      = 3 * time.Second        // for other backups in place of those that failed
	replaceStepInterval = 5 * time.Millisecond   // between two checks whether the lease of the new epoch is held
)

// committer is this process as the committer of its pipeline.
type committer struct{ s *Server }

// Begin implements pipeline.Committer.
func (c committer) Begin() pipeline.Batch {
	epoch, ready := c.s.leadership.WritableEpoch()
	v := c.s.acceptor.View()
	tx := transaction.New(c.s.store.Load())
	return pipeline.Batch{Tx: tx, View: v, Writable: ready && v.Epoch == epoch && c.s.isPrimary(v)}
}

// Commit implements pipeline.Committer.
func (c committer) Commit(batch pipeline.Batch) error { return c.s.commit(batch.View, batch.Tx) }

// AfterCommit implements pipeline.Committer: it compacts the store where that is due.
func (c committer) AfterCommit(batch pipeline.Batch) {
	if err := batch.Tx.Committed().CompactIfNeeded(); err != nil {
		c.s.failDisk(err)
	}
}

// commit stores the batch on our disk and the backups', and checks the lease once more. Only then is it
// acknowledged.
func (s *Server) commit(v view.View, tx *transaction.Tx) error {
	outcomeUnknown := wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
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
			return outcomeUnknown
		}
	case <-tooSlow.C:
		s.failDisk(eris.New("sync takes too long"))
		return outcomeUnknown
	}
	if failed := <-replicated; len(failed) > 0 && !faultinjection.Disabled("backup-copy") {
		s.replicator.RecordFailures(failed)
		if !s.replaceBackups() {
			return outcomeUnknown
		}
	} else if !s.isPrimary(v) {
		// The batch is on the disks, and what we answer from is that of before it. Should the lease be held again, a
		// repetition of a write of this batch would be acknowledged beside reads that do not show it.
		s.ctx.Log.Info("Lease ran out while a batch was stored.", "epoch", v.Epoch)
		if !faultinjection.Disabled("end-of-writes") {
			s.leadership.EndWrites()
		}
		return outcomeUnknown
	}
	s.service.ApplyCommitted(tx)
	return nil
}

// replaceBackups leads on until enough backups are in sync, the unanswered batch included. Those that failed are replaced
// where there are others.
func (s *Server) replaceBackups() bool {
	s.leadership.EndWrites()
	self := s.acceptor.ID()
	for deadline := time.Now().Add(replaceTimeout); time.Now().Before(deadline); {
		current := s.acceptor.View()
		if current.Primary != self || s.leadership.HasDiskFailed() {
			return false
		}
		s.lead(current, self)
		next := s.acceptor.View()
		if s.leadership.IsReady() && s.isPrimary(next) {
			return true
		}
		if next.Epoch != current.Epoch {
			continue // a step was made, and the next one need not wait
		}
		if !runloop.Sleep(s.ctx, replaceStepInterval) {
			return false
		}
	}
	return false
}

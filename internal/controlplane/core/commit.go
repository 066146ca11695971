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

// Time limits of a write.
const (
	diskTimeout         = 600 * time.Millisecond // for this process's disk, as for a backup's; a slower one counts as failed
	replaceTimeout      = 3 * time.Second        // to replace backups that failed
	replaceStepInterval = 5 * time.Millisecond   // between two checks whether the new epoch's lease is held
)

// committer implements pipeline.Committer.
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

// AfterCommit implements pipeline.Committer: it compacts the store if that is due.
func (c committer) AfterCommit(batch pipeline.Batch) {
	if err := batch.Tx.Committed().CompactIfNeeded(); err != nil {
		c.s.failDisk(err)
	}
}

// commit stores the batch on this process's disk and on the backups, then checks the lease once more. The batch may be
// acknowledged only if it returns no error.
func (s *Server) commit(v view.View, tx *transaction.Tx) error {
	outcomeUnknown := wire.StatusError{Code: coreapi.CodeOutcomeUnknown}
	if len(tx.Mutations()) == 0 {
		if !s.isPrimary(v) {
			return wire.StatusError{Code: coreapi.CodeNotReady}
		}
		return nil
	}
	batch := store.Batch{Version: tx.Committed().Version() + 1, Mutations: tx.LastMutations()}
	stored, failedBackups := make(chan error, 1), make(chan []string, 1)
	go func() { stored <- tx.Committed().Append(batch) }()
	go func() { failedBackups <- s.replicator.Replicate(v, batch) }()
	timer := time.NewTimer(diskTimeout)
	defer timer.Stop()
	select {
	case err := <-stored:
		if err != nil {
			s.failDisk(err)
			return outcomeUnknown
		}
	case <-timer.C:
		s.failDisk(eris.Errorf("disk sync took longer than %s", diskTimeout))
		return outcomeUnknown
	}
	if failed := <-failedBackups; len(failed) > 0 && !faultinjection.Disabled("backup-copy") {
		s.replicator.RecordFailures(failed)
		if !s.replaceBackups() {
			return outcomeUnknown
		}
	} else if !s.isPrimary(v) {
		// The batch is on the disks, but this process still answers from the state before it. If the lease were held again,
		// a retry of a write in this batch would be acknowledged while reads do not show that write.
		s.ctx.Log.Info("Lease expired while a batch was being stored.", "epoch", v.Epoch)
		if !faultinjection.Disabled("end-of-writes") {
			s.leadership.EndWrites()
		}
		return outcomeUnknown
	}
	s.service.ApplyCommitted(tx)
	return nil
}

// replaceBackups takes steps as primary until enough backups are in sync, including the batch that is not acknowledged yet.
// Backups that failed are replaced if other members are available. It reports whether this succeeded in time.
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
			continue // the epoch advanced: take the next step at once
		}
		if !runloop.Sleep(s.ctx, replaceStepInterval) {
			return false
		}
	}
	return false
}

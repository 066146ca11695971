package pipeline

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// errCommit is the error of a failing commit.
var errCommit = errors.New("not committed")

// recordingCommitter records the mutations of each batch and commits nothing.
type recordingCommitter struct {
	store    *store.Store
	writable bool
	err      error
	batches  [][]store.Mutation
	after    int // number of calls of AfterCommit
}

func (c *recordingCommitter) Begin() Batch {
	return Batch{Tx: transaction.New(c.store), Writable: c.writable}
}

func (c *recordingCommitter) Commit(batch Batch) error {
	c.batches = append(c.batches, batch.Tx.Mutations())
	return c.err
}

func (c *recordingCommitter) AfterCommit(Batch) { c.after++ }

// newPipeline returns a pipeline whose run loop has not started, and its committer.
func newPipeline(t *testing.T) (*Pipeline, *recordingCommitter) {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opened, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	committer := &recordingCommitter{store: opened, writable: true}
	p := New(committer)
	return &p, committer
}

// put returns an operation that sets a key and returns err.
func put(key string, err error) Operation {
	return func(tx *transaction.Tx) error {
		tx.PutRaw(key, []byte(key))
		return err
	}
}

// submitAll queues operations in order before it starts the run loop, and returns their outcomes in that order.
func submitAll(t *testing.T, p *Pipeline, operations ...Operation) []error {
	t.Helper()
	outcomes := make([]chan error, len(operations))
	for i, operation := range operations {
		outcomes[i] = make(chan error, 1)
		go func() { outcomes[i] <- p.Submit(t.Context(), ClassQuota, 1, operation) }()
		synctest.Wait()
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Run(ctx, 0, nil)
	synctest.Wait()
	errs := make([]error, len(operations))
	for i := range outcomes {
		errs[i] = <-outcomes[i]
	}
	return errs
}

// Operations that wait at the same time are committed as one batch. An operation that fails is rolled back and does not affect
// the others.
func TestWaitingOperationsAreOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		failed := errors.New("failed")
		errs := submitAll(t, p, put("a", nil), put("b", failed), put("c", nil))
		if errs[0] != nil || !errors.Is(errs[1], failed) || errs[2] != nil {
			t.Errorf("got outcomes %v, want only the second one failed", errs)
		}
		if len(committer.batches) != 1 || len(committer.batches[0]) != 2 || committer.batches[0][0].Key != "a" || committer.batches[0][1].Key != "c" {
			t.Errorf("got batches %v, want one of a and c", committer.batches)
		}
		if committer.after != 1 {
			t.Errorf("got %d calls of AfterCommit after a commit, want 1", committer.after)
		}
	})
}

// If a commit fails, every operation of the batch fails with its error, whatever the operation itself returned.
func TestFailedCommitFailsItsOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		committer.err = errCommit
		for i, err := range submitAll(t, p, put("a", nil), put("b", errors.New("failed"))) {
			if !errors.Is(err, errCommit) {
				t.Errorf("operation %d: got error %v, want %v", i, err, errCommit)
			}
		}
		if committer.after != 0 {
			t.Errorf("got %d calls of AfterCommit after a failed commit, want none", committer.after)
		}
	})
}

// If writes are not accepted, an operation is rejected without being applied.
func TestOperationsAreRejectedWhereNotWritable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		committer.writable = false
		errs := submitAll(t, p, func(*transaction.Tx) error {
			t.Error("the operation was applied")
			return nil
		})
		if !wire.HasCode(errs[0], coreapi.CodeNotReady) {
			t.Errorf("got error %v, want code %v", errs[0], coreapi.CodeNotReady)
		}
	})
}

// If the caller gives up before its operation is started, the operation is never committed. If the caller gives up later, the
// outcome is unknown.
func TestOutcomeOfAnAbandonedOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := p.Submit(ctx, ClassQuota, 1, put("a", nil)); !wire.HasCode(err, coreapi.CodeNotReady) {
			t.Errorf("got error %v before the operation was started, want code %v", err, coreapi.CodeNotReady)
		}
		running, stop := context.WithCancel(t.Context())
		defer stop()
		go p.Run(running, 0, nil)
		synctest.Wait()
		if len(committer.batches) != 1 || len(committer.batches[0]) != 0 {
			t.Errorf("got batches %v, want one empty batch", committer.batches)
		}
		short, cancelShort := context.WithTimeout(t.Context(), time.Second)
		defer cancelShort()
		slow := func(*transaction.Tx) error {
			time.Sleep(2 * time.Second)
			return nil
		}
		if err := p.Submit(short, ClassQuota, 1, slow); !wire.HasCode(err, coreapi.CodeOutcomeUnknown) {
			t.Errorf("got error %v while the operation was applied, want code %v", err, coreapi.CodeOutcomeUnknown)
		}
		time.Sleep(2 * time.Second)
	})
}

// A step ends the batch of the operations queued before it, and runs after that batch was committed.
func TestStepRunsBetweenBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		committed := -1
		p.SubmitLater(ClassQuota, put("a", nil))
		p.StepLater(func() { committed = len(committer.batches) })
		if errs := submitAll(t, p, put("b", nil)); errs[0] != nil {
			t.Fatal(errs[0])
		}
		if committed != 1 || len(committer.batches) != 2 {
			t.Errorf("step ran after %d of %d batches, want after 1 of 2", committed, len(committer.batches))
		}
	})
}

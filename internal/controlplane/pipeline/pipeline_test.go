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

// errCommit is the error of a committer that commits nothing.
var errCommit = errors.New("not committed")

// recordingCommitter keeps what it was asked to commit.
type recordingCommitter struct {
	store    *store.Store
	writable bool
	err      error
	batches  [][]store.Mutation
	after    int
}

func (c *recordingCommitter) Begin() Batch {
	return Batch{Tx: transaction.New(c.store), Writable: c.writable}
}

func (c *recordingCommitter) Commit(batch Batch) error {
	c.batches = append(c.batches, batch.Tx.Mutations())
	return c.err
}

func (c *recordingCommitter) AfterCommit(Batch) { c.after++ }

// newPipeline is a pipeline whose run loop has not begun, with its committer.
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

// put is an operation that sets a key, and ends with an error.
func put(key string, err error) Operation {
	return func(tx *transaction.Tx) error {
		tx.PutRaw(key, []byte(key))
		return err
	}
}

// submitAll submits operations at once, and returns their outcomes in order once the run loop has taken them.
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

// Operations that wait together are one batch. One that fails is rolled back, and does not fail the others.
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
			t.Errorf("got %d calls after a commit, want 1", committer.after)
		}
	})
}

// What a commit ends with is the outcome of each operation of its batch.
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
			t.Errorf("got %d calls after a failed commit, want none", committer.after)
		}
	})
}

// Where writes are not taken, an operation is rejected before it runs.
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

// An operation whose caller gave up before it was taken is surely not committed; while it commits, its outcome is unknown.
func TestOutcomeOfAnAbandonedOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, committer := newPipeline(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := p.Submit(ctx, ClassQuota, 1, put("a", nil)); !wire.HasCode(err, coreapi.CodeNotReady) {
			t.Errorf("got error %v before it was taken, want code %v", err, coreapi.CodeNotReady)
		}
		running, stop := context.WithCancel(t.Context())
		defer stop()
		go p.Run(running, 0, nil)
		synctest.Wait()
		if len(committer.batches) != 1 || len(committer.batches[0]) != 0 {
			t.Errorf("got batches %v, want an empty one", committer.batches)
		}
		short, cancelShort := context.WithTimeout(t.Context(), time.Second)
		defer cancelShort()
		slow := func(*transaction.Tx) error {
			time.Sleep(2 * time.Second)
			return nil
		}
		if err := p.Submit(short, ClassQuota, 1, slow); !wire.HasCode(err, coreapi.CodeOutcomeUnknown) {
			t.Errorf("got error %v while it was applied, want code %v", err, coreapi.CodeOutcomeUnknown)
		}
		time.Sleep(2 * time.Second)
	})
}

// A step of the run loop's own ends the batch before it, and runs after that was committed.
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
			t.Errorf("got the step after %d of %d batches, want after 1 of 2", committed, len(committer.batches))
		}
	})
}

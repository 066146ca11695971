package runnerregistry

import (
	"context"
	"log/slog"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
)

// operation is a submitted state change.
type operation struct {
	apply func(tx *transaction.Tx) error
	done  chan error
}

// storedRegistry is a registry with a storage whose operations are committed by the test.
type storedRegistry struct {
	*Registry
	Storage
	committed *store.Store
	submitted chan *operation
}

func newStoredRegistry(t *testing.T) *storedRegistry {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	committed, err := store.Open(disk, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r := &storedRegistry{Registry: newRegistryWithoutPush(), committed: committed, submitted: make(chan *operation, 16)}
	r.StartEpoch(1, time.Now(), time.Now(), nil)
	r.Storage = Storage{
		Committed: func() *store.Store { return committed },
		Submit: func(ctx context.Context, apply func(tx *transaction.Tx) error) error {
			submitted := &operation{apply: apply, done: make(chan error, 1)}
			r.submitted <- submitted
			select {
			case err := <-submitted.done:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		},
		SubmitLater: func(apply func(tx *transaction.Tx) error) {
			r.submitted <- &operation{apply: apply, done: make(chan error, 1)}
		},
	}
	return r
}

// newRegistryWithoutPush returns a registry that sends no notifications and whose runners time out after four seconds.
func newRegistryWithoutPush() *Registry {
	return New(4*time.Second, func(routing.Runner) <-chan struct{} { return nil })
}

// commit commits all submitted operations as one batch.
func (r *storedRegistry) commit(t *testing.T) {
	t.Helper()
	tx := transaction.New(r.committed)
	var applied []*operation
	for len(r.submitted) > 0 {
		next := <-r.submitted
		if err := next.apply(tx); err != nil {
			t.Fatal(err)
		}
		applied = append(applied, next)
	}
	r.append(t, tx)
	for _, operation := range applied {
		operation.done <- nil
	}
}

// append commits the mutations of a transaction, if there are any.
func (r *storedRegistry) append(t *testing.T, tx *transaction.Tx) {
	t.Helper()
	if len(tx.Mutations()) == 0 {
		return
	}
	if err := r.committed.Append(store.Batch{Version: r.committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
		t.Fatal(err)
	}
}

// storeState commits a state of the runner a directly, before the operations that have been submitted.
func (r *storedRegistry) storeState(t *testing.T, state routing.RunnerState) {
	t.Helper()
	tx := transaction.New(r.committed)
	if err := tx.Put(runnerPrefix+"a", &routing.Runner{ID: "a", State: state}); err != nil {
		t.Fatal(err)
	}
	r.append(t, tx)
}

// heartbeat records and saves a heartbeat of the runner a like the primary does, and commits the submitted operations.
func (r *storedRegistry) heartbeat(t *testing.T, state routing.RunnerState, sequence uint64) {
	t.Helper()
	r.RecordHeartbeat(routing.Runner{ID: "a", Service: "s", Address: "10.0.0.9:80", State: state, Sequence: sequence}, time.Now())
	saved := make(chan error, 1)
	runner, _ := r.Lookup("a")
	go func() { saved <- r.Save(t.Context(), runner) }()
	synctest.Wait()
	for len(r.submitted) > 0 {
		r.commit(t)
		synctest.Wait()
	}
	if err := <-saved; err != nil {
		t.Fatal(err)
	}
}

// The stored runner follows the newest heartbeat: a late heartbeat does not make a draining or gone runner ready again, and a
// heartbeat without a change writes nothing.
func TestStorageFollowsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		steps := []struct {
			state       routing.RunnerState
			sequence    uint64
			wantState   routing.RunnerState
			wantVersion uint64 // of the store; equals the number of writes
		}{
			{routing.RunnerReady, 1, routing.RunnerReady, 1},
			{routing.RunnerReady, 2, routing.RunnerReady, 1},
			{routing.RunnerDraining, 4, routing.RunnerDraining, 2},
			{routing.RunnerReady, 3, routing.RunnerDraining, 2},
			{routing.RunnerGone, 9, routing.RunnerGone, 3},
			{routing.RunnerReady, 5, routing.RunnerGone, 3},
			{routing.RunnerReady, 10, routing.RunnerGone, 3},
		}
		for i, step := range steps {
			r.heartbeat(t, step.state, step.sequence)
			stored, _ := r.Load("a")
			if version := r.committed.Version(); stored.State != step.wantState || version != step.wantVersion {
				t.Errorf("step %d: got stored state %q after %d writes, want %q after %d", i, stored.State, version, step.wantState, step.wantVersion)
			}
		}
	})
}

// Guards against a runner that has deregistered and gets work again after a change of the primary: the next primary knows that it has
// gone, also if the runner was never stored before, and takes no late heartbeat for that of a new runner.
func TestDeregistrationSurvivesThePrimary(t *testing.T) {
	for _, wasKnown := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newStoredRegistry(t)
			if wasKnown {
				r.heartbeat(t, routing.RunnerReady, 1)
			}
			r.heartbeat(t, routing.RunnerGone, math.MaxUint64)
			next := newRegistryWithoutPush()
			next.StartEpoch(2, time.Now(), time.Now(), r.LoadAll())
			time.Sleep(runnerTTL / 2)
			next.RecordHeartbeat(routing.Runner{ID: "a", Service: "s", State: routing.RunnerReady, Sequence: 2}, time.Now())
			if runner, _ := next.Lookup("a"); runner.State != routing.RunnerGone {
				t.Errorf("known before: %v: got state %q from the next primary after a late heartbeat, want %q", wasKnown, runner.State, routing.RunnerGone)
			}
		})
	}
}

// A heartbeat that is stored late, after the runner's deregistration or a newer heartbeat, does not replace what is stored.
func TestLateWriteReplacesNothingNewer(t *testing.T) {
	for _, newer := range []routing.Runner{{ID: "a", Service: "s", State: routing.RunnerDraining, Sequence: 3}, {ID: "a", State: routing.RunnerGone, Sequence: math.MaxUint64}} {
		synctest.Test(t, func(t *testing.T) {
			r := newStoredRegistry(t)
			late := routing.Runner{ID: "a", Service: "s", State: routing.RunnerReady, Sequence: 2}
			saved := make(chan error, 2)
			go func() { saved <- r.Save(t.Context(), newer) }()
			synctest.Wait()
			go func() { saved <- r.Save(t.Context(), late) }()
			synctest.Wait()
			r.commit(t)
			if stored, _ := r.Load("a"); stored.State != newer.State {
				t.Errorf("got stored state %q after a late write, want %q", stored.State, newer.State)
			}
		})
	}
}

// A sweep deletes a record only if nothing has been stored for that runner since the sweep looked.
func TestSweepKeepsWhatWasStoredMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		r.heartbeat(t, routing.RunnerReady, 1)
		r.DeleteUnknown(nil)
		r.storeState(t, routing.RunnerGone)
		r.commit(t)
		if stored, _ := r.Load("a"); stored.State != routing.RunnerGone {
			t.Errorf("got stored state %q, want %q", stored.State, routing.RunnerGone)
		}
	})
}

// After a restart from disk, a crashed runner is still timed out, until it sends a heartbeat.
func TestTimedOutRunnerIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		stateAfterRestart := func() routing.RunnerState {
			restarted := newRegistryWithoutPush()
			restarted.StartEpoch(2, time.Now(), time.Now(), r.LoadAll())
			runner, _ := restarted.Lookup("a")
			return runner.State
		}
		sweep := func() {
			r.SaveTimedOut(r.List(time.Now()))
			r.commit(t)
		}
		r.heartbeat(t, routing.RunnerReady, 1)
		time.Sleep(3 * time.Second)
		sweep()
		if got := stateAfterRestart(); got != routing.RunnerReady {
			t.Errorf("got state %q from the disk 3 s after a heartbeat, want %q", got, routing.RunnerReady)
		}
		time.Sleep(2 * time.Second)
		sweep()
		if got := stateAfterRestart(); got != routing.RunnerTimedOut {
			t.Errorf("got state %q from the disk after the timeout, want %q", got, routing.RunnerTimedOut)
		}
		before := r.committed.Version()
		sweep()
		if got := r.committed.Version(); got != before {
			t.Errorf("got version %d after a sweep without a change, want %d", got, before)
		}
		r.heartbeat(t, routing.RunnerReady, 2)
		if got := stateAfterRestart(); got != routing.RunnerReady {
			t.Errorf("got state %q from the disk after the next heartbeat, want %q", got, routing.RunnerReady)
		}
	})
}

// A draining runner that times out is still stored as draining.
func TestTimedOutRunnerStaysDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		r.heartbeat(t, routing.RunnerReady, 1)
		r.heartbeat(t, routing.RunnerDraining, 2)
		time.Sleep(5 * time.Second)
		r.SaveTimedOut(r.List(time.Now()))
		r.commit(t)
		if stored, _ := r.Load("a"); stored.State != routing.RunnerDraining {
			t.Errorf("got stored state %q, want %q", stored.State, routing.RunnerDraining)
		}
	})
}

// A timeout that is submitted before, but committed after a runner starts draining does not overwrite the draining state.
func TestDrainingCommittedBeforeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		r.heartbeat(t, routing.RunnerReady, 1)
		time.Sleep(5 * time.Second)
		r.SaveTimedOut(r.List(time.Now()))
		r.storeState(t, routing.RunnerDraining)
		r.commit(t)
		if stored, _ := r.Load("a"); stored.State != routing.RunnerDraining {
			t.Errorf("got stored state %q, want %q", stored.State, routing.RunnerDraining)
		}
	})
}

// Stored runners that the registry no longer knows are deleted, the others stay.
func TestForgottenRunnersAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStoredRegistry(t)
		r.heartbeat(t, routing.RunnerReady, 1)
		r.DeleteUnknown(r.List(time.Now()))
		r.commit(t)
		if stored := r.LoadAll(); len(stored) != 1 {
			t.Errorf("got %d stored runners while the registry knows one, want 1", len(stored))
		}
		time.Sleep(runnerTTL + time.Second)
		r.DeleteUnknown(r.List(time.Now()))
		r.commit(t)
		if stored := r.LoadAll(); len(stored) != 0 {
			t.Errorf("got stored runners %v after the registry removed them, want none", stored)
		}
	})
}

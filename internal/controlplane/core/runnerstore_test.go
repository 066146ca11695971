package core

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
)

// keepingServer is a server whose operations are committed by the test.
func keepingServer(t *testing.T) (*Server, func()) {
	s, opened := quotaServer(t)
	s.jobs = make(chan *job, 16)
	s.registry = NewRunnerRegistry(4*time.Second, func(routing.Runner) <-chan struct{} { return nil })
	s.registry.Begin(1, time.Now(), time.Now(), nil)
	return s, func() {
		t.Helper()
		tx := transaction.New(opened)
		for len(s.jobs) > 0 {
			if err := (<-s.jobs).do(tx); err != nil {
				t.Fatal(err)
			}
		}
		if len(tx.Mutations()) == 0 {
			return
		}
		if err := opened.Append(store.Batch{Version: opened.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
	}
}

// hear takes a heartbeat as the primary does, but for the waits.
func hear(t *testing.T, s *Server, commit func(), state routing.RunnerState, version uint64) {
	t.Helper()
	runner := routing.Runner{ID: "a", Service: "s", Address: "10.0.0.9:80", State: state, Sequence: version}
	s.registry.Heartbeat(runner, time.Now())
	ended := make(chan error, 1)
	s.ready = true
	go func() { ended <- s.storeRunner(t.Context(), s.registry.Known("a")) }()
	synctest.Wait()
	for len(s.jobs) > 0 {
		waiting := <-s.jobs
		s.jobs <- waiting
		commit()
		waiting.done <- nil
		synctest.Wait()
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// What the disk has of a runner follows its newest word: a late heartbeat does not bring back one that is
// leaving or gone, and a heartbeat that says the same again writes nothing.
func TestStoredRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, commit := keepingServer(t)
		stored := func() (routing.RunnerState, uint64) {
			runner, _ := s.storedRunner("a")
			return runner.State, s.store.Load().Version()
		}
		steps := []struct {
			state    routing.RunnerState
			sequence uint64
			kept     routing.RunnerState
			writes   uint64
		}{
			{routing.RunnerReady, 1, routing.RunnerReady, 1},
			{routing.RunnerReady, 2, routing.RunnerReady, 1},
			{routing.RunnerDraining, 4, routing.RunnerDraining, 2},
			{routing.RunnerReady, 3, routing.RunnerDraining, 2},
			{routing.RunnerGone, 9, "", 3},
			{routing.RunnerReady, 5, "", 3},
		}
		for i, step := range steps {
			hear(t, s, commit, step.state, step.sequence)
			if state, writes := stored(); state != step.kept || writes != step.writes {
				t.Errorf("step %d: the disk has %q after %d writes, %q after %d expected", i, state, writes, step.kept, step.writes)
			}
		}
		if list := s.storedRunners(); len(list) != 0 {
			t.Errorf("stored: %v", list)
		}
	})
}

// A runner that has crashed is not ready again for a primary that starts from the disk, and is once it is heard.
func TestSilentRunnerIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, commit := keepingServer(t)
		restarted := func() routing.RunnerState {
			registry := NewRunnerRegistry(4*time.Second, func(routing.Runner) <-chan struct{} { return nil })
			registry.Begin(2, time.Now(), time.Now(), s.storedRunners())
			return registry.Known("a").State
		}
		sweep := func() {
			s.storeSilent(s.registry.List(time.Now()))
			commit()
		}
		hear(t, s, commit, routing.RunnerReady, 1)
		time.Sleep(3 * time.Second)
		sweep()
		if state := restarted(); state != routing.RunnerReady {
			t.Errorf("%q from the disk 3 s after a heartbeat", state)
		}
		time.Sleep(2 * time.Second)
		sweep()
		if state := restarted(); state != routing.RunnerSilent {
			t.Errorf("%q from the disk while the runner is silent", state)
		}
		writes := s.store.Load().Version()
		sweep()
		if again := s.store.Load().Version(); again != writes {
			t.Error("what the disk has is written again")
		}
		hear(t, s, commit, routing.RunnerReady, 2)
		if state := restarted(); state != routing.RunnerReady {
			t.Errorf("%q from the disk once the runner is heard again", state)
		}
	})
}

// A runner that said that it leaves and then falls silent is still known to leave.
func TestSilentRunnerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, commit := keepingServer(t)
		hear(t, s, commit, routing.RunnerReady, 1)
		hear(t, s, commit, routing.RunnerDraining, 2)
		time.Sleep(5 * time.Second)
		s.storeSilent(s.registry.List(time.Now()))
		commit()
		if stored, _ := s.storedRunner("a"); stored.State != routing.RunnerDraining {
			t.Errorf("the disk has %q", stored.State)
		}
	})
}

// A runner whose word that it leaves is written between the look at the disk and the write of its silence is
// still known to leave.
func TestSilenceComesAfterTheWordThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, commit := keepingServer(t)
		hear(t, s, commit, routing.RunnerReady, 1)
		time.Sleep(5 * time.Second)
		silent := s.registry.List(time.Now())
		s.storeSilent(silent)
		opened := s.store.Load()
		tx := transaction.New(opened)
		if err := tx.Put(runnerPrefix+"a", &routing.Runner{ID: "a", State: routing.RunnerDraining}); err != nil {
			t.Fatal(err)
		}
		if err := opened.Append(store.Batch{Version: opened.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
			t.Fatal(err)
		}
		commit()
		if stored, _ := s.storedRunner("a"); stored.State != routing.RunnerDraining {
			t.Errorf("the disk has %q", stored.State)
		}
	})
}

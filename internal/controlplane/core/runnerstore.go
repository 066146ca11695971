package core

import (
	"context"
	"strings"

	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
)

// Runners are kept on disk, so that after the loss of all processes routers know at once where to send
// requests. Only what routers must know is kept, not each heartbeat.
const runnerPrefix = "runner/"

// storeRunner keeps a runner whose news differs from what the disk has. That one is leaving is kept before it
// is acknowledged: a primary that takes over must not send routers to it again. That one has come can wait.
func (s *Server) storeRunner(ctx context.Context, runner routing.Runner) error {
	if runner.ID == "" || runner.State == routing.RunnerSilent {
		return nil
	}
	if stored, ok := s.storedRunner(runner.ID); ok == (runner.State != routing.RunnerGone) && (!ok || stored.SaysSame(runner)) {
		return nil
	}
	put := func(tx *transaction.Tx) error {
		key := runnerPrefix + runner.ID
		if runner.State != routing.RunnerGone {
			return tx.Put(key, &runner)
		}
		if _, ok := tx.Get(key); ok {
			tx.Delete(key)
		}
		return nil
	}
	if runner.State == routing.RunnerReady {
		s.submitLater(put)
		return nil
	}
	return s.Submit(ctx, put)
}

// storedRunner is a runner as the disk has it, if it does.
func (s *Server) storedRunner(id string) (routing.Runner, bool) {
	return decodeRunner(s.store.Load().Get(runnerPrefix + id))
}

// decodeRunner reads a stored runner, if there is one.
func decodeRunner(raw []byte, found bool) (runner routing.Runner, ok bool) {
	if !found {
		return runner, false
	}
	_, err := runner.UnmarshalMsg(raw)
	return runner, err == nil
}

// storeSilent keeps on disk which runners have fallen silent. Without it a crashed runner would count as ready again
// after the loss of all core processes, until it has been silent once more. Only a ready runner becomes silent there:
// that one is leaving must not be forgotten.
func (s *Server) storeSilent(known []routing.Runner) {
	for _, runner := range known {
		if runner.State != routing.RunnerSilent {
			continue
		}
		if stored, ok := s.storedRunner(runner.ID); !ok || stored.State != routing.RunnerReady {
			continue
		}
		s.submitLater(func(tx *transaction.Tx) error {
			// That it leaves may have been written since.
			stored, ok := decodeRunner(tx.Get(runnerPrefix + runner.ID))
			if !ok || stored.State != routing.RunnerReady {
				return nil
			}
			return tx.Put(runnerPrefix+runner.ID, &runner)
		})
	}
}

// storedRunners are the runners that the disk has.
func (s *Server) storedRunners() []routing.Runner {
	var out []routing.Runner
	s.store.Load().ForEachWithPrefix(runnerPrefix, func(_ string, raw []byte) {
		var runner routing.Runner
		if _, err := runner.UnmarshalMsg(raw); err == nil {
			out = append(out, runner)
		}
	})
	return out
}

// sweepRunners drops the stored runners that the registry has forgotten.
func (s *Server) sweepRunners(known []routing.Runner) {
	named := map[string]bool{}
	for _, runner := range known {
		named[runner.ID] = true
	}
	var old []string
	s.store.Load().ForEachWithPrefix(runnerPrefix, func(key string, _ []byte) {
		if !named[strings.TrimPrefix(key, runnerPrefix)] {
			old = append(old, key)
		}
	})
	s.dropLater(old)
}

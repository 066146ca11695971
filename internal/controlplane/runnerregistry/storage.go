package runnerregistry

import (
	"context"
	"strings"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
)

// runnerPrefix begins the keys of stored runners.
const runnerPrefix = "runner/"

// Storage keeps runners on disk, so that after the loss of all processes routers know at once where to send requests. Only
// what routers must know is stored, not each heartbeat. It holds no state itself: its methods may be called concurrently
// where its functions may.
type Storage struct {
	Committed   func() *store.Store                                         // the committed state
	Submit      func(context.Context, func(tx *transaction.Tx) error) error // changes the state and waits for the commit
	SubmitLater func(func(tx *transaction.Tx) error)                        // changes the state some time, or not at all
}

// Save stores a runner where it differs, in what routers must know, from what the disk has. That one is draining or gone is
// committed before Save returns: a primary that takes over must not send routers to it again. That one has come can wait.
// The error is that of Submit.
func (s Storage) Save(ctx context.Context, runner routing.Runner) error {
	if runner.ID == "" || runner.State == routing.RunnerSilent {
		return nil
	}
	if stored, ok := s.Load(runner.ID); ok == (runner.State != routing.RunnerGone) && (!ok || stored.SaysSame(runner)) {
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
		s.SubmitLater(put)
		return nil
	}
	return s.Submit(ctx, put)
}

// Load reads a runner, and reports whether the disk has it.
func (s Storage) Load(id string) (runner routing.Runner, ok bool) {
	return decodeRunner(s.Committed().Get(runnerPrefix + id))
}

// decodeRunner decodes a stored runner, if one was found.
func decodeRunner(raw []byte, found bool) (runner routing.Runner, ok bool) {
	if !found {
		return runner, false
	}
	_, err := runner.UnmarshalMsg(raw)
	return runner, err == nil
}

// LoadAll reads all runners that the disk has.
func (s Storage) LoadAll() []routing.Runner {
	var runners []routing.Runner
	s.Committed().ForEachWithPrefix(runnerPrefix, func(_ string, raw []byte) {
		if runner, ok := decodeRunner(raw, true); ok {
			runners = append(runners, runner)
		}
	})
	return runners
}

// SaveTimedOut stores, some time later, which of the known runners have timed out. Without it a crashed runner would count
// as ready again after the loss of all core processes, until it timed out once more. Only a ready runner is stored as timed
// out: that one is draining must not be forgotten.
func (s Storage) SaveTimedOut(known []routing.Runner) {
	for _, runner := range known {
		if runner.State != routing.RunnerSilent {
			continue
		}
		if stored, ok := s.Load(runner.ID); !ok || stored.State != routing.RunnerReady {
			continue
		}
		s.SubmitLater(func(tx *transaction.Tx) error {
			// That it is draining may have been written since.
			stored, ok := decodeRunner(tx.Get(runnerPrefix + runner.ID))
			if !ok || stored.State != routing.RunnerReady {
				return nil
			}
			return tx.Put(runnerPrefix+runner.ID, &runner)
		})
	}
}

// DeleteUnknown deletes, some time later, the stored runners that the registry has forgotten.
func (s Storage) DeleteUnknown(known []routing.Runner) {
	isKnown := map[string]bool{}
	for _, runner := range known {
		isKnown[runner.ID] = true
	}
	var forgotten []string
	s.Committed().ForEachWithPrefix(runnerPrefix, func(key string, _ []byte) {
		if !isKnown[strings.TrimPrefix(key, runnerPrefix)] {
			forgotten = append(forgotten, key)
		}
	})
	if len(forgotten) == 0 {
		return
	}
	s.SubmitLater(func(tx *transaction.Tx) error {
		for _, key := range forgotten {
			tx.Delete(key)
		}
		return nil
	})
}

package runnerregistry

import (
	"bytes"
	"context"
	"strings"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
)

// runnerPrefix is the key prefix of stored runners.
const runnerPrefix = "runner/"

// Storage keeps runners on disk, so that routers know where to send requests right after a restart of all processes. It
// stores changes that routers need to know about, not every heartbeat. Storage is stateless: its methods are safe for
// concurrent use if its functions are.
type Storage struct {
	Committed   func() *store.Store                                         // returns the committed state
	Submit      func(context.Context, func(tx *transaction.Tx) error) error // changes the state and waits for the commit
	SubmitLater func(func(tx *transaction.Tx) error)                        // changes the state asynchronously, best effort
}

// Save stores a runner if the disk has another version of it, in what routers need to know. A draining runner, or one that is
// gone, is committed before Save returns, so that a primary that takes over does not direct routers to it again; the record of
// one that is gone stays until the registry has forgotten it, since a late heartbeat may still arrive. A ready runner is stored
// asynchronously. The only errors are those of Submit.
func (s Storage) Save(ctx context.Context, runner routing.Runner) error {
	if runner.ID == "" || runner.State == routing.RunnerTimedOut {
		return nil
	}
	if stored, ok := s.Load(runner.ID); ok && stored.EqualForRouting(runner) {
		return nil
	}
	apply := func(tx *transaction.Tx) error {
		key := runnerPrefix + runner.ID
		if stored, ok := decodeRunner(tx.Get(key)); ok && !supersedes(runner, stored) {
			return nil
		}
		return tx.Put(key, &runner)
	}
	if runner.State == routing.RunnerReady {
		s.SubmitLater(apply)
		return nil
	}
	return s.Submit(ctx, apply)
}

// supersedes reports whether a runner's record replaces the stored one. A record that is stored late, after a newer one, does not.
func supersedes(next, stored routing.Runner) bool {
	return stored.State != routing.RunnerGone && next.Sequence >= stored.Sequence
}

// Load reads a stored runner. ok is false if there is none, or if it cannot be decoded.
func (s Storage) Load(id string) (runner routing.Runner, ok bool) {
	return decodeRunner(s.Committed().Get(runnerPrefix + id))
}

// decodeRunner decodes a stored runner. ok is false if none was found, or if it cannot be decoded.
func decodeRunner(raw []byte, found bool) (runner routing.Runner, ok bool) {
	if !found {
		return runner, false
	}
	_, err := runner.UnmarshalMsg(raw)
	return runner, err == nil
}

// LoadAll reads all stored runners. Those that cannot be decoded are skipped.
func (s Storage) LoadAll() []routing.Runner {
	var runners []routing.Runner
	s.Committed().ForEachWithPrefix(runnerPrefix, func(_ string, raw []byte) {
		if runner, ok := decodeRunner(raw, true); ok {
			runners = append(runners, runner)
		}
	})
	return runners
}

// SaveTimedOut stores asynchronously which of the known runners have timed out. Otherwise, after a restart of all cores, a
// crashed runner would count as ready until it timed out once more. Only runners that are stored as ready are stored as timed
// out: a draining runner has to stay draining.
func (s Storage) SaveTimedOut(known []routing.Runner) {
	for _, runner := range known {
		if runner.State != routing.RunnerTimedOut {
			continue
		}
		if stored, ok := s.Load(runner.ID); !ok || stored.State != routing.RunnerReady {
			continue
		}
		s.SubmitLater(func(tx *transaction.Tx) error {
			// The runner may have been stored as draining since the check above.
			stored, ok := decodeRunner(tx.Get(runnerPrefix + runner.ID))
			if !ok || stored.State != routing.RunnerReady {
				return nil
			}
			return tx.Put(runnerPrefix+runner.ID, &runner)
		})
	}
}

// DeleteUnknown asynchronously deletes the stored runners that are not among the known ones, except those that are stored again
// before the deletion is applied.
func (s Storage) DeleteUnknown(known []routing.Runner) {
	isKnown := map[string]bool{}
	for _, runner := range known {
		isKnown[runner.ID] = true
	}
	var unknown []store.Mutation // the records as they are now
	s.Committed().ForEachWithPrefix(runnerPrefix, func(key string, record []byte) {
		if !isKnown[strings.TrimPrefix(key, runnerPrefix)] {
			unknown = append(unknown, store.Mutation{Key: key, Value: bytes.Clone(record)})
		}
	})
	if len(unknown) == 0 {
		return
	}
	s.SubmitLater(func(tx *transaction.Tx) error {
		for _, seen := range unknown {
			if record, ok := tx.Get(seen.Key); ok && bytes.Equal(record, seen.Value) {
				tx.Delete(seen.Key)
			}
		}
		return nil
	})
}

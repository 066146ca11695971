package core

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// copyAll brings backups to exactly our state, those that are not there yet, and tells which are.
func (s *Server) copyAll(v view.View, ids []string) []string {
	var todo []string
	for _, id := range ids {
		if v.IsBackup(id) && faultinjection.Disabled("copy-first") {
			s.copiedTo[id] = true
		}
		if !s.copiedTo[id] {
			todo = append(todo, id)
		}
	}
	if len(todo) > 0 {
		whole := s.store.Load().Snapshot()
		s.snapshots++
		failed := callAll(todo, func(id string) bool { return s.copyTo(v, id, whole, s.snapshots) })
		for _, id := range todo {
			s.copiedTo[id] = true
		}
		s.noteFailed(failed)
	}
	var out []string
	for _, id := range ids {
		if s.copiedTo[id] {
			out = append(out, id)
		}
	}
	return out
}

// callAll calls do for all identities at once and tells for which it was false.
func callAll(ids []string, do func(id string) bool) []string {
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed []string
	for _, id := range ids {
		all.Go(func() {
			if !do(id) {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, id)
			}
		})
	}
	all.Wait()
	return failed
}

// noteFailed notes backups that do not hold what we hold.
func (s *Server) noteFailed(ids []string) {
	for _, id := range ids {
		delete(s.copiedTo, id)
		s.failedAt[id] = time.Now()
	}
}

// copyTo sends our whole state to one backup, in parts.
func (s *Server) copyTo(v view.View, id string, whole store.Batch, snapshot uint64) bool {
	request := SnapshotRequest{View: v, Primary: s.acceptor.ID(), Snapshot: snapshot, Version: whole.Version}
	size := 0
	send := func() bool {
		err := s.callBackup(s.ctx, v, id, "core.copy", &request, snapshotTimeout)
		if err != nil {
			s.ctx.Log.Warn("Copy to backup failed.", "peer", v.Addr(id), "error", err.Error())
		}
		request.Chunk++
		request.Mutations, size = nil, 0
		return err == nil
	}
	for _, put := range whole.Mutations {
		request.Mutations = append(request.Mutations, put)
		if size += len(put.Key) + len(put.Value); size > maxBatchBytes && !send() {
			return false
		}
	}
	request.Last = true
	return send()
}

// replicate has every backup of the view store a batch, and tells which did not.
func (s *Server) replicate(v view.View, batch store.Batch) []string {
	request := &ReplicateRequest{View: v, Primary: v.Primary, Batch: batch}
	askAfter := suspectAfter + sendTime(batch)
	return callAll(v.Backups(), func(id string) bool {
		err := s.replicateTo(v, id, request, askAfter)
		if err != nil {
			s.ctx.Log.Warn("Backup did not hold a write.", "peer", v.Addr(id), "error", err.Error())
		}
		return err == nil
	})
}

// replicateTo has one backup store a batch. All writes wait for it meanwhile, so one that does not even give a sign
// of life, for which it is asked after a while, is let go sooner than one whose disk is slow.
func (s *Server) replicateTo(v view.View, id string, request *ReplicateRequest, askAfter time.Duration) error {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	suspect := time.AfterFunc(askAfter, func() {
		if !s.isAlive(ctx, v.Addr(id)) {
			cancel(errBackupSilent)
		}
	})
	defer suspect.Stop()
	err := s.callBackup(ctx, v, id, "core.hold", request, replicateTimeout)
	if err != nil && context.Cause(ctx) != nil {
		return eris.Wrap(context.Cause(ctx), err.Error())
	}
	return err
}

// sendTime is how long a batch may be on its way alone, at 1 MiB a second: a question to the backup goes behind it.
func sendTime(batch store.Batch) time.Duration {
	size := 0
	for _, put := range batch.Mutations {
		size += len(put.Key) + len(put.Value)
	}
	return time.Duration(size) * time.Second / (1 << 20)
}

// errBackupSilent ends the wait for a backup that gives no sign of life.
var errBackupSilent = eris.New("no sign of life")

// isAlive reports whether the process at an address gives a sign of life.
func (s *Server) isAlive(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, signOfLifeTimeout)
	defer cancel()
	_, err := s.statusOf(ctx, addr)
	return err == nil
}

// callBackup asks a backup to store something. Another process at its address has no say for it.
func (s *Server) callBackup(ctx context.Context, v view.View, id, kind string, request msgp.Marshaler, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response ReplicateResponse
	err := s.call(ctx, v.Addr(id), kind, request, &response)
	if err == nil && response.ID != id {
		err = eris.Errorf("identity %s, %s expected", response.ID, id)
	}
	return err
}

// Package replication copies the primary's state to its backups: each committed batch, and snapshots of the whole state to
// members that become backups. Replicator is the primary's side, Backup the other one. Which members are backups is the
// caller's choice, and that of the view.
package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
)

// How long backups may take. A client's write waits for all of them.
const (
	snapshotTimeout  = 2 * time.Second        // for one chunk of a snapshot
	replicateTimeout = 600 * time.Millisecond // for a batch; a backup that is slower is replaced
	suspectAfter     = 100 * time.Millisecond // a backup that has not stored a batch by then is pinged
	pingTimeout      = 150 * time.Millisecond // and replaced if it does not answer within this
)

const (
	maxChunkBytes         = 1 << 20 // state in one SnapshotRequest
	assumedBytesPerSecond = 1 << 20 // of the slowest link to a backup
)

// errBackupSilent ends the wait for a backup that does not answer a ping.
var errBackupSilent = errors.New("replication: no answer to ping")

// Replicator is the primary's side. The run loop's goroutine owns it; only Replicate may run in another one, while the run
// loop waits for it.
type Replicator struct {
	ctx    daemon.Context
	id     func() string // of this process
	call   paxos.CallFunc
	inSync map[string]bool // the backups that have all we have, in this run

	snapshots uint64               // begun so far
	failedAt  map[string]time.Time // members that lately failed as backup
}

// NewReplicator makes a replicator for the process with an identity. Its requests end with ctx.
func NewReplicator(ctx daemon.Context, id func() string, call paxos.CallFunc) *Replicator {
	return &Replicator{ctx: ctx, id: id, call: call, inSync: map[string]bool{}, failedAt: map[string]time.Time{}}
}

// IsInSync reports whether a member is known to have all we have.
func (r *Replicator) IsInSync(id string) bool { return r.inSync[id] }

// MarkOutOfSync has members get a snapshot before they count as in sync again.
func (r *Replicator) MarkOutOfSync(ids []string) {
	for _, id := range ids {
		delete(r.inSync, id)
	}
}

// Reset has all members get a snapshot before they count as in sync again: another process may have led since.
func (r *Replicator) Reset() { clear(r.inSync) }

// RecordFailures records that members failed as backups, and do not have all we have.
func (r *Replicator) RecordFailures(ids []string) {
	for _, id := range ids {
		delete(r.inSync, id)
		r.failedAt[id] = time.Now()
	}
}

// HasFailedWithin reports whether a member failed as backup within the span.
func (r *Replicator) HasFailedWithin(id string, span time.Duration) bool {
	return time.Since(r.failedAt[id]) < span
}

// SendSnapshots brings those of the members that are out of sync to exactly the state of a store, and returns the members
// that are in sync then.
func (r *Replicator) SendSnapshots(v view.View, ids []string, state *store.Store) []string {
	var outOfSync []string
	for _, id := range ids {
		if v.IsBackup(id) && faultinjection.Disabled("copy-first") {
			r.inSync[id] = true
		}
		if !r.inSync[id] {
			outOfSync = append(outOfSync, id)
		}
	}
	if len(outOfSync) > 0 {
		snapshot := state.Snapshot()
		r.snapshots++
		failed := forAll(outOfSync, func(id string) bool { return r.sendSnapshot(v, id, snapshot, r.snapshots) })
		for _, id := range outOfSync {
			r.inSync[id] = true
		}
		r.RecordFailures(failed)
	}
	var inSync []string
	for _, id := range ids {
		if r.inSync[id] {
			inSync = append(inSync, id)
		}
	}
	return inSync
}

// forAll calls do for all identities at once, and returns those for which it was false.
func forAll(ids []string, do func(id string) bool) []string {
	var mu sync.Mutex
	var pending sync.WaitGroup
	var failed []string
	for _, id := range ids {
		pending.Go(func() {
			if !do(id) {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, id)
			}
		})
	}
	pending.Wait()
	return failed
}

// sendSnapshot sends the whole state to one member, in chunks, and reports whether it stored them.
func (r *Replicator) sendSnapshot(v view.View, id string, snapshot store.Batch, number uint64) bool {
	request := SnapshotRequest{View: v, Primary: r.id(), Snapshot: number, Version: snapshot.Version}
	size := 0
	send := func() bool {
		err := r.callBackup(r.ctx, v, id, "core.copy", &request, snapshotTimeout)
		if err != nil {
			r.ctx.Log.Warn("Snapshot to backup failed.", "peer", v.Addr(id), "error", err.Error())
		}
		request.Chunk++
		request.Mutations, size = nil, 0
		return err == nil
	}
	for _, mutation := range snapshot.Mutations {
		request.Mutations = append(request.Mutations, mutation)
		if size += len(mutation.Key) + len(mutation.Value); size > maxChunkBytes && !send() {
			return false
		}
	}
	request.Last = true
	return send()
}

// Replicate has every backup of the view store a batch, and returns those that did not.
func (r *Replicator) Replicate(v view.View, batch store.Batch) []string {
	request := &ReplicateRequest{View: v, Primary: v.Primary, Batch: batch}
	pingAfter := suspectAfter + sendTime(batch)
	return forAll(v.Backups(), func(id string) bool {
		err := r.replicateTo(v, id, request, pingAfter)
		if err != nil {
			r.ctx.Log.Warn("Backup did not store a batch.", "peer", v.Addr(id), "error", err.Error())
		}
		return err == nil
	})
}

// replicateTo has one backup store a batch. All writes wait for it meanwhile, so one that does not even answer a ping is
// given up sooner than one whose disk is slow.
func (r *Replicator) replicateTo(v view.View, id string, request *ReplicateRequest, pingAfter time.Duration) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	ping := time.AfterFunc(pingAfter, func() {
		if !r.isAlive(ctx, v.Addr(id)) {
			cancel(errBackupSilent)
		}
	})
	defer ping.Stop()
	err := r.callBackup(ctx, v, id, "core.hold", request, replicateTimeout)
	if err != nil && context.Cause(ctx) != nil {
		return eris.Wrap(context.Cause(ctx), err.Error())
	}
	return err
}

// sendTime is how long a batch may take to be sent: a ping to the backup waits behind it.
func sendTime(batch store.Batch) time.Duration {
	size := 0
	for _, mutation := range batch.Mutations {
		size += len(mutation.Key) + len(mutation.Value)
	}
	return time.Duration(size) * time.Second / assumedBytesPerSecond
}

// isAlive reports whether the process at an address answers a ping.
func (r *Replicator) isAlive(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := paxos.QueryStatus(ctx, r.call, addr)
	return err == nil
}

// callBackup asks a backup to store something. Another process at its address may not answer for it.
func (r *Replicator) callBackup(ctx context.Context, v view.View, id, kind string, request msgp.Marshaler, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response ReplicateResponse
	err := r.call(ctx, v.Addr(id), kind, request, &response)
	if err == nil && response.ID != id && !faultinjection.Disabled("backup-identity") {
		err = eris.Errorf("replication: got identity %s, want %s", response.ID, id)
	}
	return err
}

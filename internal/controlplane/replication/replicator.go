// Package replication copies the primary's state to its backups: each batch to the backups of the view, and snapshots of the
// whole state to members that are to become backups. Replicator is the primary's side, Backup the receiving side. The caller
// chooses the members that become backups.
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

// Timeouts of requests to backups. A client's write waits for all backups of the view.
const (
	snapshotTimeout  = 2 * time.Second        // for one chunk of a snapshot
	replicateTimeout = 600 * time.Millisecond // for a batch; a slower backup is replaced
	basePingDelay    = 100 * time.Millisecond // a backup that has not stored a batch after this and sendTime is pinged
	pingTimeout      = 150 * time.Millisecond // for the ping; a backup that does not answer it is replaced
)

const (
	snapshotChunkBytes    = 1 << 20 // a SnapshotRequest is sent once its mutations exceed this size
	assumedBytesPerSecond = 1 << 20 // over the slowest link to a backup
)

// errPingFailed is the cause with which a request to a backup is canceled if the backup does not answer a ping.
var errPingFailed = errors.New("replication: backup did not answer a ping")

// Replicator is the primary's side of replication. Only the goroutine of the run loop may call its methods, except for
// Replicate, which uses no mutable field.
type Replicator struct {
	ctx    daemon.Context
	id     func() string // identity of this process
	call   paxos.CallFunc
	inSync map[string]bool // members known to have the whole state of this process

	lastSnapshot uint64               // number of the last snapshot begun; from 1
	failedAt     map[string]time.Time // when a member last failed as a backup
}

// NewReplicator returns a replicator for the process whose identity id returns. Its requests are canceled when ctx ends.
func NewReplicator(ctx daemon.Context, id func() string, call paxos.CallFunc) *Replicator {
	return &Replicator{ctx: ctx, id: id, call: call, inSync: map[string]bool{}, failedAt: map[string]time.Time{}}
}

// IsInSync reports whether a member is known to have the whole state of this process.
func (r *Replicator) IsInSync(id string) bool { return r.inSync[id] }

// MarkOutOfSync makes members count as out of sync until they have stored a snapshot.
func (r *Replicator) MarkOutOfSync(ids []string) {
	for _, id := range ids {
		delete(r.inSync, id)
	}
}

// Reset marks all members as out of sync, since another process may have been primary in the meantime.
func (r *Replicator) Reset() { clear(r.inSync) }

// RecordFailures records that members failed as backups, and marks them as out of sync.
func (r *Replicator) RecordFailures(ids []string) {
	for _, id := range ids {
		delete(r.inSync, id)
		r.failedAt[id] = time.Now()
	}
}

// HasFailedWithin reports whether a member has failed as a backup less than span ago.
func (r *Replicator) HasFailedWithin(id string, span time.Duration) bool {
	return time.Since(r.failedAt[id]) < span
}

// SendSnapshots sends a snapshot of a store to those of the members that are out of sync; it replaces their whole state.
// SendSnapshots returns the members that are in sync afterwards.
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
		r.lastSnapshot++
		failed := forAll(outOfSync, func(id string) bool { return r.sendSnapshot(v, id, snapshot, r.lastSnapshot) })
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

// forAll calls do for all identities concurrently, and returns those for which it returned false.
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

// sendSnapshot sends a snapshot to one member, in chunks, and reports whether the member stored it.
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
		if size += len(mutation.Key) + len(mutation.Value); size > snapshotChunkBytes && !send() {
			return false
		}
	}
	request.Last = true
	return send()
}

// Replicate sends a batch to all backups of the view, and returns those that did not store it.
func (r *Replicator) Replicate(v view.View, batch store.Batch) []string {
	request := &ReplicateRequest{View: v, Primary: v.Primary, Batch: batch}
	pingDelay := basePingDelay + sendTime(batch)
	return forAll(v.Backups(), func(id string) bool {
		err := r.replicateTo(v, id, request, pingDelay)
		if err != nil {
			r.ctx.Log.Warn("Backup did not store a batch.", "peer", v.Addr(id), "error", err.Error())
		}
		return err == nil
	})
}

// replicateTo sends a batch to one backup and waits until the backup has stored it. All writes wait meanwhile, so the timeout
// is shorter for a backup that does not answer a ping than for one whose disk is slow.
func (r *Replicator) replicateTo(v view.View, id string, request *ReplicateRequest, pingDelay time.Duration) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	ping := time.AfterFunc(pingDelay, func() {
		if !r.isAlive(ctx, v.Addr(id)) {
			cancel(errPingFailed)
		}
	})
	defer ping.Stop()
	err := r.callBackup(ctx, v, id, "core.hold", request, replicateTimeout)
	if err != nil && context.Cause(ctx) != nil {
		return eris.Wrap(context.Cause(ctx), err.Error())
	}
	return err
}

// sendTime returns how long the sending of a batch may take. A ping to the backup is queued behind the batch.
func sendTime(batch store.Batch) time.Duration {
	size := 0
	for _, mutation := range batch.Mutations {
		size += len(mutation.Key) + len(mutation.Value)
	}
	return time.Duration(size) * time.Second / assumedBytesPerSecond
}

// isAlive reports whether the process at an address answers a ping within pingTimeout.
func (r *Replicator) isAlive(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := paxos.QueryStatus(ctx, r.call, addr)
	return err == nil
}

// callBackup sends a request to a backup. It returns an error if a process with another identity answers at its address.
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

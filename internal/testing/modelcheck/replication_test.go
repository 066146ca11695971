package modelcheck

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/wire"
)

// replicationBounds limits the events in one execution of replication.
type replicationBounds struct {
	writes          int
	parts           int  // chunks of each snapshot, 1 or 2
	givenUp         int  // calls that the primary abandons: they may arrive at any time, or never
	doubled         int  // messages that arrive twice
	primaryRestarts int  // each starts an epoch
	backupRestarts  int  // each loses the messages in flight to the old run
	backups         int  // 0 means 1
	sameEpoch       bool // injected fault: a restarted primary continues in the epoch of its last run
}

// The processes of an execution. The primary is a model that sends calls as package core does; the backups are real.
const (
	primaryID = "primary"
	backupID  = "backup"
)

// replicationCall is one message to a backup.
type replicationCall struct {
	name           string
	kind           string
	body           msgp.Marshaler
	lastOfSnapshot bool // the last chunk of a snapshot
}

// backupReplica is one backup, with the primary's record of its state and of the calls sent to it.
type backupReplica struct {
	index    int
	disk     *sim.Disk
	backup   *core.Server
	received []string // names of the calls that this run of the backup has received, in order

	inSync      bool   // the primary considers the backup's copy complete
	wasInSync   bool   // it has been in sync at some time
	snapshot    uint64 // the number of the latest snapshot sent to it
	nextChunk   int
	outstanding *replicationCall
	abandoned   []*replicationCall // calls in flight that the primary no longer waits for
}

// replicationExecution is one execution: a primary that copies its state and replicates writes, its backups, and a
// scheduler between them.
type replicationExecution struct {
	bounds   replicationBounds
	ctx      context.Context
	replicas []*backupReplica

	view         view.View
	values       []string // the writes on the primary's disk, by sequence number
	acknowledged []string // acknowledged writes, which must not be lost
	writeCount   int      // number of writes ever made
	snapshots    uint64   // number of snapshots started in this run of the primary
}

// address is where a process of an execution would listen; index 0 is the primary.
func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

// newReplication starts an execution: the primary has one write, the backups have none.
func newReplication(ctx context.Context, t *testing.T, bounds replicationBounds) *replicationExecution {
	r := &replicationExecution{bounds: bounds, ctx: ctx, values: []string{"first"}, acknowledged: []string{"first"}}
	members := []view.Member{{ID: primaryID, Addr: address(0)}}
	var ids []string
	for index := range max(1, bounds.backups) {
		id := fmt.Sprint(backupID, index)
		ids = append(ids, id)
		members = append(members, view.Member{ID: id, Addr: address(index + 1)})
		r.replicas = append(r.replicas, &backupReplica{index: index, disk: newVoterDisk(t, id)})
	}
	r.view = view.View{Epoch: 1, Primary: primaryID, Members: members}.WithBackups(ids)
	for _, replica := range r.replicas {
		r.startBackup(t, replica)
	}
	return r
}

// startBackup opens a backup from its disk. Its run loop is not started: it only answers calls.
func (r *replicationExecution) startBackup(t *testing.T, replica *backupReplica) {
	daemonContext := daemon.Context{Context: r.ctx, Name: fmt.Sprint(backupID, replica.index), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
	backup, err := core.Open(daemonContext, core.Settings{Addr: address(replica.index + 1)}, replica.disk.Open())
	if err != nil {
		t.Fatal(err)
	}
	replica.backup, replica.received = backup, nil
}

// The moves of an execution. Moves of one backup are prefixed with its index.
const (
	sendWrite                 = "write"
	sendSnapshot              = "send"
	deliverCall               = "deliver"
	abandonOutstanding        = "give up"
	restartPrimary            = "restart the primary"
	restartPrimaryWithoutLast = "restart the primary, its last write lost" // the write had not reached its disk yet
	restartBackup             = "restart the backup"
	deliverAbandoned          = "stray "
	deliverAbandonedTwice     = "stray, and once more later: "
)

// moves lists the possible next moves in a fixed order.
func (r *replicationExecution) moves() []string {
	var moves []string
	if r.isInSync() && r.bounds.writes > 0 {
		moves = append(moves, sendWrite)
	}
	for _, replica := range r.replicas {
		for _, move := range r.replicaMoves(replica) {
			moves = append(moves, fmt.Sprint(replica.index, " ", move))
		}
	}
	if r.bounds.primaryRestarts > 0 {
		moves = append(moves, restartPrimary)
		if len(r.values) > len(r.acknowledged) {
			moves = append(moves, restartPrimaryWithoutLast)
		}
	}
	return moves
}

// replicaMoves lists the possible next moves of one backup.
func (r *replicationExecution) replicaMoves(replica *backupReplica) []string {
	var moves []string
	switch {
	case replica.outstanding != nil:
		moves = append(moves, deliverCall)
		if r.bounds.givenUp > 0 {
			moves = append(moves, abandonOutstanding)
		}
	case !replica.inSync:
		moves = append(moves, sendSnapshot)
	}
	for _, call := range replica.abandoned {
		moves = append(moves, deliverAbandoned+call.name)
		if r.bounds.doubled > 0 {
			moves = append(moves, deliverAbandonedTwice+call.name)
		}
	}
	if r.bounds.backupRestarts > 0 {
		moves = append(moves, restartBackup)
	}
	return moves
}

// isInSync reports whether the primary considers all backups' copies complete and has no outstanding call.
func (r *replicationExecution) isInSync() bool {
	return !slices.ContainsFunc(r.replicas, func(replica *backupReplica) bool { return !replica.inSync || replica.outstanding != nil })
}

// apply makes one move.
func (r *replicationExecution) apply(t *testing.T, move string) {
	switch move {
	case sendWrite:
		r.write()
		return
	case restartPrimary, restartPrimaryWithoutLast:
		r.bounds.primaryRestarts--
		r.restartPrimary(move == restartPrimaryWithoutLast)
		return
	}
	number, move, _ := strings.Cut(move, " ")
	index, err := strconv.Atoi(number)
	if err != nil {
		t.Fatal(err)
	}
	r.applyToReplica(t, r.replicas[index], move)
}

// applyToReplica makes one move of a backup.
func (r *replicationExecution) applyToReplica(t *testing.T, replica *backupReplica, move string) {
	switch move {
	case sendSnapshot:
		r.sendSnapshot(replica)
	case deliverCall:
		call := replica.outstanding
		replica.outstanding = nil
		r.handleAnswer(replica, call, r.deliver(t, replica, call))
	case abandonOutstanding:
		r.bounds.givenUp--
		replica.abandonCall()
	case restartBackup:
		r.bounds.backupRestarts--
		replica.outstanding, replica.abandoned, replica.inSync = nil, nil, false
		r.startBackup(t, replica)
	default:
		r.deliverAbandonedCall(t, replica, move)
	}
}

// write has the primary make a write and send it to all backups.
func (r *replicationExecution) write() {
	r.bounds.writes--
	r.writeCount++
	r.values = append(r.values, fmt.Sprint("write ", r.writeCount))
	batch := store.Batch{Version: uint64(len(r.values)), Mutations: r.mutations(len(r.values)-1, len(r.values))}
	for _, replica := range r.replicas {
		replica.outstanding = &replicationCall{name: r.values[len(r.values)-1], kind: "core.hold",
			body: &replication.ReplicateRequest{View: r.view, Primary: primaryID, Batch: batch}}
	}
}

// sendSnapshot has the primary send a backup the next chunk of a snapshot.
func (r *replicationExecution) sendSnapshot(replica *backupReplica) {
	if replica.nextChunk == 0 {
		r.snapshots++
		replica.snapshot = r.snapshots
	}
	request := &replication.SnapshotRequest{View: r.view, Primary: primaryID, Snapshot: replica.snapshot, Version: uint64(len(r.values)), Chunk: replica.nextChunk}
	switch {
	case r.bounds.parts == 1:
		request.Last, request.Mutations = true, r.mutations(0, len(r.values))
	case replica.nextChunk == 0:
		request.Mutations = r.mutations(0, 1)
	default:
		request.Last, request.Mutations = true, r.mutations(1, len(r.values))
	}
	replica.outstanding = &replicationCall{name: fmt.Sprintf("snapshot %d.%d part %d of %d writes", r.view.Epoch, replica.snapshot, replica.nextChunk, len(r.values)),
		kind: "core.copy", body: request, lastOfSnapshot: request.Last}
	replica.nextChunk = (replica.nextChunk + 1) % r.bounds.parts
}

// mutations returns the primary's writes of an index range, as its store holds them.
func (r *replicationExecution) mutations(from, to int) []store.Mutation {
	var mutations []store.Mutation
	for i := from; i < to; i++ {
		mutations = append(mutations, store.Mutation{Key: writeKey(i), Value: []byte(r.values[i])})
	}
	return mutations
}

func writeKey(index int) string { return fmt.Sprint("write/", index) }

// deliver passes a call to a backup, and reports whether the backup accepted it.
func (r *replicationExecution) deliver(t *testing.T, replica *backupReplica, call *replicationCall) bool {
	raw, err := call.body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	replica.received = append(replica.received, call.name)
	_, err = replica.backup.Handle(r.ctx, call.kind, raw)
	synctest.Wait() // the backup may be compacting its files
	return err == nil
}

// handleAnswer has the primary handle the answer to its call. Once all backups are in sync, the primary's writes are
// acknowledged.
func (r *replicationExecution) handleAnswer(replica *backupReplica, call *replicationCall, accepted bool) {
	if !accepted {
		replica.inSync, replica.nextChunk = false, 0
		return
	}
	if call.lastOfSnapshot {
		replica.inSync, replica.wasInSync = true, true
	}
	if r.isInSync() {
		r.acknowledged = slices.Clone(r.values)
	}
}

// abandonCall has the primary stop waiting for its outstanding call, which stays in flight.
func (replica *backupReplica) abandonCall() {
	if replica.outstanding != nil {
		replica.abandoned = append(replica.abandoned, replica.outstanding)
	}
	replica.outstanding, replica.inSync, replica.nextChunk = nil, false, 0
}

// restartPrimary ends the primary's run and starts another in a new epoch. Its last write may be missing on its disk.
func (r *replicationExecution) restartPrimary(withoutLast bool) {
	for _, replica := range r.replicas {
		replica.abandonCall()
	}
	if withoutLast {
		r.values = r.values[:len(r.values)-1]
	}
	r.snapshots = 0
	if !r.bounds.sameEpoch {
		r.view.Epoch++
	}
}

// deliverAbandonedCall delivers a call that the primary no longer waits for. A duplicate of it may stay in flight.
func (r *replicationExecution) deliverAbandonedCall(t *testing.T, replica *backupReplica, move string) {
	name, twice := strings.CutPrefix(move, deliverAbandonedTwice)
	if !twice {
		name = strings.TrimPrefix(move, deliverAbandoned)
	}
	i := slices.IndexFunc(replica.abandoned, func(call *replicationCall) bool { return call.name == name })
	call := replica.abandoned[i]
	if twice {
		r.bounds.doubled--
	} else {
		replica.abandoned = slices.Delete(slices.Clone(replica.abandoned), i, i+1)
	}
	r.deliver(t, replica, call)
}

// readWrites reads the writes from a backup's disk. It ends the execution.
func (replica *backupReplica) readWrites(t *testing.T) (sequence uint64, values map[string]string) {
	opened, err := store.Open(replica.disk.Open(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	values = map[string]string{}
	opened.ForEachWithPrefix("write/", func(key string, raw []byte) { values[key] = string(raw) })
	return opened.Version(), values
}

// expectedWrites returns the primary's writes by their keys.
func (r *replicationExecution) expectedWrites() map[string]string {
	writes := map[string]string{}
	for i, value := range r.values {
		writes[writeKey(i)] = value
	}
	return writes
}

// findViolation describes an acknowledged write that a backup has lost after it was in sync, or a copy that the primary
// considers complete although it differs from the primary's state.
func (r *replicationExecution) findViolation(replica *backupReplica, sequence uint64, values map[string]string) string {
	if replica.inSync && replica.outstanding == nil && (int(sequence) != len(r.values) || !maps.Equal(values, r.expectedWrites())) {
		return fmt.Sprintf("the primary counts the copy of backup %d as whole and is at %q, the backup is at %d with %v", replica.index, r.values, sequence, values)
	}
	for i, value := range r.acknowledged {
		if replica.wasInSync && values[writeKey(i)] != value {
			return fmt.Sprintf("%q was acknowledged, backup %d holds %q in its place", value, replica.index, values[writeKey(i)])
		}
	}
	return ""
}

// check reads the state of each backup. It returns the first violation, or "", and a description of everything that the
// rest of the execution depends on; executions that differ only in the order of the backups have the same description. It
// ends the execution.
func (r *replicationExecution) check(t *testing.T) (violation, state string) {
	var replicas []string
	for _, replica := range r.replicas {
		sequence, values := replica.readWrites(t)
		if violation := r.findViolation(replica, sequence, values); violation != "" {
			return violation, ""
		}
		replicas = append(replicas, replica.fingerprint(sequence, values))
	}
	slices.Sort(replicas)
	return "", fmt.Sprint(r.bounds, r.view.Epoch, r.values, r.acknowledged, r.writeCount, r.snapshots, replicas)
}

// fingerprint describes one backup and the messages in flight to it.
func (replica *backupReplica) fingerprint(sequence uint64, values map[string]string) string {
	var state strings.Builder
	fmt.Fprint(&state, replica.inSync, replica.wasInSync, replica.snapshot, replica.nextChunk, sequence)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprint(&state, "|", key, values[key])
	}
	if replica.outstanding != nil {
		fmt.Fprint(&state, "|outstanding ", replica.outstanding.name)
	}
	for _, call := range replica.abandoned {
		fmt.Fprint(&state, "|stray ", call.name)
	}
	fmt.Fprint(&state, "|took ", strings.Join(replica.received, ", "))
	return state.String()
}

// replicationExploration visits all executions of replication within bounds, and prunes those that reach a state that was
// seen before.
type replicationExploration struct {
	bounds          replicationBounds
	seen            map[string]bool
	executions      int
	maxAcknowledged int      // writes acknowledged in one execution
	counterexample  []string // the moves of the execution that shows the violation
	violation       string
}

// explore runs the execution of the given moves, and then all its continuations.
func (e *replicationExploration) explore(ctx context.Context, t *testing.T, moves []string) {
	if e.violation != "" {
		return
	}
	r := newReplication(ctx, t, e.bounds)
	for _, move := range moves {
		r.apply(t, move)
	}
	e.executions++
	e.maxAcknowledged = max(e.maxAcknowledged, len(r.acknowledged))
	next := r.moves()
	var state string
	if e.violation, state = r.check(t); e.violation != "" {
		e.counterexample = moves
		return
	}
	if e.seen[state] {
		return
	}
	e.seen[state] = true
	for _, move := range next {
		e.explore(ctx, t, append(slices.Clone(moves), move))
	}
}

// exploreReplication explores all executions of replication within bounds.
func exploreReplication(t *testing.T, bounds replicationBounds) *replicationExploration {
	e := &replicationExploration{bounds: bounds, seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e.explore(ctx, t, nil)
	})
	return e
}

// TestEveryCourseOfReplication explores every order in which a primary's calls arrive at its backups, including late calls
// and those of its earlier runs: no backup may lose an acknowledged write.
func TestEveryCourseOfReplication(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	for _, bounds := range []replicationBounds{
		{writes: 2, parts: 2, givenUp: 2, doubled: 1},
		{writes: 2, parts: 1, givenUp: 2, primaryRestarts: 1},
		{writes: 2, parts: 2, givenUp: 1, primaryRestarts: 1, backupRestarts: 1},
		{backups: 2, writes: 2, parts: 1, givenUp: 1, primaryRestarts: 1},
		{backups: 2, writes: 1, parts: 1, givenUp: 1, primaryRestarts: 1, backupRestarts: 1},
		{backups: 2, writes: 1, parts: 1, givenUp: 2, doubled: 1},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			t.Parallel()
			e := exploreReplication(t, bounds)
			if e.violation != "" {
				t.Errorf("%s after %q", e.violation, e.counterexample)
			}
			if e.maxAcknowledged != bounds.writes+1 {
				t.Errorf("%d writes were acknowledged at most, %d expected", e.maxAcknowledged, bounds.writes+1)
			}
			t.Logf("%d states, %d courses", len(e.seen), e.executions)
		})
	}
}

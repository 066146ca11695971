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

// replicationBounds are how much one course of replication may hold.
type replicationBounds struct {
	writes          int
	parts           int  // of each snapshot, 1 or 2
	givenUp         int  // calls that the primary waits for no longer: they may arrive at any time, or never
	doubled         int  // messages that arrive twice
	primaryRestarts int  // each begins an epoch
	backupRestarts  int  // what is on its way to the old run is lost
	backups         int  // 0: one
	sameEpoch       bool // planted: a restarted primary leads on in the epoch of its last run
}

// The processes of a course. The primary is played as package core sends; the backups are real ones.
const (
	primaryID = "primary"
	backupID  = "backup"
)

// replicationCall is one message to a backup.
type replicationCall struct {
	name           string
	kind           string
	body           msgp.Marshaler
	lastOfSnapshot bool // of a snapshot
}

// replicaCourse is one backup, and what the primary knows of it and has sent it.
type backupReplica struct {
	index    int
	disk     *sim.Disk
	backup   *core.Server
	received []string // what this run of the backup has been sent, in order

	inSync      bool   // the primary counts the backup's copy as whole
	wasInSync   bool   // it has done so before
	snapshot    uint64 // the number of the snapshot that it is sent
	nextChunk   int
	outstanding *replicationCall
	abandoned   []*replicationCall // calls that the primary waits for no longer
}

// replicationCourse is one course: a primary that copies its state and replicates writes, its backups, and a scheduler in
// between.
type replicationExecution struct {
	bounds   replicationBounds
	ctx      context.Context
	replicas []*backupReplica

	view         view.View
	values       []string // what the primary's disk holds: the write of each sequence number
	acknowledged []string // the writes that were acknowledged, as they must stay
	writeCount   int      // writes ever made
	snapshots    uint64   // begun in this run of the primary
}

// address is where a process of a course would listen: the primary is the first.
func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

// newReplication begins a course: the primary holds one write, the backups nothing.
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

// startBackup opens a backup from its disk. Its run loop rests: it only answers calls.
func (r *replicationExecution) startBackup(t *testing.T, replica *backupReplica) {
	daemonContext := daemon.Context{Context: r.ctx, Name: fmt.Sprint(backupID, replica.index), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
	backup, err := core.Open(daemonContext, core.Settings{Addr: address(replica.index + 1)}, replica.disk.Use())
	if err != nil {
		t.Fatal(err)
	}
	replica.backup, replica.received = backup, nil
}

// The moves of a course. Those that concern one backup begin with its index.
const (
	sendWrite                 = "write"
	sendSnapshot              = "send"
	deliverCall               = "deliver"
	abandonOutstanding        = "give up"
	restartPrimary            = "restart the primary"
	restartPrimaryWithoutLast = "restart the primary, its last write lost" // it was not on its disk yet
	restartBackup             = "restart the backup"
	deliverAbandoned          = "stray "
	deliverAbandonedTwice     = "stray, and once more later: "
)

// moves lists what may happen next, in a fixed order.
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

// movesOf lists what may happen next to one backup.
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
	for _, stray := range replica.abandoned {
		moves = append(moves, deliverAbandoned+stray.name)
		if r.bounds.doubled > 0 {
			moves = append(moves, deliverAbandonedTwice+stray.name)
		}
	}
	if r.bounds.backupRestarts > 0 {
		moves = append(moves, restartBackup)
	}
	return moves
}

// isInSync reports whether the primary counts all backups' copies as whole, and waits for no call.
func (r *replicationExecution) isInSync() bool {
	return !slices.ContainsFunc(r.replicas, func(replica *backupReplica) bool { return !replica.inSync || replica.outstanding != nil })
}

// take makes one move.
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

// takeOf makes one move of a backup.
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

// write has the primary make a write, and send it to all backups.
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

// sendSnapshot has the primary send a backup the next part of a snapshot.
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

// puts are the primary's writes from one index to another, as its store holds them.
func (r *replicationExecution) mutations(from, to int) []store.Mutation {
	var mutations []store.Mutation
	for i := from; i < to; i++ {
		mutations = append(mutations, store.Mutation{Key: writeKey(i), Value: []byte(r.values[i])})
	}
	return mutations
}

func writeKey(index int) string { return fmt.Sprint("write/", index) }

// deliver has a backup take a call, and reports whether it did.
func (r *replicationExecution) deliver(t *testing.T, replica *backupReplica, call *replicationCall) bool {
	raw, err := call.body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	replica.received = append(replica.received, call.name)
	_, err = replica.backup.Handle(r.ctx, call.kind, raw)
	synctest.Wait() // the backup may fold its files
	return err == nil
}

// hear has the primary take the answer to its call. Once all backups hold what it holds, that is acknowledged.
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

// giveUp has the primary wait for its call no longer. The call stays on its way.
func (replica *backupReplica) abandonCall() {
	if replica.outstanding != nil {
		replica.abandoned = append(replica.abandoned, replica.outstanding)
	}
	replica.outstanding, replica.inSync, replica.nextChunk = nil, false, 0
}

// restartPrimary ends the primary's run; the next one begins an epoch. Its last write may be missing on its disk.
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

// deliverLate has a call arrive that the primary waits for no longer, and perhaps stay on its way once more.
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

// held reads the writes that a backup's disk holds. The course ends with it.
func (replica *backupReplica) readWrites(t *testing.T) (sequence uint64, values map[string]string) {
	opened, err := store.Open(replica.disk.Use(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	values = map[string]string{}
	opened.ForEachWithPrefix("write/", func(key string, raw []byte) { values[key] = string(raw) })
	return opened.Version(), values
}

// ownWrites are the primary's writes by their keys.
func (r *replicationExecution) expectedWrites() map[string]string {
	writes := map[string]string{}
	for i, value := range r.values {
		writes[writeKey(i)] = value
	}
	return writes
}

// flaw tells which acknowledged write a backup, once it has held everything, holds no longer; or where its copy differs
// from the primary's state although the primary counts it as whole.
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

// check reads what each backup holds. It gives the first flaw, or "", and a description of all that what follows depends on:
// courses in which the backups have changed places are the same. The course ends with it.
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

// state describes one backup and what is on its way to it.
func (replica *backupReplica) fingerprint(sequence uint64, values map[string]string) string {
	var state strings.Builder
	fmt.Fprint(&state, replica.inSync, replica.wasInSync, replica.snapshot, replica.nextChunk, sequence)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprint(&state, "|", key, values[key])
	}
	if replica.outstanding != nil {
		fmt.Fprint(&state, "|outstanding ", replica.outstanding.name)
	}
	for _, stray := range replica.abandoned {
		fmt.Fprint(&state, "|stray ", stray.name)
	}
	fmt.Fprint(&state, "|took ", strings.Join(replica.received, ", "))
	return state.String()
}

// replicationExploration walks through all courses of replication within bounds.
type replicationExploration struct {
	bounds          replicationBounds
	seen            map[string]bool
	executions      int
	maxAcknowledged int      // writes acknowledged in one course
	counterexample  []string // the moves of a course that loses an acknowledged write
	violation       string
}

// explore plays the course of the given moves, and all that may follow.
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

// exploreReplication explores everything within bounds.
func exploreReplication(t *testing.T, bounds replicationBounds) *replicationExploration {
	e := &replicationExploration{bounds: bounds, seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e.explore(ctx, t, nil)
	})
	return e
}

// TestEveryCourseOfReplication plays every order in which a primary's calls arrive at its backup, late ones and those of
// its earlier runs among them: the backup loses no acknowledged write.
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

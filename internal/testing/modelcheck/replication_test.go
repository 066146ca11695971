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
	name string
	kind string
	body msgp.Marshaler
	last bool // of a snapshot
}

// replicaCourse is one backup, and what the primary knows of it and has sent it.
type replicaCourse struct {
	index  int
	disk   *sim.Disk
	backup *core.Server
	took   []string // what this run of the backup has been sent, in order

	holds       bool   // the primary counts the backup's copy as whole
	everHeld    bool   // it has done so before
	snapshots   uint64 // the number of the snapshot that it is sent
	nextPart    int
	outstanding *replicationCall
	strays      []*replicationCall // calls that the primary waits for no longer
}

// replicationCourse is one course: a primary that copies its state and replicates writes, its backups, and a scheduler in
// between.
type replicationCourse struct {
	bounds   replicationBounds
	ctx      context.Context
	replicas []*replicaCourse

	view         view.View
	values       []string // what the primary's disk holds: the write of each sequence number
	acknowledged []string // the writes that were acknowledged, as they must stay
	written      int      // writes ever made
	snapshots    uint64   // begun in this run of the primary
}

// address is where a process of a course would listen: the primary is the first.
func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

// newReplication begins a course: the primary holds one write, the backups nothing.
func newReplication(ctx context.Context, t *testing.T, bounds replicationBounds) *replicationCourse {
	r := &replicationCourse{bounds: bounds, ctx: ctx, values: []string{"first"}, acknowledged: []string{"first"}}
	members := []view.Member{{ID: primaryID, Addr: address(0)}}
	var ids []string
	for index := range max(1, bounds.backups) {
		id := fmt.Sprint(backupID, index)
		ids = append(ids, id)
		members = append(members, view.Member{ID: id, Addr: address(index + 1)})
		r.replicas = append(r.replicas, &replicaCourse{index: index, disk: diskOf(t, id)})
	}
	r.view = view.View{Epoch: 1, Primary: primaryID, Members: members}.WithBackups(ids)
	for _, replica := range r.replicas {
		r.startBackup(t, replica)
	}
	return r
}

// startBackup opens a backup from its disk. Its run loop rests: it only answers calls.
func (r *replicationCourse) startBackup(t *testing.T, replica *replicaCourse) {
	where := daemon.Context{Context: r.ctx, Name: fmt.Sprint(backupID, replica.index), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
	backup, err := core.Open(where, core.Settings{Addr: address(replica.index + 1)}, replica.disk.Open())
	if err != nil {
		t.Fatal(err)
	}
	replica.backup, replica.took = backup, nil
}

// The moves of a course. Those that concern one backup begin with its index.
const (
	sendWrite         = "write"
	sendSnapshot      = "send"
	deliverCall       = "deliver"
	giveCallUp        = "give up"
	restartPrimary    = "restart the primary"
	restartWithout    = "restart the primary, its last write lost" // it was not on its disk yet
	restartBackup     = "restart the backup"
	deliverStray      = "stray "
	deliverStrayTwice = "stray, and once more later: "
)

// moves lists what may happen next, in a fixed order.
func (r *replicationCourse) moves() []string {
	var moves []string
	if r.isInSync() && r.bounds.writes > 0 {
		moves = append(moves, sendWrite)
	}
	for _, replica := range r.replicas {
		for _, move := range r.movesOf(replica) {
			moves = append(moves, fmt.Sprint(replica.index, " ", move))
		}
	}
	if r.bounds.primaryRestarts > 0 {
		moves = append(moves, restartPrimary)
		if len(r.values) > len(r.acknowledged) {
			moves = append(moves, restartWithout)
		}
	}
	return moves
}

// movesOf lists what may happen next to one backup.
func (r *replicationCourse) movesOf(replica *replicaCourse) []string {
	var moves []string
	switch {
	case replica.outstanding != nil:
		moves = append(moves, deliverCall)
		if r.bounds.givenUp > 0 {
			moves = append(moves, giveCallUp)
		}
	case !replica.holds:
		moves = append(moves, sendSnapshot)
	}
	for _, stray := range replica.strays {
		moves = append(moves, deliverStray+stray.name)
		if r.bounds.doubled > 0 {
			moves = append(moves, deliverStrayTwice+stray.name)
		}
	}
	if r.bounds.backupRestarts > 0 {
		moves = append(moves, restartBackup)
	}
	return moves
}

// isInSync reports whether the primary counts all backups' copies as whole, and waits for no call.
func (r *replicationCourse) isInSync() bool {
	return !slices.ContainsFunc(r.replicas, func(replica *replicaCourse) bool { return !replica.holds || replica.outstanding != nil })
}

// take makes one move.
func (r *replicationCourse) take(t *testing.T, move string) {
	switch move {
	case sendWrite:
		r.write()
		return
	case restartPrimary, restartWithout:
		r.bounds.primaryRestarts--
		r.restartPrimary(move == restartWithout)
		return
	}
	number, move, _ := strings.Cut(move, " ")
	index, err := strconv.Atoi(number)
	if err != nil {
		t.Fatal(err)
	}
	r.takeOf(t, r.replicas[index], move)
}

// takeOf makes one move of a backup.
func (r *replicationCourse) takeOf(t *testing.T, replica *replicaCourse, move string) {
	switch move {
	case sendSnapshot:
		r.sendSnapshot(replica)
	case deliverCall:
		call := replica.outstanding
		replica.outstanding = nil
		r.hear(replica, call, r.deliver(t, replica, call))
	case giveCallUp:
		r.bounds.givenUp--
		replica.giveUp()
	case restartBackup:
		r.bounds.backupRestarts--
		replica.outstanding, replica.strays, replica.holds = nil, nil, false
		r.startBackup(t, replica)
	default:
		r.deliverLate(t, replica, move)
	}
}

// write has the primary make a write, and send it to all backups.
func (r *replicationCourse) write() {
	r.bounds.writes--
	r.written++
	r.values = append(r.values, fmt.Sprint("write ", r.written))
	batch := store.Batch{Version: uint64(len(r.values)), Mutations: r.puts(len(r.values)-1, len(r.values))}
	for _, replica := range r.replicas {
		replica.outstanding = &replicationCall{name: r.values[len(r.values)-1], kind: "core.hold",
			body: &replication.ReplicateRequest{View: r.view, Primary: primaryID, Batch: batch}}
	}
}

// sendSnapshot has the primary send a backup the next part of a snapshot.
func (r *replicationCourse) sendSnapshot(replica *replicaCourse) {
	if replica.nextPart == 0 {
		r.snapshots++
		replica.snapshots = r.snapshots
	}
	request := &replication.SnapshotRequest{View: r.view, Primary: primaryID, Snapshot: replica.snapshots, Version: uint64(len(r.values)), Chunk: replica.nextPart}
	switch {
	case r.bounds.parts == 1:
		request.Last, request.Mutations = true, r.puts(0, len(r.values))
	case replica.nextPart == 0:
		request.Mutations = r.puts(0, 1)
	default:
		request.Last, request.Mutations = true, r.puts(1, len(r.values))
	}
	replica.outstanding = &replicationCall{name: fmt.Sprintf("snapshot %d.%d part %d of %d writes", r.view.Epoch, replica.snapshots, replica.nextPart, len(r.values)),
		kind: "core.copy", body: request, last: request.Last}
	replica.nextPart = (replica.nextPart + 1) % r.bounds.parts
}

// puts are the primary's writes from one index to another, as its store holds them.
func (r *replicationCourse) puts(from, to int) []store.Mutation {
	var puts []store.Mutation
	for i := from; i < to; i++ {
		puts = append(puts, store.Mutation{Key: writeKey(i), Value: []byte(r.values[i])})
	}
	return puts
}

func writeKey(index int) string { return fmt.Sprint("write/", index) }

// deliver has a backup take a call, and reports whether it did.
func (r *replicationCourse) deliver(t *testing.T, replica *replicaCourse, call *replicationCall) bool {
	raw, err := call.body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	replica.took = append(replica.took, call.name)
	_, err = replica.backup.Handle(r.ctx, call.kind, raw)
	synctest.Wait() // the backup may fold its files
	return err == nil
}

// hear has the primary take the answer to its call. Once all backups hold what it holds, that is acknowledged.
func (r *replicationCourse) hear(replica *replicaCourse, call *replicationCall, taken bool) {
	if !taken {
		replica.holds, replica.nextPart = false, 0
		return
	}
	if call.last {
		replica.holds, replica.everHeld = true, true
	}
	if r.isInSync() {
		r.acknowledged = slices.Clone(r.values)
	}
}

// giveUp has the primary wait for its call no longer. The call stays on its way.
func (replica *replicaCourse) giveUp() {
	if replica.outstanding != nil {
		replica.strays = append(replica.strays, replica.outstanding)
	}
	replica.outstanding, replica.holds, replica.nextPart = nil, false, 0
}

// restartPrimary ends the primary's run; the next one begins an epoch. Its last write may be missing on its disk.
func (r *replicationCourse) restartPrimary(withoutLast bool) {
	for _, replica := range r.replicas {
		replica.giveUp()
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
func (r *replicationCourse) deliverLate(t *testing.T, replica *replicaCourse, move string) {
	name, twice := strings.CutPrefix(move, deliverStrayTwice)
	if !twice {
		name = strings.TrimPrefix(move, deliverStray)
	}
	i := slices.IndexFunc(replica.strays, func(call *replicationCall) bool { return call.name == name })
	call := replica.strays[i]
	if twice {
		r.bounds.doubled--
	} else {
		replica.strays = slices.Delete(slices.Clone(replica.strays), i, i+1)
	}
	r.deliver(t, replica, call)
}

// held reads the writes that a backup's disk holds. The course ends with it.
func (replica *replicaCourse) held(t *testing.T) (sequence uint64, values map[string]string) {
	opened, err := store.Open(replica.disk.Open(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	values = map[string]string{}
	opened.ForEachWithPrefix("write/", func(key string, raw []byte) { values[key] = string(raw) })
	return opened.Version(), values
}

// ownWrites are the primary's writes by their keys.
func (r *replicationCourse) ownWrites() map[string]string {
	writes := map[string]string{}
	for i, value := range r.values {
		writes[writeKey(i)] = value
	}
	return writes
}

// flaw tells which acknowledged write a backup, once it has held everything, holds no longer; or where its copy differs
// from the primary's state although the primary counts it as whole.
func (r *replicationCourse) flaw(replica *replicaCourse, sequence uint64, values map[string]string) string {
	if replica.holds && replica.outstanding == nil && (int(sequence) != len(r.values) || !maps.Equal(values, r.ownWrites())) {
		return fmt.Sprintf("the primary counts the copy of backup %d as whole and is at %q, the backup is at %d with %v", replica.index, r.values, sequence, values)
	}
	for i, value := range r.acknowledged {
		if replica.everHeld && values[writeKey(i)] != value {
			return fmt.Sprintf("%q was acknowledged, backup %d holds %q in its place", value, replica.index, values[writeKey(i)])
		}
	}
	return ""
}

// check reads what each backup holds. It gives the first flaw, or "", and a description of all that what follows depends on:
// courses in which the backups have changed places are the same. The course ends with it.
func (r *replicationCourse) check(t *testing.T) (flaw, state string) {
	var replicas []string
	for _, replica := range r.replicas {
		sequence, values := replica.held(t)
		if flaw := r.flaw(replica, sequence, values); flaw != "" {
			return flaw, ""
		}
		replicas = append(replicas, replica.state(sequence, values))
	}
	slices.Sort(replicas)
	return "", fmt.Sprint(r.bounds, r.view.Epoch, r.values, r.acknowledged, r.written, r.snapshots, replicas)
}

// state describes one backup and what is on its way to it.
func (replica *replicaCourse) state(sequence uint64, values map[string]string) string {
	var state strings.Builder
	fmt.Fprint(&state, replica.holds, replica.everHeld, replica.snapshots, replica.nextPart, sequence)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprint(&state, "|", key, values[key])
	}
	if replica.outstanding != nil {
		fmt.Fprint(&state, "|outstanding ", replica.outstanding.name)
	}
	for _, stray := range replica.strays {
		fmt.Fprint(&state, "|stray ", stray.name)
	}
	fmt.Fprint(&state, "|took ", strings.Join(replica.took, ", "))
	return state.String()
}

// replicationExploration walks through all courses of replication within bounds.
type replicationExploration struct {
	bounds  replicationBounds
	seen    map[string]bool
	played  int
	most    int      // writes acknowledged in one course
	failed  []string // the moves of a course that loses an acknowledged write
	problem string
}

// explore plays the course of the given moves, and all that may follow.
func (e *replicationExploration) explore(ctx context.Context, t *testing.T, moves []string) {
	if e.problem != "" {
		return
	}
	r := newReplication(ctx, t, e.bounds)
	for _, move := range moves {
		r.take(t, move)
	}
	e.played++
	e.most = max(e.most, len(r.acknowledged))
	next := r.moves()
	var state string
	if e.problem, state = r.check(t); e.problem != "" {
		e.failed = moves
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
			if e.problem != "" {
				t.Errorf("%s after %q", e.problem, e.failed)
			}
			if e.most != bounds.writes+1 {
				t.Errorf("%d writes were acknowledged at most, %d expected", e.most, bounds.writes+1)
			}
			t.Logf("%d states, %d courses", len(e.seen), e.played)
		})
	}
}

package modelcheck

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
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
	sameEpoch       bool // planted: a restarted primary leads on in the epoch of its last run
}

// The two processes of a course. The primary is played as package core sends; the backup is a real one.
const (
	primaryID = "primary"
	backupID  = "backup"
)

// replicationCall is one message to the backup.
type replicationCall struct {
	name string
	kind string
	body msgp.Marshaler
	last bool // of a snapshot
}

// replicationCourse is one course: a primary that copies its state and replicates writes, a backup, and a scheduler in between.
type replicationCourse struct {
	bounds replicationBounds
	disk   *sim.Disk
	backup *core.Server
	ctx    context.Context
	took   []string // what this run of the backup has been sent, in order

	view         view.View
	values       []string // what the primary's disk holds: the write of each sequence number
	acknowledged []string // the writes that were acknowledged, as they must stay
	written      int      // writes ever made
	holds        bool     // the primary counts the backup's copy as whole
	everHeld     bool     // it has done so before
	snapshots    uint64   // begun in this run of the primary
	nextPart     int
	outstanding  *replicationCall
	strays       []*replicationCall // calls that the primary waits for no longer
}

// newReplication begins a course: the primary holds one write, the backup nothing.
func newReplication(ctx context.Context, t *testing.T, bounds replicationBounds) *replicationCourse {
	r := &replicationCourse{bounds: bounds, ctx: ctx, disk: diskOf(t, backupID), values: []string{"first"}, acknowledged: []string{"first"}}
	members := []view.Member{{ID: primaryID, Addr: "10.0.0.1:1"}, {ID: backupID, Addr: "10.0.0.2:1"}}
	r.view = view.View{Epoch: 1, Primary: primaryID, Members: members}.WithBackups([]string{backupID})
	r.startBackup(t)
	return r
}

// startBackup opens the backup from its disk. Its run loop rests: it only answers calls.
func (r *replicationCourse) startBackup(t *testing.T) {
	where := daemon.Context{Context: r.ctx, Name: backupID, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Net: wire.TCP{}}
	backup, err := core.Open(where, core.Settings{Addr: "10.0.0.2:1"}, r.disk.Use())
	if err != nil {
		t.Fatal(err)
	}
	r.backup, r.took = backup, nil
}

// The moves of a course.
const (
	sendNext          = "send"
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
	switch {
	case r.outstanding != nil:
		moves = append(moves, deliverCall)
		if r.bounds.givenUp > 0 {
			moves = append(moves, giveCallUp)
		}
	case !r.holds || r.bounds.writes > 0:
		moves = append(moves, sendNext)
	}
	for _, stray := range r.strays {
		moves = append(moves, deliverStray+stray.name)
		if r.bounds.doubled > 0 {
			moves = append(moves, deliverStrayTwice+stray.name)
		}
	}
	if r.bounds.primaryRestarts > 0 {
		moves = append(moves, restartPrimary)
		if len(r.values) > len(r.acknowledged) {
			moves = append(moves, restartWithout)
		}
	}
	if r.bounds.backupRestarts > 0 {
		moves = append(moves, restartBackup)
	}
	return moves
}

// take makes one move.
func (r *replicationCourse) take(t *testing.T, move string) {
	switch move {
	case sendNext:
		r.send()
	case deliverCall:
		call := r.outstanding
		r.outstanding = nil
		r.hear(call, r.deliver(t, call))
	case giveCallUp:
		r.bounds.givenUp--
		r.giveUp()
	case restartPrimary, restartWithout:
		r.bounds.primaryRestarts--
		r.restartPrimary(move == restartWithout)
	case restartBackup:
		r.bounds.backupRestarts--
		r.outstanding, r.strays, r.holds = nil, nil, false
		r.startBackup(t)
	default:
		r.deliverLate(t, move)
	}
}

// send has the primary make its next call: a part of a snapshot until the backup holds all, then a write.
func (r *replicationCourse) send() {
	if r.holds {
		r.bounds.writes--
		r.written++
		r.values = append(r.values, fmt.Sprint("write ", r.written))
		batch := store.Batch{Version: uint64(len(r.values)), Mutations: r.puts(len(r.values)-1, len(r.values))}
		r.outstanding = &replicationCall{name: r.values[len(r.values)-1], kind: "core.hold",
			body: &replication.ReplicateRequest{View: r.view, Primary: primaryID, Batch: batch}}
		return
	}
	if r.nextPart == 0 {
		r.snapshots++
	}
	request := &replication.SnapshotRequest{View: r.view, Primary: primaryID, Snapshot: r.snapshots, Version: uint64(len(r.values)), Chunk: r.nextPart}
	switch {
	case r.bounds.parts == 1:
		request.Last, request.Mutations = true, r.puts(0, len(r.values))
	case r.nextPart == 0:
		request.Mutations = r.puts(0, 1)
	default:
		request.Last, request.Mutations = true, r.puts(1, len(r.values))
	}
	r.outstanding = &replicationCall{name: fmt.Sprintf("snapshot %d.%d part %d of %d writes", r.view.Epoch, r.snapshots, r.nextPart, len(r.values)),
		kind: "core.copy", body: request, last: request.Last}
	r.nextPart = (r.nextPart + 1) % r.bounds.parts
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

// deliver has the backup take a call, and reports whether it did.
func (r *replicationCourse) deliver(t *testing.T, call *replicationCall) bool {
	raw, err := call.body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	r.took = append(r.took, call.name)
	_, err = r.backup.Handle(r.ctx, call.kind, raw)
	synctest.Wait() // the backup may fold its files
	return err == nil
}

// hear has the primary take the answer to its call.
func (r *replicationCourse) hear(call *replicationCall, taken bool) {
	if !taken {
		r.holds, r.nextPart = false, 0
		return
	}
	if call.last {
		r.holds, r.everHeld = true, true
	}
	if r.holds {
		r.acknowledged = slices.Clone(r.values)
	}
}

// giveUp has the primary wait for its call no longer. The call stays on its way.
func (r *replicationCourse) giveUp() {
	if r.outstanding != nil {
		r.strays = append(r.strays, r.outstanding)
	}
	r.outstanding, r.holds, r.nextPart = nil, false, 0
}

// restartPrimary ends the primary's run; the next one begins an epoch. Its last write may be missing on its disk.
func (r *replicationCourse) restartPrimary(withoutLast bool) {
	r.giveUp()
	if withoutLast {
		r.values = r.values[:len(r.values)-1]
	}
	r.snapshots = 0
	if !r.bounds.sameEpoch {
		r.view.Epoch++
	}
}

// deliverLate has a call arrive that the primary waits for no longer, and perhaps stay on its way once more.
func (r *replicationCourse) deliverLate(t *testing.T, move string) {
	name, twice := strings.CutPrefix(move, deliverStrayTwice)
	if !twice {
		name = strings.TrimPrefix(move, deliverStray)
	}
	i := slices.IndexFunc(r.strays, func(call *replicationCall) bool { return call.name == name })
	call := r.strays[i]
	if twice {
		r.bounds.doubled--
	} else {
		r.strays = slices.Delete(slices.Clone(r.strays), i, i+1)
	}
	r.deliver(t, call)
}

// held reads the writes that the backup's disk holds. The course ends with it.
func (r *replicationCourse) held(t *testing.T) (sequence uint64, values map[string]string) {
	replica, err := store.Open(r.disk.Use(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	values = map[string]string{}
	replica.ForEachWithPrefix("write/", func(key string, raw []byte) { values[key] = string(raw) })
	return replica.Version(), values
}

// ownWrites are the primary's writes by their keys.
func (r *replicationCourse) ownWrites() map[string]string {
	writes := map[string]string{}
	for i, value := range r.values {
		writes[writeKey(i)] = value
	}
	return writes
}

// flaw tells which acknowledged write the backup, once it has held everything, holds no longer; or where its copy differs
// from the primary's state although the primary counts it as whole.
func (r *replicationCourse) flaw(sequence uint64, values map[string]string) string {
	if r.holds && r.outstanding == nil && (int(sequence) != len(r.values) || !maps.Equal(values, r.ownWrites())) {
		return fmt.Sprintf("the primary counts the copy as whole and is at %q, the backup is at %d with %v", r.values, sequence, values)
	}
	for i, value := range r.acknowledged {
		if r.everHeld && values[writeKey(i)] != value {
			return fmt.Sprintf("%q was acknowledged, the backup holds %q in its place", value, values[writeKey(i)])
		}
	}
	return ""
}

// state describes all that what follows depends on.
func (r *replicationCourse) state(sequence uint64, values map[string]string) string {
	var state strings.Builder
	fmt.Fprint(&state, r.bounds, r.view.Epoch, r.values, r.acknowledged, r.written, r.holds, r.everHeld, r.snapshots, r.nextPart, sequence)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprint(&state, "|", key, values[key])
	}
	if r.outstanding != nil {
		fmt.Fprint(&state, "|outstanding ", r.outstanding.name)
	}
	for _, stray := range r.strays {
		fmt.Fprint(&state, "|stray ", stray.name)
	}
	fmt.Fprint(&state, "|took ", strings.Join(r.took, ", "))
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
	sequence, values := r.held(t)
	if e.problem = r.flaw(sequence, values); e.problem != "" {
		e.failed = moves
		return
	}
	state := r.state(sequence, values)
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

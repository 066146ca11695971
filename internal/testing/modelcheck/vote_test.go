package modelcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/testing/sim"
)

// The bounds of the exhaustive exploration of the vote.
const (
	voterCount    = 3
	proposerCount = 2
)

// voteBounds are how many faults one course of the vote may have.
type voteBounds struct {
	lost     int // messages lost, requests or answers
	restarts int // of voters
	attempts int // of each proposer
}

// pendingCall is a message on its way to a voter, or its answer; the scheduler decides what becomes of it.
type pendingCall struct {
	proposer, attempt, voter int
	request                  msgp.Marshaler
	response                 *paxos.AcceptorResponse
	outcome                  chan error
}

// name tells calls of one state apart.
func (c *pendingCall) name() string {
	kind := "prepare"
	if _, ok := c.request.(*paxos.AcceptRequest); ok {
		kind = "accept"
	}
	return fmt.Sprintf("%d.%d %s %d", c.proposer, c.attempt, kind, c.voter)
}

// errLost ends a call whose request or answer was lost.
var errMessageLost = errors.New("modelcheck: message lost")

// vote is one course of the vote: real voters on disks in memory, real proposals, and a scheduler in between.
type vote struct {
	bounds             voteBounds
	disks              []*sim.Disk
	voters             []*paxos.Acceptor
	current            view.View
	mu                 sync.Mutex
	pending            []*pendingCall
	proposedView       func(current view.View, proposer int) view.View
	decided            []string                // what each proposer was told
	lastAgreedProposer map[int]int             // by voter: the proposer that it last said yes to
	lastErr            []error                 // how each proposer's last attempt ended without a decision
	accepted           map[string]map[int]bool // by ballot and view: the voters that ever accepted it
	chosen             map[string]bool         // views that a majority accepted under one ballot
	running            sync.WaitGroup
}

// newVote begins a course: nothing has been proposed yet.
func newVote(t *testing.T, bounds voteBounds) *vote {
	return newVoteWithProposals(t, bounds, proposeSelf)
}

// proposeItself is the view in which a proposer is the primary.
func proposeSelf(current view.View, proposer int) view.View {
	current.Primary = current.Members[proposer].ID
	return current
}

// nameOf tells views apart by who holds the state.
func viewName(v view.View) string { return fmt.Sprint(v.Primary, v.Backups()) }

// newVoteOn begins a course in which the proposers propose given views.
func newVoteWithProposals(t *testing.T, bounds voteBounds, proposedView func(current view.View, proposer int) view.View) *vote {
	v := &vote{bounds: bounds, proposedView: proposedView, lastErr: make([]error, proposerCount), lastAgreedProposer: map[int]int{}, decided: make([]string, proposerCount), accepted: map[string]map[int]bool{}, chosen: map[string]bool{}}
	v.current = view.View{Epoch: 1}
	for i := range voterCount {
		member := view.Member{ID: fmt.Sprint("member-", i), Addr: fmt.Sprint(i)}
		v.current.Members = append(v.current.Members, member)
		v.disks = append(v.disks, newVoterDisk(t, member.ID))
		v.voters = append(v.voters, nil)
		v.restart(t, i)
	}
	v.current.Primary = v.current.Members[0].ID
	for i := range proposerCount {
		v.running.Go(func() { v.propose(i) })
	}
	return v
}

// diskOf is the disk of a voter that has an identity and has never voted: drawn at random, identities would make each
// course another one.
func newVoterDisk(t *testing.T, id string) *sim.Disk {
	state := paxos.AcceptorState{ID: id}
	raw, err := state.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	disk := sim.NewDisk()
	if err := disk.Use().Write("ballot", store.AddChecksum(raw)); err != nil {
		t.Fatal(err)
	}
	return disk
}

// restart opens a voter from its disk.
func (v *vote) restart(t *testing.T, voter int) {
	opened, err := paxos.Open(v.disks[voter].Use(), 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	v.voters[voter] = opened
}

// propose has one member propose itself as primary until something is decided or its attempts are over.
func (v *vote) propose(proposer int) {
	next := v.proposedView(v.current, proposer)
	highest := uint64(0)
	for attempt := range v.bounds.attempts {
		proposal := paxos.Proposer{ProposerID: v.current.Members[proposer].ID, Current: v.current, Value: next, StepTimeout: time.Hour, HighestNumber: highest,
			Call: func(_ context.Context, addr, _ string, in msgp.Marshaler, out msgp.Unmarshaler) error {
				return v.send(proposer, attempt, addr, in, out)
			}}
		decided, err := proposal.Propose(context.Background())
		highest = proposal.HighestNumber
		if err == nil {
			v.mu.Lock()
			v.decided[proposer] = viewName(decided)
			v.mu.Unlock()
			return
		}
		v.mu.Lock()
		v.lastErr[proposer] = err
		v.mu.Unlock()
	}
}

// send puts a call before the scheduler and waits for what becomes of it.
func (v *vote) send(proposer, attempt int, addr string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	call := &pendingCall{proposer: proposer, attempt: attempt, voter: int(addr[0] - '0'), request: in,
		response: out.(*paxos.AcceptorResponse), outcome: make(chan error, 1)}
	v.mu.Lock()
	v.pending = append(v.pending, call)
	v.mu.Unlock()
	return <-call.outcome
}

// deliver has a voter take a call, and notes what it accepts.
func (v *vote) deliver(call *pendingCall) error {
	var response *paxos.AcceptorResponse
	var err error
	switch request := call.request.(type) {
	case *paxos.PrepareRequest:
		response, err = v.voters[call.voter].Prepare(request)
	case *paxos.AcceptRequest:
		response, err = v.voters[call.voter].Accept(request)
		if err == nil && response.Agreed {
			v.recordAccepted(request, call.voter)
		}
	}
	if err == nil {
		*call.response = *response
		if response.Agreed {
			v.lastAgreedProposer[call.voter] = call.proposer
		}
	}
	return err
}

// noteAccepted remembers who accepted what: a majority under one ballot has chosen it.
func (v *vote) recordAccepted(request *paxos.AcceptRequest, voter int) {
	key := fmt.Sprintf("%d/%s", request.Number.Number, request.Number.Proposer)
	if v.accepted[key] == nil {
		v.accepted[key] = map[int]bool{}
	}
	v.accepted[key][voter] = true
	if 2*len(v.accepted[key]) > voterCount {
		v.chosen[viewName(request.Proposed)] = true
	}
}

// moves lists what may happen next, in a fixed order.
func (v *vote) moves() []string {
	slices.SortFunc(v.pending, func(a, b *pendingCall) int { return strings.Compare(a.name(), b.name()) })
	var moves []string
	for _, call := range v.pending {
		moves = append(moves, "deliver "+call.name())
		if v.bounds.lost > 0 {
			moves = append(moves, "lose the request "+call.name(), "lose the answer "+call.name())
		}
	}
	for voter := range voterCount {
		if v.bounds.restarts > 0 && len(v.pending) > 0 {
			moves = append(moves, fmt.Sprint("restart ", voter))
		}
	}
	return moves
}

// take makes one move.
func (v *vote) apply(t *testing.T, move string) {
	var voter int
	if n, _ := fmt.Sscanf(move, "restart %d", &voter); n == 1 {
		v.bounds.restarts--
		v.restart(t, voter)
		return
	}
	i := slices.IndexFunc(v.pending, func(call *pendingCall) bool { return strings.HasSuffix(move, " "+call.name()) })
	call := v.pending[i]
	v.pending = slices.Delete(v.pending, i, i+1)
	var err error
	if !strings.HasPrefix(move, "lose the request") {
		err = v.deliver(call)
	}
	if strings.HasPrefix(move, "lose") {
		v.bounds.lost--
		err = errMessageLost
	}
	call.outcome <- err
	synctest.Wait()
}

// state describes all that what follows depends on. The course ends with it: its voters lose their disks.
func (v *vote) fingerprint() string {
	var state strings.Builder
	fmt.Fprint(&state, v.bounds, v.decided, v.chosen)
	for _, call := range v.pending {
		raw, err := call.request.MarshalMsg(nil)
		fmt.Fprintf(&state, "|%s %x %v", call.name(), raw, err)
	}
	for _, disk := range v.disks {
		raw, err := disk.Use().Read("ballot")
		fmt.Fprintf(&state, "|%x %v", raw, err)
	}
	return state.String()
}

// finish ends all proposals, so that no task is left.
func (v *vote) finish() {
	for done := false; !done; {
		v.mu.Lock()
		calls := v.pending
		v.pending = nil
		v.mu.Unlock()
		for _, call := range calls {
			call.outcome <- errMessageLost
		}
		synctest.Wait()
		v.mu.Lock()
		done = len(v.pending) == 0
		v.mu.Unlock()
	}
	v.running.Wait()
}

// disagreement tells where two views were chosen or told for one epoch.
func (v *vote) violation() string {
	values := map[string]bool{}
	for chosen := range v.chosen {
		values[chosen] = true
	}
	for _, decided := range v.decided {
		if decided != "" {
			values[decided] = true
		}
	}
	if len(values) < 2 {
		return ""
	}
	return fmt.Sprintf("chosen %v, told %v", v.chosen, v.decided)
}

// course is one course of events that an exploration plays: *vote is one.
type execution interface {
	moves() []string // what may happen next, in a fixed order
	apply(t *testing.T, move string)
	fingerprint() string // all that what follows depends on; the course ends with it
	violation() string   // what is wrong; "": nothing
	finish()
}

// exploration walks through all courses within bounds.
type exploration struct {
	begin          func(t *testing.T) execution
	seen           map[string]bool
	executions     int
	maxMoves       int
	counterexample []string // the moves of a course that decides two views
	violation      string
}

// explore plays the course of the given moves, and all that may follow.
func (e *exploration) explore(t *testing.T, moves []string) {
	if e.violation != "" {
		return
	}
	v := e.begin(t)
	synctest.Wait()
	for _, move := range moves {
		v.moves()
		v.apply(t, move)
	}
	e.executions++
	e.maxMoves = max(e.maxMoves, len(moves))
	next := v.moves()
	state, violation := v.fingerprint(), v.violation()
	v.finish()
	if violation != "" {
		e.counterexample, e.violation = moves, violation
		return
	}
	if e.seen[state] {
		return
	}
	e.seen[state] = true
	for _, move := range next {
		e.explore(t, append(slices.Clone(moves), move))
	}
}

// exploreAll explores everything within bounds.
func exploreVote(t *testing.T, bounds voteBounds) *exploration {
	return exploreFrom(t, func(t *testing.T) execution { return newVote(t, bounds) })
}

// exploreFrom explores everything that may come of a beginning.
func exploreFrom(t *testing.T, begin func(t *testing.T) execution) *exploration {
	e := &exploration{begin: begin, seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) { e.explore(t, nil) })
	return e
}

// TestEveryCourseOfTheVote plays every order of messages, losses and restarts of two proposals to three voters: never are
// two views decided for one epoch.
func TestEveryCourseOfTheVote(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	for _, bounds := range []voteBounds{{attempts: 1}, {attempts: 1, lost: 1}, {attempts: 1, restarts: 1}} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			t.Parallel()
			e := exploreVote(t, bounds)
			if e.violation != "" {
				t.Errorf("%s after %q", e.violation, e.counterexample)
			}
			t.Logf("%d states, %d courses, at most %d moves", len(e.seen), e.executions, e.maxMoves)
		})
	}
}

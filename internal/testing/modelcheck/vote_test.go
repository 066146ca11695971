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

// The size of the voting that is explored exhaustively.
const (
	voterCount    = 3
	proposerCount = 2
)

// voteBounds limits the faults in one execution of the vote.
type voteBounds struct {
	lost     int // messages lost, requests or answers
	restarts int // of voters
	attempts int // proposals by each proposer
}

// pendingCall is a call to a voter that has not ended yet; the scheduler decides its outcome.
type pendingCall struct {
	proposer, attempt, voter int
	request                  msgp.Marshaler
	response                 *paxos.AcceptorResponse
	outcome                  chan error
}

// name identifies the call among the pending calls of one state.
func (c *pendingCall) name() string {
	kind := "prepare"
	if _, ok := c.request.(*paxos.AcceptRequest); ok {
		kind = "accept"
	}
	return fmt.Sprintf("%d.%d %s %d", c.proposer, c.attempt, kind, c.voter)
}

// errMessageLost ends a call whose request or answer was lost.
var errMessageLost = errors.New("modelcheck: message lost")

// vote is one execution of the vote: real voters on in-memory disks, real proposals, and a scheduler between them.
type vote struct {
	bounds             voteBounds
	disks              []*sim.Disk
	voters             []*paxos.Acceptor
	current            view.View
	mu                 sync.Mutex
	pending            []*pendingCall
	proposedView       func(current view.View, proposer int) view.View
	decided            []string                // the decision that each proposer learned
	lastAgreedProposer map[int]int             // by voter: the proposer whose request it agreed to last
	lastErr            []error                 // how each proposer's last attempt without a decision ended
	accepted           map[string]map[int]bool // by ballot: the voters that ever accepted its proposal
	chosen             map[string]bool         // names of the views that a majority accepted under one ballot
	running            sync.WaitGroup
}

// newVote starts an execution in which each proposer proposes itself as the primary.
func newVote(t *testing.T, bounds voteBounds) *vote {
	return newVoteWithProposals(t, bounds, proposeSelf)
}

// proposeSelf returns the view in which the proposer is the primary.
func proposeSelf(current view.View, proposer int) view.View {
	current.Primary = current.Members[proposer].ID
	return current
}

// viewName identifies a view by its primary and backups.
func viewName(v view.View) string { return fmt.Sprint(v.Primary, v.Backups()) }

// newVoteWithProposals starts an execution in which the proposers propose the given views.
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

// newVoterDisk makes the disk of a voter that has the given identity and has never voted. With random identities, every
// execution would have different states.
func newVoterDisk(t *testing.T, id string) *sim.Disk {
	state := paxos.AcceptorState{ID: id}
	raw, err := state.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	disk := sim.NewDisk()
	if err := disk.Open().Write("ballot", store.AddChecksum(raw)); err != nil {
		t.Fatal(err)
	}
	return disk
}

// restart opens a voter from its disk.
func (v *vote) restart(t *testing.T, voter int) {
	opened, err := paxos.Open(v.disks[voter].Open(), 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	v.voters[voter] = opened
}

// propose has one member propose its view until there is a decision or its attempts are used up.
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

// send hands a call to the scheduler and waits for its outcome.
func (v *vote) send(proposer, attempt int, addr string, in msgp.Marshaler, out msgp.Unmarshaler) error {
	call := &pendingCall{proposer: proposer, attempt: attempt, voter: int(addr[0] - '0'), request: in,
		response: out.(*paxos.AcceptorResponse), outcome: make(chan error, 1)}
	v.mu.Lock()
	v.pending = append(v.pending, call)
	v.mu.Unlock()
	return <-call.outcome
}

// deliver passes a call to its voter and records what the voter accepts.
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

// recordAccepted records that a voter accepted a proposal: the proposed view is chosen once a majority has accepted it
// under one ballot.
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

// moves lists the possible next moves in a fixed order.
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

// apply makes one move.
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

// fingerprint describes everything that the rest of the execution depends on. It ends the execution, because it takes the
// disks from the voters.
func (v *vote) fingerprint() string {
	var state strings.Builder
	fmt.Fprint(&state, v.bounds, v.decided, v.chosen)
	for _, call := range v.pending {
		raw, err := call.request.MarshalMsg(nil)
		fmt.Fprintf(&state, "|%s %x %v", call.name(), raw, err)
	}
	for _, disk := range v.disks {
		raw, err := disk.Open().Read("ballot")
		fmt.Fprintf(&state, "|%x %v", raw, err)
	}
	return state.String()
}

// finish ends all proposals, so that no goroutine is left.
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

// violation describes a case in which two views were chosen, or learned by proposers, for one epoch.
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

// execution is one run of a protocol that an exploration makes move by move, such as *vote.
type execution interface {
	moves() []string // the possible next moves, in a fixed order
	apply(t *testing.T, move string)
	fingerprint() string // everything that the rest of the execution depends on; ends the execution
	violation() string   // the invariant that is broken; "": none
	finish()
}

// exploration visits all executions within bounds, and prunes those that reach a state that was seen before.
type exploration struct {
	begin          func(t *testing.T) execution
	seen           map[string]bool
	executions     int
	maxMoves       int
	counterexample []string // the moves of the execution that shows the violation
	violation      string
}

// explore runs the execution of the given moves, and then all its continuations.
func (e *exploration) explore(t *testing.T, moves []string) {
	if e.violation != "" {
		return
	}
	run := e.begin(t)
	synctest.Wait()
	for _, move := range moves {
		run.moves()
		run.apply(t, move)
	}
	e.executions++
	e.maxMoves = max(e.maxMoves, len(moves))
	next := run.moves()
	state, violation := run.fingerprint(), run.violation()
	run.finish()
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

// exploreVote explores all executions of the vote within bounds.
func exploreVote(t *testing.T, bounds voteBounds) *exploration {
	return exploreFrom(t, func(t *testing.T) execution { return newVote(t, bounds) })
}

// exploreFrom explores all executions that start from the state that begin returns.
func exploreFrom(t *testing.T, begin func(t *testing.T) execution) *exploration {
	e := &exploration{begin: begin, seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) { e.explore(t, nil) })
	return e
}

// TestEveryCourseOfTheVote explores every order of messages, losses and restarts of two proposals to three voters: two
// views must never be decided for one epoch.
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

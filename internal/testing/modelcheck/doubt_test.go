package modelcheck

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// The roles of the members in a course of a vote together with writes: a primary and its backup of the epoch that ends, and
// a newcomer to which the primary has copied its state before it proposes it in the backup's place.
const (
	oldPrimary = iota
	oldBackup
	newcomer
)

// acknowledgeWrite is the move by which the primary acknowledges one more write in the epoch that ends: its own disk and the
// backup's hold it, the newcomer's does not.
const acknowledgeWrite = "acknowledge a write"

// nextHolders is the view that a member proposes: the primary wants the newcomer in place of its backup, the backup
// takes over and keeps the former primary.
func proposedView(current view.View, proposer int) view.View {
	if proposer == oldPrimary {
		return current.WithBackups([]string{current.Members[newcomer].ID})
	}
	next := current.WithBackups([]string{current.Members[oldPrimary].ID})
	next.Primary = current.Members[oldBackup].ID
	return next
}

// votedWrites is one course of a vote, with a primary that may write on.
type voteWithWrite struct {
	*vote
	acknowledged bool
}

// leadsOn reports whether the primary may acknowledge a write in the epoch that ends: it makes no proposal now, does not know
// the next view, none of its proposals is in doubt, and a majority has promised nothing to another, so that its lease may
// stand.
func (c *voteWithWrite) mayAcknowledge() bool {
	if c.decided[oldPrimary] != "" || c.lastErr[oldPrimary] == nil {
		return false
	}
	if errors.Is(c.lastErr[oldPrimary], paxos.ErrOutcomeUnknown) && !faultinjection.Disabled("decision-in-doubt") {
		return false
	}
	promisedOther := 0
	for _, proposer := range c.lastAgreedProposer {
		if proposer != oldPrimary {
			promisedOther++
		}
	}
	return 2*(voterCount-promisedOther) > voterCount
}

func (c *voteWithWrite) moves() []string {
	moves := c.vote.moves()
	if !c.acknowledged && c.mayAcknowledge() {
		moves = append(moves, acknowledgeWrite)
	}
	return moves
}

// disagreement tells where a view was chosen of which a holder lacks an acknowledged write.
func (c *voteWithWrite) violation() string {
	for chosen := range c.chosen {
		if c.acknowledged && strings.Contains(chosen, c.current.Members[newcomer].ID) {
			return "the newcomer holds the state of " + chosen + ", without a write that was acknowledged"
		}
	}
	return c.vote.violation()
}

// take makes one move.
func (c *voteWithWrite) apply(t *testing.T, move string) {
	if move == acknowledgeWrite {
		c.acknowledged = true
		return
	}
	c.vote.apply(t, move)
}

func (c *voteWithWrite) fingerprint() string {
	return fmt.Sprint(c.vote.fingerprint(), c.acknowledged, c.lastErr, c.lastAgreedProposer)
}

// exploreAllWrites explores everything within bounds.
func exploreVoteWithWrite(t *testing.T, bounds voteBounds) *exploration {
	return exploreFrom(t, func(t *testing.T) execution {
		return &voteWithWrite{vote: newVoteWithProposals(t, bounds, proposedView)}
	})
}

// TestEveryCourseOfVoteAndWrite plays every order of messages and losses of two proposals, a primary's that replaces its
// backup and the backup's that takes over, beside a write that the primary acknowledges with the old backup: whatever
// view is chosen, all its holders have each acknowledged write.
func TestEveryCourseOfVoteAndWrite(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	t.Parallel()
	e := exploreVoteWithWrite(t, voteBounds{attempts: 1, lost: 2})
	if e.violation != "" {
		t.Errorf("%s after %q", e.violation, e.counterexample)
	}
	t.Logf("%d states, %d courses, at most %d moves", len(e.seen), e.executions, e.maxMoves)
}

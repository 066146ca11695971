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

// The roles of the members in an execution of a vote with concurrent writes: the primary and the backup of the epoch that
// ends, and a newcomer. The primary copies its state to the newcomer before it proposes the newcomer as its backup.
const (
	oldPrimary = iota
	oldBackup
	newcomer
)

// acknowledgeWrite is the move in which the primary acknowledges another write in the epoch that ends: the write is on the
// disks of the primary and of the old backup, but not on the newcomer's.
const acknowledgeWrite = "acknowledge a write"

// proposedView returns the view that a member proposes: the primary replaces its backup by the newcomer; the old backup
// takes over, with the former primary as its backup.
func proposedView(current view.View, proposer int) view.View {
	if proposer == oldPrimary {
		return current.WithBackups([]string{current.Members[newcomer].ID})
	}
	next := current.WithBackups([]string{current.Members[oldPrimary].ID})
	next.Primary = current.Members[oldBackup].ID
	return next
}

// voteWithWrite is one execution of a vote during which the primary may acknowledge another write.
type voteWithWrite struct {
	*vote
	acknowledged bool
}

// mayAcknowledge reports whether the primary may acknowledge a write in the epoch that ends: its proposal has ended
// without a decision and with a known outcome, and no majority has promised the next epoch to another proposer, so that
// its lease may still be valid.
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

// violation describes a chosen view in which a member that should hold the state lacks an acknowledged write.
func (c *voteWithWrite) violation() string {
	for chosen := range c.chosen {
		if c.acknowledged && strings.Contains(chosen, c.current.Members[newcomer].ID) {
			return "the newcomer holds the state of " + chosen + ", without a write that was acknowledged"
		}
	}
	return c.vote.violation()
}

// apply makes one move.
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

// exploreVoteWithWrite explores all executions of a vote with a concurrent write within bounds.
func exploreVoteWithWrite(t *testing.T, bounds voteBounds) *exploration {
	return exploreFrom(t, func(t *testing.T) execution {
		return &voteWithWrite{vote: newVoteWithProposals(t, bounds, proposedView)}
	})
}

// TestEveryCourseOfVoteAndWrite explores every order of messages and losses of two proposals, in which the primary
// replaces its backup and the old backup takes over, while the primary acknowledges a write with the old backup. The
// primary and the backups of any view that is chosen must have every acknowledged write.
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

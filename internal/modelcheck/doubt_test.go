package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
)

// The roles of the members in a course of a vote together with writes: a primary and its backup of the epoch that ends, and
// a newcomer to which the primary has copied its state before it proposes it in the backup's place.
const (
	leader = iota
	backup
	newcomer
)

// acknowledgeWrite is the move by which the primary acknowledges one more write in the epoch that ends: its own disk and the
// backup's hold it, the newcomer's does not.
const acknowledgeWrite = "acknowledge a write"

// nextHolders is the view that a member proposes: the primary wants the newcomer in place of its backup, the backup
// takes over and keeps the former primary.
func nextHolders(current view.View, proposer int) view.View {
	if proposer == leader {
		return current.WithBackups([]string{current.Members[newcomer].Id})
	}
	next := current.WithBackups([]string{current.Members[leader].Id})
	next.Primary = current.Members[backup].Id
	return next
}

// votedWrites is one course of a vote, with a primary that may write on.
type votedWrites struct {
	*vote
	acknowledged bool
}

// leadsOn tells whether the primary may acknowledge a write in the epoch that ends: it makes no proposal now, does not know
// the next view, none of its proposals is in doubt, and a majority has promised nothing to another, so that its lease may
// stand.
func (c *votedWrites) leadsOn() bool {
	if c.decided[leader] != "" || c.ended[leader] == nil {
		return false
	}
	if errors.Is(c.ended[leader], view.ErrInDoubt) && !strike.Out("decision-in-doubt") {
		return false
	}
	promisedOther := 0
	for _, proposer := range c.promised {
		if proposer != leader {
			promisedOther++
		}
	}
	return 2*(votersExplored-promisedOther) > votersExplored
}

func (c *votedWrites) allMoves() []string {
	moves := c.moves()
	if !c.acknowledged && c.leadsOn() {
		moves = append(moves, acknowledgeWrite)
	}
	return moves
}

// problem tells where a view was chosen of which a holder lacks an acknowledged write.
func (c *votedWrites) problem() string {
	for chosen := range c.chosen {
		if c.acknowledged && strings.Contains(chosen, c.current.Members[newcomer].Id) {
			return "the newcomer holds the state of " + chosen + ", without a write that was acknowledged"
		}
	}
	return c.disagreement()
}

// exploreWrites plays the course of the given moves, and all that may follow.
func (e *exploration) exploreWrites(t *testing.T, moves []string) {
	if e.problem != "" {
		return
	}
	c := &votedWrites{vote: newVoteOn(t, e.bounds, nextHolders)}
	synctest.Wait()
	for _, move := range moves {
		c.allMoves()
		if move == acknowledgeWrite {
			c.acknowledged = true
			continue
		}
		c.take(t, move)
	}
	e.played++
	e.deepest = max(e.deepest, len(moves))
	next, problem := c.allMoves(), c.problem()
	state := fmt.Sprint(c.state(), c.acknowledged, c.ended, c.promised)
	c.finish()
	if problem != "" {
		e.failed, e.problem = moves, problem
		return
	}
	if e.seen[state] {
		return
	}
	e.seen[state] = true
	for _, move := range next {
		e.exploreWrites(t, append(slices.Clone(moves), move))
	}
}

// exploreAllWrites explores everything within bounds.
func exploreAllWrites(t *testing.T, bounds voteBounds) *exploration {
	e := &exploration{bounds: bounds, seen: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) { e.exploreWrites(t, nil) })
	return e
}

// TestEveryCourseOfVoteAndWrite plays every order of messages and losses of two proposals, a primary's that replaces its
// backup and the backup's that takes over, beside a write that the primary acknowledges with the old backup: whatever
// view is chosen, all its holders have each acknowledged write.
func TestEveryCourseOfVoteAndWrite(t *testing.T) {
	if strike.Out("") {
		t.Skip("built with a mechanism struck out")
	}
	t.Parallel()
	e := exploreAllWrites(t, voteBounds{attempts: 1, lost: 2})
	if e.problem != "" {
		t.Errorf("%s after %q", e.problem, e.failed)
	}
	t.Logf("%d states, %d courses, at most %d moves", len(e.seen), e.played, e.deepest)
}

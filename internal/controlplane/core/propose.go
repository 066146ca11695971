package core

import (
	"context"
	"errors"
	"slices"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// learn stores a chosen view if it is newer than the one known.
func (s *Server) learn(v view.View) {
	if err := s.acceptor.Learn(v); err != nil {
		s.failDisk(err)
	}
}

// decide proposes the next view, and learns the view that is chosen, which may be a different one. It reports whether a view
// is known to be chosen. If unanimous is set, every current member must promise, not only a majority.
func (s *Server) decide(current, next view.View, unanimous bool) bool {
	proposer := &paxos.Proposer{
		ProposerID:    s.acceptor.ID(),
		Call:          s.call,
		Current:       current,
		Value:         next,
		Unanimous:     unanimous,
		StepTimeout:   stepTimeout,
		HighestNumber: s.highestNumber,
	}
	decided, err := proposer.Propose(s.ctx)
	s.highestNumber = proposer.HighestNumber
	if err != nil {
		s.ctx.Log.Warn("View not decided.", "after", current.Epoch, "error", err.Error())
		if errors.Is(err, paxos.ErrOutcomeUnknown) && !faultinjection.Disabled("decision-in-doubt") {
			s.leadership.EndEpoch(current.Epoch)
		}
		return false
	}
	s.learn(decided)
	if decided.Epoch == current.Epoch+1 {
		s.notifyMembers(slices.Concat(current.Members, decided.Members), decided)
	}
	s.wakeRunLoop()
	s.ctx.Log.Info("View decided.", "epoch", decided.Epoch, "primary", decided.Addr(decided.Primary),
		"backups", addresses(decided, decided.Backups()), "members", len(decided.Members))
	return true
}

// notifyMembers notifies all other members of a chosen view, without waiting for them.
func (s *Server) notifyMembers(members []view.Member, decided view.View) {
	for _, m := range members {
		if m.ID == s.acceptor.ID() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
			defer cancel()
			if err := s.call(ctx, m.Addr, "view.learn", &view.LearnRequest{View: decided}, nil); err != nil {
				s.ctx.Log.Debug("Member was not notified of a view.", "peer", m.Addr, "epoch", decided.Epoch, "error", err.Error())
			}
		}()
	}
}

package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/runnerregistry"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// learn stores a chosen view, if it is newer.
func (s *Server) learn(v view.View) {
	if err := s.acceptor.Learn(v); err != nil {
		s.failDisk(err)
	}
}

// takeStep is the run loop's tick: it does what our place in the view asks for.
func (s *Server) takeStep() {
	if s.leadership.HasDiskFailed() {
		return
	}
	v, me := s.acceptor.View(), s.acceptor.ID()
	switch {
	case v.Epoch == 0:
		s.findFleet()
	case v.Primary == me:
		s.lead(v, me)
	case v.IsBackup(me) || v.HasMember(me) && faultinjection.Disabled("only-holders-lead"):
		s.watchPrimary(v, me)
	case v.Addr(me) != s.settings.Addr: // no member, or one that has moved
		s.join(v)
	default:
		s.finder.FindNewerView(v)
	}
}

// decide proposes the next view, and learns what came of it. unanimous: every current member must promise.
func (s *Server) decide(current, next view.View, unanimous bool) bool {
	proposal := &paxos.Proposer{
		ProposerID:    s.acceptor.ID(),
		Call:          s.call,
		Current:       current,
		Value:         next,
		Unanimous:     unanimous,
		StepTimeout:   stepTimeout,
		HighestNumber: s.highestNumber,
	}
	decided, err := proposal.Propose(s.ctx)
	s.highestNumber = proposal.HighestNumber
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

// notifyMembers notifies all other members of a chosen view, and waits for nobody.
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

// isPrimary reports whether we are primary of the epoch now, by a majority's lease.
func (s *Server) isPrimary(v view.View) bool {
	return s.leadership.HoldsLease(v) && s.acceptor.View().Epoch == v.Epoch
}

// becomeReady begins to take writes: the backups are in sync, and the lease is held.
func (s *Server) becomeReady(v view.View) {
	config, err := configuration.Current(s.store.Load())
	if err != nil {
		s.ctx.Log.Error("Stored configuration can't be read.", "error", err.Error())
		return
	}
	s.claims.Load(s.store.Load())
	s.predecessor = ""
	s.mu.Lock()
	s.registry.StartEpoch(runnerregistry.Epoch(v.Epoch, s.ctx.RunID), s.leadership.Standing().LedSince, time.Now(), s.runnerStorage.LoadAll())
	s.config = config
	s.routers.Start(s.routerAddresses.Count(), time.Now())
	s.leadership.BeginWrites() // under s.mu: who sees it and then locks s.mu sees all of the above
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addresses(v, v.Backups()), "sequence", config.Version)
}

// stepDownTimeout is how long a planned stop waits for the backup to lead.
const stepDownTimeout = 2 * time.Second

// StepDown hands the primacy to the backup, which holds all we hold, before a planned stop.
func (s *Server) StepDown() {
	s.pipeline.Step(s.stepDown, stepDownTimeout)
}

// stepDown has the first backup lead. Only the run loop calls it.
func (s *Server) stepDown() {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() || !s.leadership.IsReady() {
		return
	}
	next, ok := s.settings.membershipPolicy().AfterLeaving(v)
	if !ok {
		return
	}
	s.leadership.EndWrites()
	if s.decide(v, next, false) {
		s.notifySuccessor()
	}
}

// notifySuccessor waits until the primary of the newest view knows it: the process that decided it is about to end.
func (s *Server) notifySuccessor() {
	v := s.acceptor.View()
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not notified.", "peer", v.Addr(v.Primary), "error", err.Error())
	}
}

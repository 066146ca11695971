package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/runnerregistry"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
)

// learn takes a decided view, if it is newer.
func (s *Server) learn(v view.View) {
	if err := s.acceptor.Learn(v); err != nil {
		s.failDisk(err)
	}
}

// takeStep is the run loop's tick: it does what our place in the view asks for.
func (s *Server) takeStep() {
	if s.hasDiskFailed() {
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
		s.findNewerView(v)
	}
}

// attemptDue reports whether the next attempt may be made, and if so sets the earliest time of the one after it: a random
// time around the pause from now, so that members that wait for the same don't hinder one another again and again.
func (s *Server) attemptDue(pause time.Duration) bool {
	if time.Now().Before(s.nextAttempt) {
		return false
	}
	s.nextAttempt = time.Now().Add(pause/2 + rand.N(pause))
	return true
}

// askStatus asks every address what it knows of the core.
func (s *Server) askStatus(addrs []string) map[string]view.StatusResponse {
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	var mu sync.Mutex
	statuses := map[string]view.StatusResponse{}
	asked := map[string]bool{}
	var all sync.WaitGroup
	for _, addr := range addrs {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		all.Go(func() {
			if status, err := s.statusOf(ctx, addr); err == nil {
				mu.Lock()
				defer mu.Unlock()
				statuses[addr] = status
			}
		})
	}
	all.Wait()
	return statuses
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
		HighestNumber: s.highestBallot,
	}
	decided, err := proposal.Propose(s.ctx)
	s.highestBallot = proposal.HighestNumber
	if err != nil {
		s.ctx.Log.Warn("View not decided.", "after", current.Epoch, "error", err.Error())
		if errors.Is(err, paxos.ErrOutcomeUnknown) && !faultinjection.Disabled("decision-in-doubt") {
			s.endEpoch(current.Epoch)
		}
		return false
	}
	s.learn(decided)
	if decided.Epoch == current.Epoch+1 {
		s.tellMembers(slices.Concat(current.Members, decided.Members), decided)
	}
	s.wake()
	s.ctx.Log.Info("View decided.", "epoch", decided.Epoch, "primary", decided.Addr(decided.Primary),
		"backups", addrsOf(decided, decided.Backups()), "members", len(decided.Members))
	return true
}

// tellMembers tells all others of a decided view, and waits for nobody.
func (s *Server) tellMembers(members []view.Member, decided view.View) {
	for _, m := range members {
		if m.ID == s.acceptor.ID() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
			defer cancel()
			s.call(ctx, m.Addr, "view.learn", &view.LearnRequest{View: decided}, nil)
		}()
	}
}

// isPrimary reports whether we are primary of the epoch now, by a majority's lease.
func (s *Server) isPrimary(v view.View) bool {
	s.mu.Lock()
	primacy, leads := s.lease, s.epoch == v.Epoch && !s.diskFailed
	s.mu.Unlock()
	return leads && primacy.IsHeld(v.IsMajority) && s.acceptor.View().Epoch == v.Epoch
}

// isReady reports whether we take writes, for as long as we are primary.
func (s *Server) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// setReady begins or ends the taking of writes.
func (s *Server) setReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// becomeReady opens for writes: the backups hold all we hold, and the lease stands.
func (s *Server) becomeReady(v view.View) {
	config, err := configuration.Current(s.store.Load())
	if err != nil {
		s.ctx.Log.Error("Stored configuration can't be read.", "error", err.Error())
		return
	}
	s.claims.Load(s.store.Load())
	s.predecessor = ""
	s.mu.Lock()
	s.registry.StartEpoch(runnerregistry.Epoch(v.Epoch, s.ctx.RunID), s.ledSince, time.Now(), s.runnerStorage.LoadAll())
	s.ready, s.config, s.readySince = true, config, time.Now()
	s.routers.Start(s.rememberedRouters(), s.readySince)
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addrsOf(v, v.Backups()), "sequence", config.Version)
}

// stepDownTimeout is how long a planned stop waits for the backup to lead.
const stepDownTimeout = 2 * time.Second

// StepDown hands the primacy to the backup, which holds all we hold, before a planned stop.
func (s *Server) StepDown() {
	operation := &job{done: make(chan error, 1), step: s.stepDown}
	timeout := time.NewTimer(stepDownTimeout)
	defer timeout.Stop()
	select {
	case s.jobs <- operation:
	case <-timeout.C:
		return
	}
	select {
	case <-operation.done:
	case <-timeout.C:
	}
}

// stepDown has the first backup lead. Only the run loop calls it.
func (s *Server) stepDown() {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() || !s.isReady() {
		return
	}
	next, ok := s.afterLeaving(v)
	if !ok {
		return
	}
	s.setReady(false)
	if s.decide(v, next, false) {
		s.tellSuccessor()
	}
}

// tellSuccessor waits until the primary of the newest view knows it: the process that decided it is about to end.
func (s *Server) tellSuccessor() {
	v := s.acceptor.View()
	ctx, cancel := context.WithTimeout(s.ctx, stepTimeout)
	defer cancel()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not told.", "peer", v.Addr(v.Primary), "error", err.Error())
	}
}

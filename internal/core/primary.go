package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/store"
	"yarrowridge/internal/view"
)

func (s *Server) learn(v view.View) {
	if err := s.voter.Learn(v); err != nil {
		s.failDisk(err)
	}
}

// recoverDisk waits until the disk takes a synced file again, then reads all anew from it.
func (s *Server) recoverDisk() {
	for env.Wait(s.ctx, 2*time.Second) {
		if s.disk.Write("probe", []byte("probe")) != nil {
			continue
		}
		s.storeGate.Lock()
		// A write that got stuck must end before the disk is read anew.
		s.store.Load().Close()
		st, err := store.Open(s.disk, s.ctx.Log)
		if err == nil {
			s.store.Store(st)
			s.mu.Lock()
			s.diskFailed = false
			s.epoch = 0 // leading starts over, with a fresh copy to the backup
			s.mu.Unlock()
			s.ctx.Log.Info("Disk is sound again.")
		}
		s.storeGate.Unlock()
		if err == nil {
			return
		}
	}
}

// takeStep is the run loop's tick: it does what our place in the view asks for.
func (s *Server) takeStep() {
	if s.hasDiskFailed() {
		return
	}
	v, me := s.voter.View(), s.voter.Id()
	switch {
	case v.Epoch == 0:
		s.findFleet()
	case v.Primary == me:
		s.lead(v, me)
	case v.IsBackup(me):
		s.watchPrimary(v, me)
	case v.Addr(me) != s.settings.Addr: // no member, or one that has moved
		s.join(v)
	default:
		s.findNewerView(v)
	}
}

func (s *Server) waitTurn(d time.Duration) bool {
	if time.Now().Before(s.nextAttempt) {
		return false
	}
	s.nextAttempt = time.Now().Add(d/2 + rand.N(d))
	return true
}

// askStatus asks every address what it knows of the core.
func (s *Server) askStatus(to []string) map[string]view.StatusResponse {
	ctx, end := context.WithTimeout(s.ctx, stepTimeout)
	defer end()
	out := map[string]view.StatusResponse{}
	var mu sync.Mutex
	var all sync.WaitGroup
	done := map[string]bool{}
	for _, a := range to {
		if done[a] {
			continue
		}
		done[a] = true
		all.Go(func() {
			var t view.StatusResponse
			if s.call(ctx, a, "view.ask", &view.StatusRequest{}, &t) == nil {
				mu.Lock()
				out[a] = t
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return out
}

// decide tries to bring about the next view, and learns what came of it.
func (s *Server) decide(cur, next view.View, all bool) bool {
	t := &view.Proposal{Proposer: s.voter.Id(), Call: s.call, Current: cur, Next: next, Unanimous: all, StepTimeout: stepTimeout, HighestBallot: s.highestBallot}
	got, err := t.Run(s.ctx)
	s.highestBallot = t.HighestBallot
	if err != nil {
		s.ctx.Log.Warn("View not decided.", "after", cur.Epoch, "trouble", err.Error())
		return false
	}
	s.learn(got)
	if got.Epoch == cur.Epoch+1 {
		to := append(append([]view.Member{}, cur.Members...), got.Members...)
		for _, m := range to {
			if m.Id != s.voter.Id() {
				go func() {
					ctx, end := context.WithTimeout(s.ctx, stepTimeout)
					defer end()
					s.call(ctx, m.Addr, "view.learn", &view.LearnRequest{View: got}, nil)
				}()
			}
		}
	}
	s.wake()
	s.ctx.Log.Info("View decided.", "epoch", got.Epoch, "primary", got.Addr(got.Primary), "backups", addrsOf(got, got.Backups()), "members", len(got.Members))
	return true
}

// isPrimary tells whether we are primary of the epoch now, by a majority's lease.
func (s *Server) isPrimary(v view.View) bool {
	s.mu.Lock()
	ls, ok := s.lease, s.epoch == v.Epoch && !s.diskFailed
	s.mu.Unlock()
	return ok && ls.Stands(v.IsMajority) && s.voter.View().Epoch == v.Epoch
}

func (s *Server) setReady(to bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = to
}

// becomeReady opens for writes: the backup holds all we hold, and the lease stands.
func (s *Server) becomeReady(v view.View) {
	var sheet StoredConfig
	if raw, ok := s.store.Load().Get("layout"); ok {
		if _, err := sheet.UnmarshalMsg(raw); err != nil {
			s.ctx.Log.Error("Stored layout unread.", "trouble", err.Error())
			return
		}
	}
	s.finishedKeys.load(s.store.Load())
	s.mu.Lock()
	s.registry.Begin(registryEpoch(v.Epoch, s.ctx.Born), s.ledSince, time.Now(), s.storedRunners())
	s.ready, s.config, s.readySince = true, sheet, time.Now()
	s.routersBefore = s.rememberedRouters()
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addrsOf(v, v.Backups()), "sequence", sheet.Version)
}

// StepDown hands the primacy to the backup, which holds all we hold, before a planned stop.
//
//	srv.StepDown()
func (s *Server) StepDown() {
	j := &job{done: make(chan error, 1), step: func() {
		v, me := s.voter.View(), s.voter.Id()
		s.mu.Lock()
		ready := s.ready
		s.mu.Unlock()
		if v.Primary != me || !ready {
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
	}}
	t := time.NewTimer(2 * time.Second)
	defer t.Stop()
	select {
	case s.jobs <- j:
	case <-t.C:
		return
	}
	select {
	case <-j.done:
	case <-t.C:
	}
}

// tellSuccessor waits until the primary of the newest view knows it: the process that decided it is about to end.
func (s *Server) tellSuccessor() {
	v := s.voter.View()
	ctx, end := context.WithTimeout(s.ctx, stepTimeout)
	defer end()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not told.", "peer", v.Addr(v.Primary), "trouble", err.Error())
	}
}

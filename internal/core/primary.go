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
	if err := s.vot.Learn(v); err != nil {
		s.trouble(err)
	}
}

// heal waits until the disk takes a synced file again, then reads all anew from it.
func (s *Server) heal() {
	for env.Wait(s.ctx, 2*time.Second) {
		if s.disk.Write("probe", []byte("probe")) != nil {
			continue
		}
		s.keep.Lock()
		// A write that got stuck must end before the disk is read anew.
		s.st.Load().Close()
		st, err := store.Open(s.disk, s.ctx.Log)
		if err == nil {
			s.st.Store(st)
			s.mu.Lock()
			s.sick = false
			s.epoch = 0 // leading starts over, with a fresh copy to the backup
			s.mu.Unlock()
			s.ctx.Log.Info("Disk is sound again.")
		}
		s.keep.Unlock()
		if err == nil {
			return
		}
	}
}

// beat is the run loop's tick: it does what our place in the view asks for.
func (s *Server) beat() {
	if s.isSick() {
		return
	}
	v, me := s.vot.View(), s.vot.Id()
	switch {
	case v.Epoch == 0:
		s.seek()
	case v.Primary == me:
		s.lead(v, me)
	case v.IsBackup(me):
		s.watch(v, me)
	case v.Addr(me) != s.set.Addr: // no member, or one that has moved
		s.join(v)
	default:
		s.lookAround(v)
	}
}

func (s *Server) pause(d time.Duration) bool {
	if time.Now().Before(s.next) {
		return false
	}
	s.next = time.Now().Add(d/2 + rand.N(d))
	return true
}

// ask asks every address what it knows of the core.
func (s *Server) ask(to []string) map[string]view.StatusResponse {
	ctx, end := context.WithTimeout(s.ctx, step)
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
	t := &view.Proposal{Proposer: s.vot.Id(), Call: s.call, Current: cur, Next: next, Unanimous: all, StepTimeout: step, HighestBallot: s.top}
	got, err := t.Run(s.ctx)
	s.top = t.HighestBallot
	if err != nil {
		s.ctx.Log.Warn("View not decided.", "after", cur.Epoch, "trouble", err.Error())
		return false
	}
	s.learn(got)
	if got.Epoch == cur.Epoch+1 {
		to := append(append([]view.Member{}, cur.Members...), got.Members...)
		for _, m := range to {
			if m.Id != s.vot.Id() {
				go func() {
					ctx, end := context.WithTimeout(s.ctx, step)
					defer end()
					s.call(ctx, m.Addr, "view.learn", &view.LearnRequest{View: got}, nil)
				}()
			}
		}
	}
	s.hurry()
	s.ctx.Log.Info("View decided.", "epoch", got.Epoch, "primary", got.Addr(got.Primary), "backups", addrs(got, got.Backups()), "members", len(got.Members))
	return true
}

// stands tells whether we are primary of the epoch now, by a majority's lease.
func (s *Server) stands(v view.View) bool {
	s.mu.Lock()
	ls, ok := s.ls, s.epoch == v.Epoch && !s.sick
	s.mu.Unlock()
	return ok && ls.Stands(v.IsMajority) && s.vot.View().Epoch == v.Epoch
}

func (s *Server) setReady(to bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = to
}

// start opens for writes: the backup holds all we hold, and the lease stands.
func (s *Server) start(v view.View) {
	var sheet StoredConfig
	if raw, ok := s.st.Load().Get("layout"); ok {
		if _, err := sheet.UnmarshalMsg(raw); err != nil {
			s.ctx.Log.Error("Stored layout unread.", "trouble", err.Error())
			return
		}
	}
	s.ran.load(s.st.Load())
	s.mu.Lock()
	s.runners.Begin(registryEpoch(v.Epoch, s.ctx.Born), s.began, time.Now(), s.storedRunners())
	s.ready, s.sheet, s.since = true, sheet, time.Now()
	s.routersBefore = s.rememberedRouters()
	s.mu.Unlock()
	s.ctx.Log.Info("Primary is ready.", "epoch", v.Epoch, "backups", addrs(v, v.Backups()), "sequence", sheet.Version)
}

// Yield hands the primacy to the backup, which holds all we hold, before a planned stop.
//
//	srv.Yield()
func (s *Server) Yield() {
	j := &job{done: make(chan error, 1), ctl: func() {
		v, me := s.vot.View(), s.vot.Id()
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
	case s.box <- j:
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
	v := s.vot.View()
	ctx, end := context.WithTimeout(s.ctx, step)
	defer end()
	if err := s.call(ctx, v.Addr(v.Primary), "view.learn", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Warn("The next primary was not told.", "peer", v.Addr(v.Primary), "trouble", err.Error())
	}
}

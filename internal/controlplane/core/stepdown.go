package core

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// stepDownTimeout is how long a planned stop waits for the backup to lead.
const stepDownTimeout = 2 * time.Second

// StepDown hands the primacy to the first backup, which has all that we have, before a planned stop. It waits for that, or for
// stepDownTimeout. Any goroutine may call it but the run loop's.
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

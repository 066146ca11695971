package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// announceTimeout is how long a router may take to answer when it is told the view.
const announceTimeout = 500 * time.Millisecond

// announceTo tells the view to the router at an address. Whether it answers does not matter: it is told again.
func (s *Service) announceTo(addr string, v view.View) {
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	if err := s.caller.Call(ctx, addr, "node.view", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Debug("Silent router was not told the view.", "peer", addr, "error", err.Error())
	}
}

package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// announceTimeout bounds the call that sends the view to a router.
const announceTimeout = 500 * time.Millisecond

// announceTo sends the view to the router at an address. A failure is only logged, since the view is sent again later.
func (s *Service) announceTo(addr string, v view.View) {
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	if err := s.caller.Call(ctx, addr, "node.view", &view.LearnRequest{View: v}, nil); err != nil {
		s.ctx.Log.Debug("View not sent to a router without a lease.", "peer", addr, "error", err.Error())
	}
}

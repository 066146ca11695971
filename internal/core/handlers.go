package core

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

func (s *Server) viewHand(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ans, err := s.vote(kind, body)
	if err != nil && !isFault(err) {
		s.trouble(err)
		return nil, wire.Fault{Code: DiskBad}
	}
	return ans, err
}

func isFault(err error) bool {
	_, ok := err.(wire.Fault)
	return ok
}

func (s *Server) vote(kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return s.vot.Status(s.set.Addr, s.ctx.Zone), nil
	case "view.prep":
		return wire.On(body, s.vot.Prepare)
	case "view.pick":
		return wire.On(body, s.vot.Accept)
	case "view.learn":
		return wire.On(body, func(in *view.LearnRequest) (*Empty, error) { return &Empty{}, s.vot.Learn(in.View) })
	case "view.renew":
		return wire.On(body, s.vot.Renew)
	case "view.release":
		return wire.On(body, func(in *view.ReleaseRequest) (*Empty, error) { s.vot.Release(in); return &Empty{}, nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

func (s *Server) coreHand(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ctx, end := context.WithTimeout(ctx, 4*time.Second)
	defer end()
	switch kind {
	case "core.hold":
		return wire.On(body, s.hold)
	case "core.copy":
		return wire.On(body, s.copy)
	case "core.join":
		return wire.On(body, func(in *JoinRequest) (*Empty, error) { return s.takeJoin(ctx, in) })
	case "core.beat":
		return wire.On(body, func(in *HeartbeatRequest) (*HeartbeatResponse, error) { return s.takeBeat(ctx, in) })
	case "core.runner":
		return wire.On(body, func(in *RunnerHeartbeat) (*Empty, error) { return s.takeRunner(ctx, in) })
	case "core.layout":
		return wire.On(body, s.giveLayout)
	case "core.write":
		return wire.On(body, func(in *WriteRequest) (*WriteResponse, error) { return s.write(ctx, in) })
	case "core.take":
		return wire.On(body, func(in *ClaimRequest) (*ClaimResponse, error) { return s.take(ctx, in) })
	case "core.settle":
		return wire.On(body, func(in *SettleRequest) (*Empty, error) { return s.settle(ctx, in) })
	case "core.move":
		return wire.On(body, func(in *QuotaMove) (*QuotaMoveResult, error) { return s.move(ctx, in) })
	case "core.moves":
		return wire.On(body, func(in *QuotaMovesRequest) (*QuotaMovesResponse, error) { return s.moveAll(ctx, in) })
	case "core.sessions":
		return wire.On(body, func(*ConfigRequest) (*SessionDirectory, error) { return s.giveSessions() })
	case "core.sessions.keep":
		return wire.On(body, func(in *SessionDirectory) (*Empty, error) { return s.keepSessions(ctx, in) })
	case "core.peek":
		return wire.On(body, func(*StateRequest) (*State, error) { return s.State(), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// prime bounces what only a ready primary may answer.
func (s *Server) prime() error {
	v := s.vot.View()
	if v.Primary != s.vot.Id() {
		return wire.Fault{Code: NotPrimary}
	}
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready || !s.stands(v) {
		return wire.Fault{Code: NotReady}
	}
	return nil
}

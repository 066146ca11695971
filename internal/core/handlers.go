package core

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

func (s *Server) handleView(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ans, err := s.vote(kind, body)
	if err != nil && !isFault(err) {
		s.failDisk(err)
		return nil, wire.Fault{Code: DiskFailed}
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
		return s.voter.Status(s.settings.Addr, s.ctx.Zone), nil
	case "view.prep":
		return wire.On(body, s.voter.Prepare)
	case "view.pick":
		return wire.On(body, s.voter.Accept)
	case "view.learn":
		return wire.On(body, func(in *view.LearnRequest) (*Empty, error) { return &Empty{}, s.voter.Learn(in.View) })
	case "view.renew":
		return wire.On(body, s.voter.Renew)
	case "view.release":
		return wire.On(body, func(in *view.ReleaseRequest) (*Empty, error) { s.voter.Release(in); return &Empty{}, nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

func (s *Server) handleCore(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ctx, end := context.WithTimeout(ctx, 4*time.Second)
	defer end()
	switch kind {
	case "core.hold":
		return wire.On(body, s.takeBatch)
	case "core.copy":
		return wire.On(body, s.takeSnapshot)
	case "core.join":
		return wire.On(body, func(in *JoinRequest) (*Empty, error) { return s.takeJoin(ctx, in) })
	case "core.beat":
		return wire.On(body, func(in *HeartbeatRequest) (*HeartbeatResponse, error) { return s.takeHeartbeat(ctx, in) })
	case "core.runner":
		return wire.On(body, func(in *RunnerHeartbeat) (*Empty, error) { return s.takeRunner(ctx, in) })
	case "core.layout":
		return wire.On(body, s.readConfig)
	case "core.write":
		return wire.On(body, func(in *WriteRequest) (*WriteResponse, error) { return s.writeConfig(ctx, in) })
	case "core.take":
		return wire.On(body, func(in *ClaimRequest) (*ClaimResponse, error) { return s.takeClaim(ctx, in) })
	case "core.settle":
		return wire.On(body, func(in *SettleRequest) (*Empty, error) { return s.settleClaim(ctx, in) })
	case "core.move":
		return wire.On(body, func(in *QuotaMove) (*QuotaMoveResult, error) { return s.move(ctx, in) })
	case "core.moves":
		return wire.On(body, func(in *QuotaMovesRequest) (*QuotaMovesResponse, error) { return s.moveAll(ctx, in) })
	case "core.sessions":
		return wire.On(body, func(*ConfigRequest) (*SessionDirectory, error) { return s.readSessions() })
	case "core.sessions.keep":
		return wire.On(body, func(in *SessionDirectory) (*Empty, error) { return s.storeSessions(ctx, in) })
	case "core.peek":
		return wire.On(body, func(*StateRequest) (*State, error) { return s.State(), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// requirePrimary bounces what only a ready primary may answer.
func (s *Server) requirePrimary() error {
	v := s.voter.View()
	if v.Primary != s.voter.Id() {
		return wire.Fault{Code: NotPrimary}
	}
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready || !s.isPrimary(v) {
		return wire.Fault{Code: NotReady}
	}
	return nil
}

package core

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/strike"
	"yarrowridge/internal/view"
	"yarrowridge/internal/wire"
)

// handleTimeout bounds the work for one call.
const handleTimeout = 4 * time.Second

// handleView answers calls about the view. An error of the voter's is one of its disk.
func (s *Server) handleView(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	response, err := s.vote(kind, body)
	if err != nil && !isFault(err) {
		s.failDisk(err)
		return nil, wire.Fault{Code: DiskFailed}
	}
	return response, err
}

// isFault tells whether an error is a response that says no.
func isFault(err error) bool {
	_, ok := err.(wire.Fault)
	return ok
}

// vote has the voter answer a call.
func (s *Server) vote(kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		return s.voter.Status(s.settings.Addr, s.ctx.Zone), nil
	case "view.prep":
		return wire.On(body, s.voter.Prepare)
	case "view.pick":
		return wire.On(body, s.voter.Accept)
	case "view.learn":
		return wire.On(body, func(request *view.LearnRequest) (*Empty, error) { return &Empty{}, s.voter.Learn(request.View) })
	case "view.renew":
		return wire.On(body, s.voter.Renew)
	case "view.release":
		return wire.On(body, func(request *view.ReleaseRequest) (*Empty, error) { s.voter.Release(request); return &Empty{}, nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// handleCore answers calls of routers, clients and other cores.
func (s *Server) handleCore(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	switch kind {
	case "core.hold":
		return wire.On(body, s.takeBatch)
	case "core.copy":
		return wire.On(body, s.takeSnapshot)
	case "core.join":
		return wire.On(body, func(request *JoinRequest) (*Empty, error) { return s.takeJoin(ctx, request) })
	case "core.beat":
		return wire.On(body, func(request *HeartbeatRequest) (*HeartbeatResponse, error) { return s.takeHeartbeat(ctx, request) })
	case "core.runner":
		return wire.On(body, func(request *RunnerHeartbeat) (*Empty, error) { return s.takeRunner(ctx, request) })
	case "core.layout":
		return wire.On(body, s.readConfig)
	case "core.write":
		return wire.On(body, func(request *WriteRequest) (*WriteResponse, error) { return s.writeConfig(ctx, request) })
	case "core.take":
		return wire.On(body, func(request *ClaimRequest) (*ClaimResponse, error) { return s.takeClaim(ctx, request) })
	case "core.settle":
		return wire.On(body, func(request *SettleRequest) (*Empty, error) { return s.settleClaim(ctx, request) })
	case "core.move":
		return wire.On(body, func(move *QuotaMove) (*QuotaMoveResult, error) { return s.move(ctx, move) })
	case "core.moves":
		return wire.On(body, func(request *QuotaMovesRequest) (*QuotaMovesResponse, error) { return s.moveAll(ctx, request) })
	case "core.sessions":
		return wire.On(body, func(*ConfigRequest) (*SessionDirectory, error) { return s.readSessions() })
	case "core.sessions.keep":
		return wire.On(body, func(directory *SessionDirectory) (*Empty, error) { return s.storeSessions(ctx, directory) })
	case "core.peek":
		return wire.On(body, func(*StateRequest) (*State, error) { return s.State(), nil })
	}
	return nil, wire.Fault{Code: "unknown-kind"}
}

// requirePrimary rejects what only a ready primary may answer.
func (s *Server) requirePrimary() error {
	v := s.voter.View()
	if v.Primary != s.voter.Id() {
		return wire.Fault{Code: NotPrimary}
	}
	if (!s.isReady() || !s.isPrimary(v)) && !strike.Out("read-lease") {
		return wire.Fault{Code: NotReady}
	}
	return nil
}

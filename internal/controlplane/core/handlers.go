package core

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/handover"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// handleTimeout bounds the handling of one call.
const handleTimeout = 4 * time.Second

// handleView handles calls about the view. An error of the acceptor that is not a rejection is a disk error.
func (s *Server) handleView(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.reach":
		return wire.HandleTyped(body, func(request *handover.ReachRequest) (*handover.ReachResponse, error) {
			return s.handover.HandleReach(ctx, request, s.acceptor.View()), nil
		})
	case "view.relay":
		return wire.HandleTyped(body, func(request *paxos.ReleaseRequest) (*coreapi.Empty, error) {
			return s.relayRelease(ctx, request)
		})
	}
	response, err := s.callAcceptor(kind, body)
	if err != nil && !isRejection(err) {
		s.failDisk(err)
		return nil, wire.StatusError{Code: coreapi.CodeDiskFailed}
	}
	return response, err
}

// isRejection reports whether an error is a response to the caller rather than a failure of this process.
func isRejection(err error) bool {
	_, ok := err.(wire.StatusError)
	return ok
}

// callAcceptor passes a call to the acceptor.
func (s *Server) callAcceptor(kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "view.ask":
		status := s.acceptor.Status(s.settings.Addr, s.ctx.Zone)
		status.Run = s.runID
		return status, nil
	case "view.prep":
		return wire.HandleTyped(body, s.acceptor.Prepare)
	case "view.pick":
		return wire.HandleTyped(body, s.acceptor.Accept)
	case "view.learn":
		return wire.HandleTyped(body, func(request *view.LearnRequest) (*coreapi.Empty, error) {
			return &coreapi.Empty{}, s.acceptor.Learn(request.View)
		})
	case "view.renew":
		return wire.HandleTyped(body, s.acceptor.Renew)
	case "view.release":
		return wire.HandleTyped(body, func(request *paxos.ReleaseRequest) (*coreapi.Empty, error) {
			s.acceptor.Release(request)
			return &coreapi.Empty{}, nil
		})
	}
	return nil, wire.StatusError{Code: wire.CodeUnknownKind}
}

// handleCore handles calls from routers, clients and other cores.
func (s *Server) handleCore(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	switch kind {
	case "core.hold":
		return wire.HandleTyped(body, s.backup.HandleReplicate)
	case "core.copy":
		return wire.HandleTyped(body, s.backup.HandleSnapshot)
	case "core.join":
		return wire.HandleTyped(body, func(request *JoinRequest) (*coreapi.Empty, error) { return s.handleJoin(ctx, request) })
	case "core.peek":
		return wire.HandleTyped(body, func(*coreapi.StateRequest) (*coreapi.State, error) { return s.State(), nil })
	}
	return s.service.Handle(ctx, kind, body)
}

// requirePrimary returns an error unless this process is the primary, accepts writes and holds the lease.
func (s *Server) requirePrimary() error {
	v := s.acceptor.View()
	if v.Primary != s.acceptor.ID() {
		return wire.StatusError{Code: coreapi.CodeNotPrimary}
	}
	if (!s.leadership.IsReady() || !s.isPrimary(v)) && !faultinjection.Disabled("read-lease") {
		return wire.StatusError{Code: coreapi.CodeNotReady}
	}
	return nil
}

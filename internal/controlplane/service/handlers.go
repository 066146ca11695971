package service

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// Handle dispatches a call from a router, a runner or an operator to its handler, and returns the response. For a kind that
// the service does not implement, the error has wire.CodeUnknownKind.
func (s *Service) Handle(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	switch kind {
	case "core.beat":
		return wire.HandleTyped(body, func(request *coreapi.HeartbeatRequest) (*coreapi.HeartbeatResponse, error) {
			return s.handleRouterHeartbeat(ctx, request)
		})
	case "core.runner":
		return wire.HandleTyped(body, func(request *coreapi.RunnerHeartbeat) (*coreapi.Empty, error) {
			return s.handleRunnerHeartbeat(ctx, request)
		})
	case "core.layout":
		return wire.HandleTyped(body, s.readConfig)
	case "core.write":
		return wire.HandleTyped(body, func(request *coreapi.WriteRequest) (*coreapi.WriteResponse, error) {
			return s.writeConfig(ctx, request)
		})
	case "core.take":
		return wire.HandleTyped(body, func(request *coreapi.ClaimRequest) (*coreapi.ClaimResponse, error) { return s.claimKey(ctx, request) })
	case "core.settle":
		return wire.HandleTyped(body, func(request *coreapi.CompleteClaimRequest) (*coreapi.Empty, error) {
			return s.completeClaim(ctx, request)
		})
	case "core.move":
		return wire.HandleTyped(body, func(request *coreapi.QuotaTransfer) (*coreapi.QuotaTransferResult, error) {
			return s.transfer(ctx, request)
		})
	case "core.moves":
		return wire.HandleTyped(body, func(request *coreapi.QuotaTransfersRequest) (*coreapi.QuotaTransfersResponse, error) {
			return s.transferAll(ctx, request)
		})
	case "core.sessions":
		return wire.HandleTyped(body, func(*coreapi.ConfigRequest) (*coreapi.SessionDirectory, error) { return s.readSessions() })
	case "core.sessions.keep":
		return wire.HandleTyped(body, func(directory *coreapi.SessionDirectory) (*coreapi.Empty, error) {
			return s.storeSessions(ctx, directory)
		})
	}
	return nil, wire.StatusError{Code: wire.CodeUnknownKind}
}

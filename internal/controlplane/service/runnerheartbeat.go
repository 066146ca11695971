package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/wire"
)

// handleRunnerHeartbeat takes a runner's heartbeat. A change of its state is pushed to the first routers of every zone before it is
// acknowledged, so that it outlives this process.
func (s *Service) handleRunnerHeartbeat(ctx context.Context, request *coreapi.RunnerHeartbeat) (*coreapi.Empty, error) {
	if err := s.host.RequirePrimary(); err != nil {
		return nil, err
	}
	if !isValidHeartbeat(request.Runner) {
		return nil, wire.StatusError{Code: coreapi.CodeInvalidRunner}
	}
	notified := s.registry.RecordHeartbeat(request.Runner, time.Now())
	// What is stored is the registry's newest: this heartbeat may have been overtaken by a later one.
	newest, _ := s.registry.Lookup(request.Runner.ID)
	if err := s.runnerStorage.Save(ctx, newest); err != nil {
		return nil, err
	}
	if notified != nil {
		<-notified
	}
	return &coreapi.Empty{}, nil
}

// submitRunner is Submit of what is stored of a runner.
func (s *Service) submitRunner(ctx context.Context, apply func(*transaction.Tx) error) error {
	return s.host.Submit(ctx, pipeline.ClassRunner, 1, apply)
}

// isValidHeartbeat reports whether a runner has a name and is in a state that runners say of themselves.
func isValidHeartbeat(runner routing.Runner) bool {
	switch runner.State {
	case routing.RunnerReady, routing.RunnerDraining, routing.RunnerGone:
		return runner.ID != ""
	default:
		return false
	}
}

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

// handleRunnerHeartbeat records a runner's heartbeat. A change of the runner's state is pushed to the first routers of every
// zone before the heartbeat is acknowledged, so that it survives a crash of this process.
func (s *Service) handleRunnerHeartbeat(ctx context.Context, request *coreapi.RunnerHeartbeat) (*coreapi.Empty, error) {
	if err := s.host.RequirePrimary(); err != nil {
		return nil, err
	}
	if !isValidHeartbeat(request.Runner) {
		return nil, wire.StatusError{Code: coreapi.CodeInvalidRunner}
	}
	notified := s.registry.RecordHeartbeat(request.Runner, time.Now())
	// The registry's newest state is stored, since a later heartbeat may have overtaken this one.
	newest, _ := s.registry.Lookup(request.Runner.ID)
	if err := s.runnerStorage.Save(ctx, newest); err != nil {
		return nil, err
	}
	if notified != nil {
		<-notified
	}
	return &coreapi.Empty{}, nil
}

// submitRunner submits an operation on stored runners and waits until it is committed.
func (s *Service) submitRunner(ctx context.Context, apply func(*transaction.Tx) error) error {
	return s.host.Submit(ctx, pipeline.ClassRunner, 1, apply)
}

// isValidHeartbeat reports whether a runner has an ID and a state that a runner can report itself.
func isValidHeartbeat(runner routing.Runner) bool {
	switch runner.State {
	case routing.RunnerReady, routing.RunnerDraining, routing.RunnerGone:
		return runner.ID != ""
	default:
		return false
	}
}

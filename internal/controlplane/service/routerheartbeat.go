package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// runQueryTimeout is how long a router may take to say which run of it there is.
const runQueryTimeout = 250 * time.Millisecond

// handleRouterHeartbeat renews a router's lease, or ends it, and responds with what has changed.
func (s *Service) handleRouterHeartbeat(ctx context.Context, request *coreapi.HeartbeatRequest) (*coreapi.HeartbeatResponse, error) {
	if err := s.host.RequirePrimary(); err != nil {
		return nil, err
	}
	router := request.Node
	if !request.Leaving && s.hasRunEnded(ctx, router) {
		return nil, wire.StatusError{Code: coreapi.CodeRunEnded}
	}
	response, newRun, err := s.recordHeartbeat(request)
	if err != nil {
		return nil, err
	}
	if request.Leaving {
		if err := s.coolHolder(ctx, coreapi.Holder(router)); err != nil {
			return nil, err
		}
		return response, nil
	}
	if newRun {
		s.replacedRuns.Add(router, time.Duration(request.AgeMs)*time.Millisecond)
	}
	s.routerAddresses.Remember(router)
	return response, nil
}

// hasRunEnded reports whether a heartbeat is of a run that another one at the same address has replaced: it was delayed in
// the network. Whoever listens there says which run it is; where nobody answers, the heartbeat is taken.
func (s *Service) hasRunEnded(ctx context.Context, router coreapi.Node) bool {
	s.mu.Lock()
	hasOtherRun := s.routers.HasOtherRun(router)
	s.mu.Unlock()
	if !hasOtherRun || faultinjection.Disabled("run-query") {
		return false
	}
	run, err := s.routerRunAt(ctx, router.Addr)
	return err == nil && run != router.Run
}

// routerRunAt asks the router that listens at an address which run of it there is. It waits for runQueryTimeout at most.
func (s *Service) routerRunAt(ctx context.Context, addr string) (run uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, runQueryTimeout)
	defer cancel()
	var listening coreapi.Node
	err = s.caller.Call(ctx, addr, "node.run", &coreapi.Empty{}, &listening)
	return listening.Run, err
}

// fillScarceTenants puts the scarce tenants into the response, unless the router has this very list. The caller holds s.mu.
func (s *Service) fillScarceTenants(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse) {
	tenants, version := s.scarcity.Snapshot()
	response.ScarceVersion = version
	if request.ScarceVersion == version {
		response.ScarceUnchanged = true
		return
	}
	response.ScarceTenants = tenants
}

// recordHeartbeat records a router's heartbeat and makes the response, one consistent picture under the server's lock. The
// locks of the registry and of the runners' statistics are taken within it. newRun reports whether the router's run was not
// known. The only error is routerleases.ErrNameTaken.
func (s *Service) recordHeartbeat(request *coreapi.HeartbeatRequest) (response *coreapi.HeartbeatResponse, newRun bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	newRun, err = s.routers.RecordHeartbeat(request, now)
	if err != nil {
		return nil, false, err
	}
	response = &coreapi.HeartbeatResponse{ConfigVersion: s.config.Version}
	if v := s.host.View(); v.Epoch != request.ViewEpoch {
		response.View = v
	}
	s.routers.FillResponse(request, response, now)
	s.registry.FillResponse(request, response, now)
	s.runnerOutliers.Record(request.RunnerStats, now)
	response.Failing = s.runnerOutliers.Failing(now)
	s.runnerLatency.Record(request.RunnerStats, now)
	response.LowLatencyRunners = s.runnerLatency.LowLatencyRunners(s.registry.List, now)
	s.fillScarceTenants(request, response)
	return response, newRun, nil
}

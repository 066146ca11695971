package service

import (
	"context"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/transport/wire"
)

// runQueryTimeout bounds a query to a router for its run.
const runQueryTimeout = 250 * time.Millisecond

// handleRouterHeartbeat renews a router's lease, or ends it if the router is leaving. It responds with the shared state that the
// router does not have yet.
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
		if err := s.startCooling(ctx, coreapi.Holder(router)); err != nil {
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

// hasRunEnded reports whether a heartbeat comes from a run that another run at the same address has already replaced, which is
// the case if the heartbeat was delayed in the network. To find out, it asks the process that listens at the address for its
// run. It returns false if that process does not respond, so that the heartbeat is accepted.
func (s *Service) hasRunEnded(ctx context.Context, router coreapi.Node) bool {
	s.mu.Lock()
	hasOtherRun := s.routers.HasOtherRun(router)
	s.mu.Unlock()
	if !hasOtherRun || faultinjection.Disabled("run-query") {
		return false
	}
	run, err := s.queryRun(ctx, router.Addr)
	return err == nil && run != router.Run
}

// queryRun asks the router that listens at an address for its run. It waits for at most runQueryTimeout.
func (s *Service) queryRun(ctx context.Context, addr string) (run uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, runQueryTimeout)
	defer cancel()
	var router coreapi.Node
	err = s.caller.Call(ctx, addr, "node.run", &coreapi.Empty{}, &router)
	return router.Run, err
}

// fillScarceTenants adds the list of scarce tenants to the response, unless the router already has this version. The caller
// must hold s.mu.
func (s *Service) fillScarceTenants(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse) {
	tenants, version := s.scarcity.Snapshot()
	response.ScarceVersion = version
	if request.ScarceVersion == version {
		response.ScarceUnchanged = true
		return
	}
	response.ScarceTenants = tenants
}

// recordHeartbeat records a router's heartbeat and returns the response. The response is a consistent snapshot since s.mu is
// held throughout; the locks of the registry and of the runners' statistics are acquired while it is held. newRun reports
// whether the router's run was unknown before. The only error is routerleases.ErrNameTaken.
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

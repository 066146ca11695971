package core

import (
	"context"
	"sort"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// runTimeout is how long a node may take to say which run of it there is.
const runTimeout = 250 * time.Millisecond

// isEndedRun reports whether a heartbeat is of a run that another one at the same address has replaced: it was long under
// way. Believed, it would set the units of the living run cooling. Whoever listens there says which run it is;
// where nobody answers, the heartbeat is believed.
func (s *Server) isEndedRun(ctx context.Context, n coreapi.Node) bool {
	s.mu.Lock()
	known := s.nodes[n.Name]
	s.mu.Unlock()
	if known == nil || known.node.Addr != n.Addr || known.node.Run == n.Run {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var there coreapi.Node
	err := s.call(ctx, n.Addr, "node.run", &coreapi.Empty{}, &there)
	return err == nil && there.Run != n.Run
}

// takeHeartbeat renews a node's lease, or ends it, and tells the node what has changed.
func (s *Server) takeHeartbeat(ctx context.Context, request *coreapi.HeartbeatRequest) (*coreapi.HeartbeatResponse, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	n := request.Node
	if !request.Leaving && s.isEndedRun(ctx, n) {
		return nil, wire.StatusError{Code: coreapi.CodeRunEnded}
	}
	response, newRun, err := s.noteHeartbeat(request)
	if err != nil {
		return nil, err
	}
	if request.Leaving {
		if err := s.coolHolder(ctx, coreapi.Holder(n)); err != nil {
			return nil, err
		}
		return response, nil
	}
	if newRun {
		s.replaceHolder(n, time.Duration(request.AgeMs)*time.Millisecond)
	}
	s.rememberAddress(n)
	return response, nil
}

// noteHeartbeat notes what a heartbeat says and makes the response. newRun: the node's run was not known.
func (s *Server) noteHeartbeat(request *coreapi.HeartbeatRequest) (response *coreapi.HeartbeatResponse, newRun bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.nodes[request.Node.Name]
	if known != nil && known.node.Addr != request.Node.Addr && time.Since(known.heardAt) <= nodeLeaseTerm {
		return nil, false, wire.StatusError{Code: coreapi.CodeNameTaken} // a router that moved gets its name once the lease is over
	}
	newRun = known == nil || known.node.Run != request.Node.Run
	s.noteNode(request, known)
	s.dropExpiredNodes()
	response = &coreapi.HeartbeatResponse{ConfigVersion: s.config.Version, NodesVersion: s.nodesVersion}
	if v := s.acceptor.View(); v.Epoch != request.ViewEpoch {
		response.View = v
	}
	s.tellNodes(request, response)
	s.registry.FillResponse(request, response, time.Now())
	s.runnerOutliers.Record(request.RunnerStats, time.Now())
	response.Failing = s.runnerOutliers.Failing(time.Now())
	s.runnerLatency.Record(request.RunnerStats, time.Now())
	response.LowLatencyRunners = s.runnerLatency.LowLatencyRunners(s.registry.List, time.Now())
	response.ScarceTenants = s.scarceTenants()
	return response, newRun, nil
}

// noteNode renews or ends a node's lease; the caller holds the lock.
func (s *Server) noteNode(request *coreapi.HeartbeatRequest, known *liveNode) {
	n := request.Node
	switch {
	case request.Leaving:
		if known != nil && known.node.Run == n.Run {
			delete(s.nodes, n.Name)
			s.nodesVersion++
		}
	case known == nil || known.node != n:
		if known == nil || !saysSame(known.node, n) {
			s.nodesVersion++
		}
		s.nodes[n.Name] = &liveNode{node: n, heardAt: time.Now()}
	default:
		known.heardAt = time.Now()
	}
}

// tellNodes names the live nodes where they have changed. A primary that has just begun does not know all of them
// yet, so it names none and tells how many there were. The caller holds the lock.
func (s *Server) tellNodes(request *coreapi.HeartbeatRequest, response *coreapi.HeartbeatResponse) {
	switch {
	case time.Since(s.readySince) <= nodeLeaseTerm:
		response.PreviousRouters = s.routersBefore
	case request.NodesVersion != s.nodesVersion:
		response.NodesChanged = true
		response.Nodes = s.liveNodes()
	}
}

// saysSame reports whether two descriptions of a node say the same to its peers.
func saysSame(a, b coreapi.Node) bool {
	a.ConfigVersion, b.ConfigVersion = 0, 0
	return a == b
}

// dropExpiredNodes drops nodes whose lease ran out; the caller holds the lock.
func (s *Server) dropExpiredNodes() {
	for name, known := range s.nodes {
		if time.Since(known.heardAt) > nodeLeaseTerm {
			delete(s.nodes, name)
			s.nodesVersion++
		}
	}
}

// liveNodes lists the nodes whose lease runs, sorted by name; the caller holds the lock.
func (s *Server) liveNodes() []coreapi.Node {
	var nodes []coreapi.Node
	for _, known := range s.nodes {
		nodes = append(nodes, known.node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

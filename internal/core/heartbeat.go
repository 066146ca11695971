package core

import (
	"context"
	"sort"
	"strconv"
	"time"

	"yarrowridge/internal/wire"
)

// runWait is how long a node may take to say which run of it there is.
const runWait = 250 * time.Millisecond

// isEndedRun tells whether a beat is of a run that another one at the same address has replaced: it was long under
// way. Believed, it would set the units of the living run cooling. Whoever listens there says which run it is;
// where nobody answers, the beat is believed.
func (s *Server) isEndedRun(ctx context.Context, n Node) bool {
	s.mu.Lock()
	known := s.nodes[n.Name]
	s.mu.Unlock()
	if known == nil || known.node.Addr != n.Addr || known.node.Run == n.Run {
		return false
	}
	ctx, end := context.WithTimeout(ctx, runWait)
	defer end()
	var there Node
	err := s.call(ctx, n.Addr, "node.run", &Empty{}, &there)
	return err == nil && there.Run != n.Run
}

func (s *Server) takeHeartbeat(ctx context.Context, in *HeartbeatRequest) (*HeartbeatResponse, error) {
	if err := s.requirePrimary(); err != nil {
		return nil, err
	}
	n := in.Node
	if !in.Leaving && s.isEndedRun(ctx, n) {
		return nil, wire.Fault{Code: RunEnded}
	}
	s.mu.Lock()
	old := s.nodes[n.Name]
	if old != nil && old.node.Addr != n.Addr && time.Since(old.heardAt) <= nodeLeaseTerm {
		s.mu.Unlock()
		return nil, wire.Fault{Code: NameTaken} // a router that moved gets its name once the lease is over
	}
	newRun := old == nil || old.node.Run != n.Run
	switch {
	case in.Leaving:
		if old != nil && old.node.Run == n.Run {
			delete(s.nodes, n.Name)
			s.nodesVersion++
		}
	case old == nil || old.node != n:
		if old == nil || !saysSame(old.node, n) {
			s.nodesVersion++
		}
		s.nodes[n.Name] = &liveNode{n, time.Now()}
	default:
		old.heardAt = time.Now()
	}
	if !in.Leaving {
		defer s.rememberAddress(n)
	}
	if newRun && !in.Leaving {
		defer s.replaceHolder(n, time.Duration(in.AgeMs)*time.Millisecond)
	}
	s.dropExpiredNodes()
	out := &HeartbeatResponse{ConfigVersion: s.config.Version, NodesVersion: s.nodesVersion}
	if v := s.voter.View(); v.Epoch != in.ViewEpoch {
		out.View = v
	}
	s.tellNodes(in, out)
	s.registry.Tell(in, out, time.Now())
	s.health.note(in.Tallies, time.Now())
	out.Failing = s.health.failing(time.Now())
	out.ScarceTenants = s.shortTenants()
	s.mu.Unlock()
	if in.Leaving {
		if err := s.coolHolder(ctx, Holder(n)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// tellNodes names the live nodes where they have changed. A primary that has just begun does not know all of them
// yet, so it names none and tells how many there were. The caller holds the lock.
func (s *Server) tellNodes(in *HeartbeatRequest, out *HeartbeatResponse) {
	switch {
	case time.Since(s.readySince) <= nodeLeaseTerm:
		out.RoutersBefore = s.routersBefore
	case in.NodesVersion != s.nodesVersion:
		out.NodesChanged = true
		out.Nodes = s.liveNodes()
	}
}

// saysSame tells whether two words of a node say the same to its peers.
func saysSame(a, b Node) bool {
	a.ConfigVersion, b.ConfigVersion = 0, 0
	return a == b
}

// dropExpiredNodes drops nodes whose lease ran out; the caller holds the lock.
func (s *Server) dropExpiredNodes() {
	for k, seat := range s.nodes {
		if time.Since(seat.heardAt) > nodeLeaseTerm {
			delete(s.nodes, k)
			s.nodesVersion++
		}
	}
}

func (s *Server) liveNodes() []Node {
	var out []Node
	for _, seat := range s.nodes {
		out = append(out, seat.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Holder names one run of a node as the holder of units. The address is part of it: a newer run
// at the same address proves the older one gone, since only one process can listen there.
//
//	who := core.Holder(node)
func Holder(n Node) string {
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Run, 16)
}

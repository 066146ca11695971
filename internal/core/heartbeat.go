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

func (s *Server) takeBeat(ctx context.Context, in *HeartbeatRequest) (*HeartbeatResponse, error) {
	if err := s.prime(); err != nil {
		return nil, err
	}
	n := in.Node
	if !in.Leaving && s.isEndedRun(ctx, n) {
		return nil, wire.Fault{Code: RunEnded}
	}
	s.mu.Lock()
	old := s.nodes[n.Name]
	if old != nil && old.node.Addr != n.Addr && time.Since(old.at) <= nodeTerm {
		s.mu.Unlock()
		return nil, wire.Fault{Code: NameTaken} // a router that moved gets its name once the lease is over
	}
	newRun := old == nil || old.node.Run != n.Run
	switch {
	case in.Leaving:
		if old != nil && old.node.Run == n.Run {
			delete(s.nodes, n.Name)
			s.roll++
		}
	case old == nil || old.node != n:
		if old == nil || !alike(old.node, n) {
			s.roll++
		}
		s.nodes[n.Name] = &seat{n, time.Now()}
	default:
		old.at = time.Now()
	}
	if !in.Leaving {
		defer s.remember(n)
	}
	if newRun && !in.Leaving {
		defer s.replaceHolder(n, time.Duration(in.AgeMs)*time.Millisecond)
	}
	s.prune()
	out := &HeartbeatResponse{ConfigVersion: s.sheet.Version, NodesVersion: s.roll}
	if v := s.vot.View(); v.Epoch != in.ViewEpoch {
		out.View = v
	}
	s.tellNodes(in, out)
	s.runners.Tell(in, out, time.Now())
	s.health.note(in.Tallies, time.Now())
	out.Failing = s.health.failing(time.Now())
	out.ScarceTenants = s.shortTenants()
	s.mu.Unlock()
	if in.Leaving {
		if err := s.retire(ctx, Holder(n)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// tellNodes names the live nodes where they have changed. A primary that has just begun does not know all of them
// yet, so it names none and tells how many there were. The caller holds the lock.
func (s *Server) tellNodes(in *HeartbeatRequest, out *HeartbeatResponse) {
	switch {
	case time.Since(s.since) <= nodeTerm:
		out.RoutersBefore = s.routersBefore
	case in.NodesVersion != s.roll:
		out.NodesChanged = true
		out.Nodes = s.live()
	}
}

// alike tells whether two words of a node say the same to its peers.
func alike(a, b Node) bool {
	a.ConfigVersion, b.ConfigVersion = 0, 0
	return a == b
}

// prune drops nodes whose lease ran out; the caller holds the lock.
func (s *Server) prune() {
	for k, seat := range s.nodes {
		if time.Since(seat.at) > nodeTerm {
			delete(s.nodes, k)
			s.roll++
		}
	}
}

func (s *Server) live() []Node {
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

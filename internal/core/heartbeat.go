package core

import (
	"context"
	"sort"
	"strconv"
	"time"

	"yarrowridge/internal/wire"
)

func (s *Server) takeBeat(ctx context.Context, in *Beat) (*Told, error) {
	if err := s.prime(); err != nil {
		return nil, err
	}
	n := in.Node
	s.mu.Lock()
	old := s.nodes[n.Name]
	if old != nil && old.node.Addr != n.Addr && time.Since(old.at) <= nodeTerm {
		s.mu.Unlock()
		return nil, wire.Fault{Code: NameTaken} // a router that moved gets its name once the lease is over
	}
	newRun := old == nil || old.node.Born != n.Born
	switch {
	case in.Leave:
		if old != nil && old.node.Born == n.Born {
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
	if !in.Leave {
		defer s.remember(n)
	}
	if newRun && !in.Leave {
		defer s.replaceHolder(n, time.Duration(in.AgeMs)*time.Millisecond)
	}
	s.prune()
	out := &Told{Seq: s.sheet.Seq, Roll: s.roll}
	if v := s.vot.View(); v.Epoch != in.ViewEpoch {
		out.View = v
	}
	// A primary that has just begun does not know all nodes yet, so it names none.
	if in.Roll != s.roll && time.Since(s.since) > nodeTerm {
		out.Whole = true
		out.Nodes = s.live()
	}
	s.runners.Tell(in, out, time.Now())
	s.health.note(in.Tallies, time.Now())
	out.Failing = s.health.failing(time.Now())
	for t, at := range s.short {
		if time.Since(at) < 5*time.Second {
			out.Short = append(out.Short, t)
		} else {
			delete(s.short, t)
		}
	}
	sort.Strings(out.Short)
	s.mu.Unlock()
	if in.Leave {
		if err := s.retire(ctx, Holder(n)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// alike tells whether two words of a node say the same to its peers.
func alike(a, b Node) bool {
	a.Seq, b.Seq = 0, 0
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
	return n.Name + "@" + n.Addr + "/" + strconv.FormatUint(n.Born, 16)
}

package core

import (
	"time"
)

// sweep ends what has had its time: cooled units and old claims. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer.
func (s *Server) sweep() {
	if since := time.Since(s.swept); since < sweepEvery && !(s.cooling && since >= sweepCooling) {
		return
	}
	s.swept = time.Now()
	s.mu.Lock()
	ready, sheet := s.ready, s.sheet
	live, here, at := map[string]bool{}, map[string]bool{}, map[string]bool{}
	s.prune()
	for _, n := range s.nodes {
		live[Holder(n.node)] = true
		here[holderPlace(n.node)] = true
		at[n.node.Addr] = true
	}
	s.mu.Unlock()
	if !ready {
		return
	}
	doc := s.parsed(sheet)
	if time.Since(s.greeted) > time.Second {
		s.greeted = time.Now()
		s.greet(at)
		s.keepSilent(s.runners.List(time.Now()))
	}
	if doc == nil {
		return
	}
	// There may be very many claims, and none is kept by the second.
	if time.Since(s.swept10) > 10*time.Second {
		s.swept10 = time.Now()
		s.sweepClaims(doc.Claims)
		s.sweepRunners(s.runners.List(time.Now()))
	}
	s.sweepQuotas(doc, live, here)
}

// How often the run loop looks for what has had its time: in general, and while units of quotas cool.
const (
	sweepEvery   = 500 * time.Millisecond
	sweepCooling = 100 * time.Millisecond
)

// dropLater has the run loop remove keys.
func (s *Server) dropLater(keys []string) {
	if len(keys) == 0 {
		return
	}
	s.later(func(tx *Tx) error {
		for _, k := range keys {
			tx.Drop(k)
		}
		return nil
	})
}

// later puts an operation of our own into the run loop, if there is room.
func (s *Server) later(do func(tx *Tx) error) {
	select {
	case s.box <- &job{done: make(chan error, 1), do: do}:
	default:
	}
}

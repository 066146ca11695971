package core

import (
	"time"
)

// sweep ends what has had its time: cooled units and old claims. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer.
func (s *Server) sweep() {
	if since := time.Since(s.sweptAt); since < sweepEvery && !(s.hasCoolingUnits && since >= sweepCooling) {
		return
	}
	s.sweptAt = time.Now()
	s.mu.Lock()
	ready, sheet := s.ready, s.config
	live, here, at := map[string]bool{}, map[string]bool{}, map[string]bool{}
	s.dropExpiredNodes()
	for _, n := range s.nodes {
		live[Holder(n.node)] = true
		here[holderPlace(n.node)] = true
		at[n.node.Addr] = true
	}
	s.mu.Unlock()
	if !ready {
		return
	}
	doc := s.parsedConfig(sheet)
	if time.Since(s.announcedAt) > time.Second {
		s.announcedAt = time.Now()
		s.announceView(at)
		s.storeSilent(s.registry.List(time.Now()))
	}
	if doc == nil {
		return
	}
	// There may be very many claims, and none is kept by the second.
	if time.Since(s.claimsSweptAt) > 10*time.Second {
		s.claimsSweptAt = time.Now()
		s.sweepClaims(doc.Claims)
		s.sweepRunners(s.registry.List(time.Now()))
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
	s.submitLater(func(tx *Tx) error {
		for _, k := range keys {
			tx.Drop(k)
		}
		return nil
	})
}

// submitLater puts an operation of our own into the run loop, if there is room.
func (s *Server) submitLater(do func(tx *Tx) error) {
	select {
	case s.jobs <- &job{done: make(chan error, 1), do: do}:
	default:
	}
}

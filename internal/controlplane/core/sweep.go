package core

import (
	"time"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
)

// How often the run loop looks for what has had its time.
const (
	sweepEvery        = 500 * time.Millisecond
	sweepCoolingEvery = 100 * time.Millisecond // while units of quotas cool
	announceEvery     = time.Second
	claimsSweepEvery  = 10 * time.Second // there may be very many claims, and none is kept by the second
)

// sweep ends what has had its time: cooled units and old claims. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer.
func (s *Server) sweep() {
	since := time.Since(s.sweptAt)
	if since < sweepEvery && !(s.pools.HasCooling() && since >= sweepCoolingEvery) {
		return
	}
	s.sweptAt = time.Now()
	s.mu.Lock()
	ready, config := s.ready, s.config
	live, addrs := s.liveHolders()
	s.mu.Unlock()
	if !ready {
		return
	}
	document := s.documents.Decode(config)
	if time.Since(s.announcedAt) > announceEvery {
		s.announcedAt = time.Now()
		s.announceView(addrs)
		s.runnerStorage.SaveTimedOut(s.registry.List(time.Now()))
	}
	if document == nil {
		return
	}
	if time.Since(s.claimsSweptAt) > claimsSweepEvery {
		s.claimsSweptAt = time.Now()
		s.sweepClaims(s.claimsSweptAt, document.Claims)
		s.runnerStorage.DeleteUnknown(s.registry.List(time.Now()))
		s.submitLater(s.pools.DropUnusedHolders)
	}
	s.sweepQuotas(document, live)
}

// liveHolders gives the nodes whose lease runs, as holders of quota units and by their addresses. The caller holds s.mu.
func (s *Server) liveHolders() (live quotapool.LiveHolders, addrs map[string]bool) {
	s.routers.Expire(time.Now())
	live = quotapool.LiveHolders{Holders: map[string]bool{}, Addresses: map[string]bool{}}
	addrs = map[string]bool{}
	for _, router := range s.routers.List() {
		live.Holders[coreapi.Holder(router)] = true
		live.Addresses[quotapool.NodeAddress(router)] = true
		addrs[router.Addr] = true
	}
	return live, addrs
}

// dropLater has the run loop remove keys.
func (s *Server) dropLater(keys []string) {
	if len(keys) == 0 {
		return
	}
	s.submitLater(func(tx *transaction.Tx) error {
		for _, key := range keys {
			tx.Delete(key)
		}
		return nil
	})
}

// submitLater puts an operation of our own into the run loop, if there is room.
func (s *Server) submitLater(do func(tx *transaction.Tx) error) {
	select {
	case s.jobs <- &job{done: make(chan error, 1), do: do}:
	default:
	}
}

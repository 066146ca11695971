package service

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
)

// Intervals at which the run loop looks for expired state.
const (
	sweepInterval        = 500 * time.Millisecond
	coolingSweepInterval = 100 * time.Millisecond // while quota pools have cooling units
	announceInterval     = time.Second
	claimsSweepInterval  = 10 * time.Second // longer, since there may be very many claims and their retention needs no precision
)

// Sweep removes expired state: units whose cooling period is over, claims, and routers and runners that have sent no
// heartbeat for too long. Periods are counted from when this run of the process first saw an entry, so a restart only
// extends them. Only the run loop calls it.
func (s *Service) Sweep() {
	since := time.Since(s.sweptAt)
	if since < sweepInterval && !(s.pools.HasCooling() && since >= coolingSweepInterval) {
		return
	}
	s.sweptAt = time.Now()
	s.mu.Lock()
	acceptsWrites, config := s.host.AcceptsWrites(), s.config
	live := s.liveHolders()
	s.mu.Unlock()
	if !acceptsWrites {
		return
	}
	document := s.documents.Decode(config)
	if time.Since(s.announcedAt) > announceInterval {
		s.announcedAt = time.Now()
		s.routerAddresses.Announce(s.host.View(), live.Addresses)
		s.runnerStorage.SaveTimedOut(s.registry.List(time.Now()))
	}
	if document == nil {
		return
	}
	if time.Since(s.claimsSweptAt) > claimsSweepInterval {
		s.claimsSweptAt = time.Now()
		s.sweepClaims(s.claimsSweptAt, document.Claims)
		s.runnerStorage.DeleteUnknown(s.registry.List(time.Now()))
		s.host.SubmitLater(pipeline.ClassQuota, s.pools.DropUnusedHolders)
	}
	s.sweepQuotas(document, live)
}

// liveHolders returns the routers with an active lease, as holders of quota units and by address. The caller must hold s.mu.
func (s *Service) liveHolders() quotapool.LiveHolders {
	s.routers.Expire(time.Now())
	live := quotapool.LiveHolders{Holders: map[string]bool{}, Addresses: map[string]coreapi.Node{}}
	for _, router := range s.routers.List() {
		live.Holders[coreapi.Holder(router)] = true
		live.Addresses[router.Addr] = router
	}
	return live
}

// submitLater returns a function that schedules the core's own operations without waiting for them. If the queue of their
// class is full, they are dropped, and a later sweep submits them again.
func (s *Service) submitLater(class pipeline.Class) func(func(tx *transaction.Tx) error) {
	return func(apply func(tx *transaction.Tx) error) { s.host.SubmitLater(class, apply) }
}

package service

import (
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/quotapool"
	"yarrowridge/internal/controlplane/transaction"
)

// How often the run loop looks for what has expired.
const (
	sweepInterval        = 500 * time.Millisecond
	coolingSweepInterval = 100 * time.Millisecond // while units of quota pools cool
	announceInterval     = time.Second
	claimsSweepInterval  = 10 * time.Second // there may be very many claims, and their retention is not kept to the second
)

// Sweep removes what has expired: cooled units, claims, silent nodes and runners. Time is counted from when this
// run of this process first saw them, so a restart only makes them last longer. Only the run loop calls it.
func (s *Service) Sweep() {
	since := time.Since(s.sweptAt)
	if since < sweepInterval && !(s.pools.HasCooling() && since >= coolingSweepInterval) {
		return
	}
	s.sweptAt = time.Now()
	s.mu.Lock()
	ready, config := s.host.AcceptsWrites(), s.config
	live := s.liveHolders()
	s.mu.Unlock()
	if !ready {
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

// liveHolders gives the nodes whose lease runs, as holders of quota units and by their addresses. The caller holds s.mu.
func (s *Service) liveHolders() quotapool.LiveHolders {
	s.routers.Expire(time.Now())
	live := quotapool.LiveHolders{Holders: map[string]bool{}, Addresses: map[string]coreapi.Node{}}
	for _, router := range s.routers.List() {
		live.Holders[coreapi.Holder(router)] = true
		live.Addresses[router.Addr] = router
	}
	return live
}

// submitLater returns a function that submits operations of the core's own and does not wait for them. Where their class has
// no room they are dropped: a later sweep finds again what is due.
func (s *Service) submitLater(class pipeline.Class) func(func(tx *transaction.Tx) error) {
	return func(apply func(tx *transaction.Tx) error) { s.host.SubmitLater(class, apply) }
}

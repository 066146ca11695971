package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/lib/runloop"
)

const (
	transferInterval = 500 * time.Millisecond // between two checks for transfers to start
	transferTimeout  = 5 * time.Second        // for one attempt at a transfer
	transferBackoff  = 500 * time.Millisecond // mean delay between two attempts
)

// Run starts the transfers that the shares need until the context ends.
func (s *Shares) Run() {
	select { // random delay, so that routers that start together don't all call the core at once
	case <-time.After(rand.N(transferInterval)):
	case <-s.wakeup:
	case <-s.ctx.Done():
		return
	}
	s.startTransfers()
	runloop.Run(s.ctx, s.wakeup, transferInterval, func(struct{}) { s.startTransfers() }, s.startTransfers)
}

// Wake makes Run check at once for transfers to start.
func (s *Shares) Wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// startTransfers applies the current limits to the shares, and starts a transfer for each tenant that needs one.
func (s *Shares) startTransfers() {
	scarce := map[string]bool{}
	for _, tenant := range s.config.ScarceTenants() {
		scarce[tenant] = true
	}
	for _, rule := range s.config.Rules() {
		s.For(rule.Tenant).SetLimit(rule.Units, rule.Window)
	}
	for _, tenant := range s.Tenants() {
		share := s.For(tenant)
		if s.config.InContact() {
			share.RecordContact()
		}
		if s.startAcquire(tenant, share) {
			continue
		}
		if !s.recentContact() {
			continue // no core could allocate the returned units to other holders, and this share would no longer have them
		}
		if sequence, units, ok := share.NextReturn(scarce[tenant], s.config.Nodes()); ok {
			go s.perform(share, Transfer{Tenant: tenant, Sequence: sequence, Units: units, Return: true})
		}
	}
}

// startAcquire starts an acquire if the share needs one, and reports whether it did.
func (s *Shares) startAcquire(tenant string, share *Share) bool {
	sequence, units, ok := share.NextAcquire(s.config.Nodes())
	if ok {
		go s.perform(share, Transfer{Tenant: tenant, Sequence: sequence, Units: units, Costs: share.WaitingCosts()})
	}
	return ok
}

func (s *Shares) recentContact() bool {
	if s.config.RecentContact == nil {
		return s.config.InContact()
	}
	return s.config.RecentContact()
}

// perform repeats a transfer until the core responds. Repeating it is safe: the core applies a sequence number only once.
// perform ends with the loop's context.
func (s *Shares) perform(share *Share, transfer Transfer) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, transferTimeout)
		allocated, limitBase, err := s.config.Transfer(ctx, transfer)
		cancel()
		if err == nil {
			share.Apply(transfer.Sequence, allocated, limitBase)
			return
		}
		if !runloop.Sleep(s.ctx, transferBackoff/2+rand.N(transferBackoff)) {
			return
		}
	}
}

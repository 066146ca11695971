package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/lib/runloop"
)

const (
	transferInterval = 500 * time.Millisecond // between two looks at whether transfers are called for
	transferTimeout  = 5 * time.Second        // of one attempt at a transfer
	transferBackoff  = 500 * time.Millisecond // between two attempts, on average
)

// Run makes the transfers that the shares call for until the context ends.
func (s *Shares) Run() {
	select { // routers that started together do not ask the core together
	case <-time.After(rand.N(transferInterval)):
	case <-s.wakeup:
	case <-s.ctx.Done():
		return
	}
	s.startTransfers()
	runloop.Run(s.ctx, s.wakeup, transferInterval, func(struct{}) { s.startTransfers() }, s.startTransfers)
}

// Wake has Run look at once whether units should be acquired.
func (s *Shares) Wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// startTransfers takes up the limits in force, and starts for each tenant the transfer that is called for.
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
			continue // units returned now would be lost here, and no core could allocate them to others
		}
		if sequence, units, ok := share.NextReturn(scarce[tenant], s.config.Nodes()); ok {
			go s.perform(share, Transfer{Tenant: tenant, Sequence: sequence, Units: units, Return: true})
		}
	}
}

// startAcquire starts an acquire where one is called for, and reports whether it did.
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

// perform repeats one transfer until the core has answered it: if an answer is lost, the repetition changes nothing. It ends
// with the loop's context.
func (s *Shares) perform(share *Share, transfer Transfer) {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, transferTimeout)
		held, limitBase, err := s.config.Transfer(ctx, transfer)
		cancel()
		if err == nil {
			share.Apply(transfer.Sequence, held, limitBase)
			return
		}
		if !runloop.Sleep(s.ctx, transferBackoff/2+rand.N(transferBackoff)) {
			return
		}
	}
}

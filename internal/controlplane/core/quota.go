package core

import (
	"context"
	"math/rand/v2"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// move draws or gives units of one tenant.
func (s *Server) move(ctx context.Context, move *coreapi.QuotaMove) (*coreapi.QuotaMoveResult, error) {
	all, err := s.moveAll(ctx, &coreapi.QuotaMovesRequest{Holder: move.Holder, Moves: []coreapi.QuotaMove{*move}})
	if err != nil {
		return nil, err
	}
	return &all.Results[0], nil
}

// moveAll makes all moves of one holder in one write.
func (s *Server) moveAll(ctx context.Context, request *coreapi.QuotaMovesRequest) (*coreapi.QuotaMovesResponse, error) {
	response := &coreapi.QuotaMovesResponse{}
	err := s.Submit(ctx, func(tx *transaction.Tx) error {
		response.Results = make([]coreapi.QuotaMoveResult, len(request.Moves))
		document, err := s.documents.InBatch(tx)
		if err != nil {
			return err
		}
		if document == nil {
			document = &configuration.Document{}
		}
		for i := range request.Moves {
			if response.Results[i], err = s.moveIn(tx, request.Holder, &request.Moves[i], document); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// moveIn makes one move. Only the run loop calls it.
func (s *Server) moveIn(tx *transaction.Tx, holder string, move *coreapi.QuotaMove, document *configuration.Document) (result coreapi.QuotaMoveResult, err error) {
	pool, err := s.poolCache.get(tx, move.Tenant)
	if err != nil {
		return result, err
	}
	quota, tolerance := document.Quotas[move.Tenant], document.Tolerances[move.Tenant]
	var changed bool
	if move.Return {
		result.Held, changed = pool.Return(holder, move.Sequence, move.Units)
	} else {
		before := pool.Allocations[holder].Units
		free := max(0, pool.MaxAllocated(quota, tolerance)-pool.AllocatedUnits())
		units, short := s.drawUnits(move, free, quota)
		result.Held, changed = pool.AcquireWithTolerance(holder, move.Sequence, units, quota, tolerance, s.chargeFor(move.Tenant))
		if move.Units > 0 {
			s.noteScarce(move, short || result.Held == before, quota, free-(result.Held-before))
		}
	}
	result.Limit = pool.LimitBase(quota)
	if changed {
		err = s.poolCache.put(tx, move.Tenant, pool)
	}
	return result, err
}

// drawUnits is how many of the free units a draw gets. short: a request that waits for them gets none.
func (s *Server) drawUnits(move *coreapi.QuotaMove, free, total int) (units int, short bool) {
	if len(move.Costs) == 0 {
		return min(move.Units, maxDraw(free)), false
	}
	if s.savings == nil {
		s.savings = map[string]*quota.Saving{}
	}
	saving := s.savings[move.Tenant]
	if saving == nil {
		saving = &quota.Saving{}
		s.savings[move.Tenant] = saving
	}
	return saving.Allocate(time.Now(), free, total, move.Costs, move.Units)
}

// openCharge is the charge to which what is drawn of a tenant's tolerance is added for a while.
type openCharge struct {
	id    uint64
	since time.Time
}

// chargeSpan is how long one charge of a tolerance is added to.
const chargeSpan = 250 * time.Millisecond

// chargeFor gives the ID of the charge that what is drawn now of a tenant's tolerance counts to. IDs are drawn at
// random: no other primary has used one, and what this run knows of its age is never that of another charge.
// Only the run loop calls it.
func (s *Server) chargeFor(tenant string) uint64 {
	now := time.Now()
	open, ok := s.charges[tenant]
	if !ok || now.Sub(open.since) >= chargeSpan {
		open = openCharge{id: rand.Uint64(), since: now}
		if s.charges == nil {
			s.charges = map[string]openCharge{}
		}
		s.charges[tenant] = open
	}
	return open.id
}

// maxDraw is the most that one draw gets of what is free.
func maxDraw(free int) int { return (free + quota.AcquireDivisor - 1) / quota.AcquireDivisor }

// coolHolder sets a holder's units cooling: its process is surely gone.
func (s *Server) coolHolder(ctx context.Context, holder string) error {
	return s.Submit(ctx, func(tx *transaction.Tx) error {
		return s.updatePools(tx, func(_ string, pool *quota.Pool) bool { return pool.StartCooling(holder) })
	})
}

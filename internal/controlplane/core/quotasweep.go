package core

import (
	"fmt"
	"strings"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/model/quota"
)

// quotaHolding names one holder's units of one tenant.
type quotaHolding struct{ tenant, holder string }

// finishedCharge names a charge of a tenant's tolerance that counts no longer.
type finishedCharge struct {
	tenant string
	id     uint64
}

// chargeKey names a charge among what is aged.
func chargeKey(tenant string, id uint64) string { return fmt.Sprintf("charge/%s/%d", tenant, id) }

// chargeKeep is how long a charge of a tolerance counts once it has been seen. A spend that it stands for comes
// within a window of the last draw, and any window that holds this spend has ended a window later.
func chargeKeep(window time.Duration) time.Duration { return chargeSpan + 2*window + 2*quota.Margin }

// silentHolderKeep is how long a silent holder keeps its units: by then it has stopped spending on its own.
const silentHolderKeep = quota.ContactTTL + quota.ContactTTL/10

// ageTable tells for how long things have been seen, by the run loop's notes.
type ageTable struct {
	firstSeen map[string]time.Time
	now       time.Time
	seen      map[string]bool // in this sweep
}

// isOver reports whether a thing was first seen longer ago than the span.
func (a *ageTable) isOver(key string, span time.Duration) bool {
	a.seen[key] = true
	since, ok := a.firstSeen[key]
	if !ok {
		a.firstSeen[key] = a.now
		return false
	}
	return a.now.Sub(since) > span
}

// forgetUnseen drops what this sweep has not come upon.
func (a *ageTable) forgetUnseen() {
	for key := range a.firstSeen {
		if !a.seen[key] {
			delete(a.firstSeen, key)
		}
	}
}

// quotaSweep is what a sweep of the pools has found due.
type quotaSweep struct {
	thawed  []quotaHolding // units that have cooled
	retired []quotaHolding // units of holders that are gone
	charges []finishedCharge
}

// sweepQuotas frees units that have cooled, and sets those of holders that are gone cooling.
func (s *Server) sweepQuotas(document *configuration.Document, live liveHolders) {
	ages := &ageTable{firstSeen: s.firstSeen, now: time.Now(), seen: map[string]bool{}}
	var due quotaSweep
	s.hasCoolingUnits = false
	tx := transaction.New(s.store.Load())
	for _, tenant := range poolTenants(tx) {
		pool, err := s.poolCache.get(tx, tenant)
		if err != nil {
			continue
		}
		s.hasCoolingUnits = s.hasCoolingUnits || len(pool.Cooling) > 0
		due.add(tenant, pool, document, live, ages)
	}
	ages.forgetUnseen()
	s.applyQuotaSweep(due)
}

// add adds what is due in one tenant's pool.
func (q *quotaSweep) add(tenant string, pool *quota.Pool, document *configuration.Document, live liveHolders, ages *ageTable) {
	window := document.Windows[tenant]
	for holder := range pool.Cooling {
		if ages.isOver(coolKey(tenant, holder), window+quota.Margin) {
			q.thawed = append(q.thawed, quotaHolding{tenant, holder})
		}
	}
	for _, charge := range pool.Charges {
		if ages.isOver(chargeKey(tenant, charge.ID), chargeKeep(max(document.ToleranceWindow, window))) {
			q.charges = append(q.charges, finishedCharge{tenant, charge.ID})
		}
	}
	for holder := range pool.Allocations {
		if live.holders[holder] {
			continue
		}
		place, _, _ := strings.Cut(holder, "/")
		if silent := ages.isOver("silent/"+tenant+"/"+holder, silentHolderKeep); silent || live.places[place] {
			q.retired = append(q.retired, quotaHolding{tenant, holder})
		}
	}
}

// applyQuotaSweep frees units that have cooled, sets those of holders that are gone cooling, and ends charges.
func (s *Server) applyQuotaSweep(due quotaSweep) {
	if len(due.thawed)+len(due.retired)+len(due.charges) == 0 {
		return
	}
	s.submitLater(func(tx *transaction.Tx) error {
		return s.updatePools(tx, func(tenant string, pool *quota.Pool) bool {
			changed := false
			for _, holding := range due.thawed {
				changed = holding.tenant == tenant && pool.EndCooling(holding.holder) || changed
			}
			for _, holding := range due.retired {
				changed = holding.tenant == tenant && pool.StartCooling(holding.holder) || changed
			}
			for _, charge := range due.charges {
				changed = charge.tenant == tenant && pool.RemoveCharge(charge.id) || changed
			}
			return changed
		})
	})
}

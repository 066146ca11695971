package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/share"
	"yarrowridge/internal/store"
)

// poolCache keeps the decoded pools of tenants: each has an entry for every router, and is read and written with
// every move. Only the run loop touches it.
type poolCache map[string]*cachedPool

// cachedPool is a pool and the bytes that it was decoded from or encoded to. It is good for as long as the
// store, or the batch under way, has these very bytes.
type cachedPool struct {
	raw  []byte
	pool share.QuotaPool
}

// get gives a tenant's pool as the batch under way has it. One that is changed must be put.
func (c poolCache) get(tx *Tx, tenant string) (*share.QuotaPool, error) {
	raw, ok := tx.Get(poolKey(tenant))
	if !ok {
		return &share.QuotaPool{}, nil
	}
	if known := c[tenant]; known != nil && len(raw) > 0 && len(raw) == len(known.raw) && &raw[0] == &known.raw[0] {
		return &known.pool, nil
	}
	fresh := &cachedPool{raw: raw}
	if _, err := fresh.pool.UnmarshalMsg(raw); err != nil {
		return nil, err
	}
	c[tenant] = fresh
	return &fresh.pool, nil
}

// put puts a changed pool.
func (c poolCache) put(tx *Tx, tenant string, pool *share.QuotaPool) error {
	delete(c, tenant)
	raw, err := pool.MarshalMsg(nil)
	if err != nil {
		return err
	}
	tx.add(store.Put{Key: poolKey(tenant), Val: raw})
	c[tenant] = &cachedPool{raw: raw, pool: *pool}
	return nil
}

func poolKey(tenant string) string { return poolPrefix + tenant }

const poolPrefix = "share/"

// poolTenants lists the tenants that have a pool in the committed state.
func poolTenants(tx *Tx) []string {
	var tenants []string
	tx.store.Each(poolPrefix, func(key string, _ []byte) { tenants = append(tenants, strings.TrimPrefix(key, poolPrefix)) })
	return tenants
}

// move draws or gives units of one tenant.
func (s *Server) move(ctx context.Context, in *QuotaMove) (*QuotaMoveResult, error) {
	all, err := s.moveAll(ctx, &QuotaMovesRequest{Holder: in.Holder, Moves: []QuotaMove{*in}})
	if err != nil {
		return nil, err
	}
	return &all.Results[0], nil
}

// moveAll makes all moves of one holder in one write.
func (s *Server) moveAll(ctx context.Context, in *QuotaMovesRequest) (*QuotaMovesResponse, error) {
	out := &QuotaMovesResponse{}
	err := s.Submit(ctx, func(tx *Tx) error {
		out.Results = make([]QuotaMoveResult, len(in.Moves))
		cur, err := tx.config()
		if err != nil {
			return err
		}
		var doc Document
		if known := s.parsedConfig(cur); known != nil {
			doc = *known
		}
		for i := range in.Moves {
			if out.Results[i], err = s.moveIn(tx, in.Holder, &in.Moves[i], &doc); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// moveIn makes one move. Only the run loop calls it.
func (s *Server) moveIn(tx *Tx, who string, in *QuotaMove, doc *Document) (out QuotaMoveResult, err error) {
	p, err := s.poolCache.get(tx, in.Tenant)
	if err != nil {
		return out, err
	}
	quota, tolerance := doc.Quotas[in.Tenant], doc.Tolerances[in.Tenant]
	var changed bool
	if in.Give {
		out.Held, changed = p.Give(who, in.Turn, in.Units)
	} else {
		was := p.Held[who].Units
		free := p.Most(quota, tolerance) - p.Out()
		out.Held, changed = p.DrawAbove(who, in.Turn, min(in.Units, maxDraw(free)), quota, tolerance, s.chargeFor(in.Tenant))
		if in.Units > 0 {
			s.noteShort(in.Tenant, out.Held == was, quota, p.Most(quota, tolerance)-p.Out())
		}
	}
	out.Ceiling = p.Under(quota)
	if changed {
		err = s.poolCache.put(tx, in.Tenant, p)
	}
	return out, err
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
		open = openCharge{rand.Uint64(), now}
		if s.charges == nil {
			s.charges = map[string]openCharge{}
		}
		s.charges[tenant] = open
	}
	return open.id
}

// smallQuotaDivisor is the part of a small quota from which on idle units are wanted back: there are more routers than
// units, and each that has some idle keeps them from many others.
const smallQuotaDivisor = 2

// noteShort notes that idle units of a tenant are wanted back: since a draw got none, or soon may get none.
func (s *Server) noteShort(tenant string, none bool, quota, free int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if none || share.IsSmall(quota, len(s.nodes)) && free < quota/smallQuotaDivisor {
		s.scarceSince[tenant] = time.Now()
	}
}

// shortFor is how long idle units of a tenant are wanted back after a draw that got too little.
const shortFor = 5 * time.Second

// shortTenants lists the tenants whose idle units are wanted back. The caller holds the lock.
func (s *Server) shortTenants() []string {
	var tenants []string
	for tenant, at := range s.scarceSince {
		if time.Since(at) < shortFor {
			tenants = append(tenants, tenant)
		} else {
			delete(s.scarceSince, tenant)
		}
	}
	sort.Strings(tenants)
	return tenants
}

// drawDivisor is the part of the free units that one draw may take: after a restart all routers draw at once, and
// the first must not leave the others without any.
const drawDivisor = 8

// maxDraw is the most that one draw gets of what is free.
func maxDraw(free int) int { return (free + drawDivisor - 1) / drawDivisor }

// coolHolder sets a holder's units cooling: its process is surely gone.
func (s *Server) coolHolder(ctx context.Context, who string) error {
	return s.Submit(ctx, func(tx *Tx) error {
		return s.updatePools(tx, func(_ string, p *share.QuotaPool) bool { return p.Retire(who) })
	})
}

func (s *Server) updatePools(tx *Tx, do func(ten string, p *share.QuotaPool) bool) error {
	for _, t := range poolTenants(tx) {
		p, err := s.poolCache.get(tx, t)
		if err != nil {
			return err
		}
		if do(t, p) {
			if err := s.poolCache.put(tx, t, p); err != nil {
				return err
			}
		}
	}
	return nil
}

// holderPlace is the part of a holder's name that all runs of a node at one address share.
func holderPlace(n Node) string { return n.Name + "@" + n.Addr }

// flightTime covers the way of the last requests that a process sent before its end.
const flightTime = 50 * time.Millisecond

// replacedRuns gathers the places whose earlier runs have ended. After a restart of the whole fleet there are
// as many as routers, and each would have all pools written anew.
type replacedRuns struct {
	mu   sync.Mutex
	runs map[string]replacedRun // by place
}

// replacedRun is the run that took a place, and when the ones before it had ended at the latest.
type replacedRun struct {
	holder string
	ended  time.Time
}

// replacedGather is how long places are gathered.
const replacedGather = 20 * time.Millisecond

// add notes a place's new run, and tells whether it is the first since the last take.
func (r *replacedRuns) add(place string, run replacedRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs == nil {
		r.runs = map[string]replacedRun{}
	}
	r.runs[place] = run
	return len(r.runs) == 1
}

// take gives what was gathered.
func (r *replacedRuns) take() map[string]replacedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.runs
	r.runs = nil
	return runs
}

// replaceHolder sets the units of earlier runs at a node's address cooling, with those of others that start
// at the same time. They ended before the new run began, so their last spends are at least as old as the new
// run.
func (s *Server) replaceHolder(n Node, age time.Duration) {
	run := replacedRun{holder: Holder(n), ended: time.Now().Add(flightTime - share.Margin - age)}
	if s.replaced.add(holderPlace(n), run) {
		time.AfterFunc(replacedGather, func() { s.submitLater(s.coolReplaced) })
	}
}

// coolReplaced sets the units of all runs that were replaced cooling. Only the run loop calls it.
func (s *Server) coolReplaced(tx *Tx) error {
	runs := s.replaced.take()
	earlier := func(who string) (replacedRun, bool) {
		place, _, _ := strings.Cut(who, "/")
		run, known := runs[place]
		return run, known && who != run.holder
	}
	return s.updatePools(tx, func(tenant string, p *share.QuotaPool) bool {
		changed := false
		for who := range p.Held {
			if _, is := earlier(who); is {
				changed = p.Retire(who) || changed
			}
		}
		for who := range p.Cool {
			if run, is := earlier(who); is {
				s.coolSince(tenant, who, run.ended)
			}
		}
		return changed
	})
}

// coolSince notes since when a holder's units cool at the latest. Only the run loop calls it.
func (s *Server) coolSince(tenant, who string, at time.Time) {
	key := coolKey(tenant, who)
	if known, ok := s.firstSeen[key]; !ok || at.Before(known) {
		s.firstSeen[key] = at
	}
}

func coolKey(tenant, who string) string { return "cool/" + tenant + "/" + who }

// quotaHolding names one holder's units of one tenant.
type quotaHolding struct{ tenant, holder string }

// finishedCharge names a charge of a tenant's tolerance that counts no longer.
type finishedCharge struct {
	tenant string
	id     uint64
}

func chargeKey(tenant string, id uint64) string { return fmt.Sprintf("charge/%s/%d", tenant, id) }

// chargeKeep is how long a charge of a tolerance counts once it has been seen. A spend that it stands for comes
// within a window of the last draw, and any window that holds this spend has ended a window later.
func chargeKeep(window time.Duration) time.Duration { return chargeSpan + 2*window + 2*share.Margin }

// sweepQuotas frees units that have cooled, and sets those of holders that are gone cooling.
func (s *Server) sweepQuotas(doc *Document, live, here map[string]bool) {
	now := time.Now()
	seen := map[string]bool{}
	aged := func(key string, span time.Duration) bool {
		seen[key] = true
		at, ok := s.firstSeen[key]
		if !ok {
			s.firstSeen[key] = now
			return false
		}
		return now.Sub(at) > span
	}
	var thaw, out []quotaHolding
	var finished []finishedCharge
	s.hasCoolingUnits = false
	tx := &Tx{store: s.store.Load()}
	for _, tenant := range poolTenants(tx) {
		p, err := s.poolCache.get(tx, tenant)
		if err != nil {
			continue
		}
		for who := range p.Cool {
			s.hasCoolingUnits = true
			if aged(coolKey(tenant, who), doc.Windows[tenant]+share.Margin) {
				thaw = append(thaw, quotaHolding{tenant, who})
			}
		}
		for _, charge := range p.Charges {
			if aged(chargeKey(tenant, charge.ID), chargeKeep(max(doc.ToleranceWindow, doc.Windows[tenant]))) {
				finished = append(finished, finishedCharge{tenant, charge.ID})
			}
		}
		for who := range p.Held {
			if live[who] {
				continue
			}
			// A holder silent for the whole term has stopped spending on its own.
			place, _, _ := strings.Cut(who, "/")
			if silent := aged("mute/"+tenant+"/"+who, share.Term+share.Term/10); silent || here[place] {
				out = append(out, quotaHolding{tenant, who})
			}
		}
	}
	for key := range s.firstSeen {
		if !seen[key] {
			delete(s.firstSeen, key)
		}
	}
	s.applyQuotaSweep(thaw, out, finished)
}

// applyQuotaSweep frees units that have cooled, sets those of holders that are gone cooling, and ends charges.
func (s *Server) applyQuotaSweep(thaw, out []quotaHolding, finished []finishedCharge) {
	if len(thaw)+len(out)+len(finished) == 0 {
		return
	}
	s.submitLater(func(tx *Tx) error {
		return s.updatePools(tx, func(tenant string, p *share.QuotaPool) bool {
			changed := false
			for _, h := range thaw {
				changed = h.tenant == tenant && p.Thaw(h.holder) || changed
			}
			for _, h := range out {
				changed = h.tenant == tenant && p.Retire(h.holder) || changed
			}
			for _, charge := range finished {
				changed = charge.tenant == tenant && p.Uncharge(charge.id) || changed
			}
			return changed
		})
	})
}

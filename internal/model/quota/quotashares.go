package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/runloop"
)

// Transfer is a draw or a give of units.
type Transfer struct {
	Tenant   string
	Sequence uint64 // of this holder and tenant: one that was taken already changes nothing
	Units    int
	Costs    []int // of the requests that wait for the draw, where these differ; the rest of Units is to be kept at hand
	Return   bool
}

// TransferFunc asks the core for a move and tells what is held after it, and under what sum.
type TransferFunc func(ctx context.Context, move Transfer) (have, under int, err error)

// Options are what the quotaShares of a node ask of the rest of it.
type Options struct {
	Transfer      TransferFunc
	Nodes         func() int      // live nodes
	ScarceTenants func() []string // tenants whose idle units are wanted back
	Rules         func() []Rule   // the quotas of the layout in force
	InContact     func() bool     // the core is heard
	RecentContact func() bool     // the core has answered just now; nil: as InContact

	// Margin is added to the window before a spent unit counts as back; 0: the default.
	Margin time.Duration
}

// Shares are a node's quotaShares, and the part that moves units to and from them.
type Shares struct {
	ctx  daemon.Context
	ways Options
	bell chan struct{}
	mu   sync.Mutex
	all  map[string]*Share
}

// Rule is a tenant's quota as the layout has it.
type Rule struct {
	Tenant string
	Units  int
	Window time.Duration
}

// NewShares makes the quotaShares of a node.
func NewShares(ctx daemon.Context, ways Options) *Shares {
	return &Shares{ctx: ctx, ways: ways, bell: make(chan struct{}, 1), all: map[string]*Share{}}
}

// For gives a tenant's quotaShare.
func (ps *Shares) For(tenant string) *Share {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.all[tenant]
	if p == nil {
		p = NewShare()
		if ps.ways.Margin > 0 {
			p.margin = ps.ways.Margin
		}
		ps.all[tenant] = p
	}
	return p
}

// How long a request waits for units: for the core's first word about the tenant, or for a draw.
const (
	firstWait = 300 * time.Millisecond
	drawWait  = 35 * time.Millisecond
)

// Reserve reserves units of a tenant's quota. Where they are short here it waits a moment for more from the
// core; where the context has a deadline, it waits until then for a core that has just fallen silent.
func (ps *Shares) Reserve(ctx context.Context, tenant string, n int) (bool, time.Duration) {
	p := ps.For(tenant)
	wait := drawWait
	select {
	case <-p.first:
	default:
		wait = firstWait
	}
	_, bounded := ctx.Deadline()
	var timer *time.Timer
	for expired := false; ; {
		changed, _ := p.Changed()
		ok, again := p.Reserve(n)
		if ok {
			return true, 0
		}
		if expired && !(bounded && p.TransferInFlight() && ps.ways.InContact()) || ctx.Err() != nil {
			return false, again
		}
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
			p.Enqueue(n)
			defer p.Enqueue(-n)
		}
		ps.draw(tenant, p)
		select {
		case <-changed:
		case <-time.After(dryFor / 2):
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		}
	}
}

// draw starts a draw where one is called for.
func (ps *Shares) draw(tenant string, p *Share) bool {
	turn, n, ok := p.NextAcquire(ps.ways.Nodes())
	if ok {
		go ps.carry(p, Transfer{Tenant: tenant, Sequence: turn, Units: n, Costs: p.WaitingCosts()})
	}
	return ok
}

// Wake looks at once whether units should be drawn.
func (ps *Shares) Wake() {
	select {
	case ps.bell <- struct{}{}:
	default:
	}
}

// Tenants lists the tenants that have a quotaShare here.
func (ps *Shares) Tenants() []string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []string
	for t := range ps.all {
		out = append(out, t)
	}
	return out
}

// roundEvery is how often units are drawn and given.
const roundEvery = 500 * time.Millisecond

// Run draws and gives until the context ends.
func (ps *Shares) Run() {
	select { // nodes that started together do not ask the core together
	case <-time.After(rand.N(roundEvery)):
	case <-ps.bell:
	case <-ps.ctx.Done():
		return
	}
	ps.round()
	runloop.Run(ps.ctx, ps.bell, roundEvery, func(struct{}) { ps.round() }, ps.round)
}

func (ps *Shares) round() {
	short := map[string]bool{}
	for _, t := range ps.ways.ScarceTenants() {
		short[t] = true
	}
	for _, r := range ps.ways.Rules() {
		ps.For(r.Tenant).SetLimit(r.Units, r.Window)
	}
	for _, t := range ps.Tenants() {
		p := ps.For(t)
		if ps.ways.InContact() {
			p.RecordContact()
		}
		if ps.draw(t, p) {
			continue
		}
		if !ps.fresh() {
			continue // units given now would be lost here, and no core could hand them on
		}
		if turn, n, ok := p.NextReturn(short[t], ps.ways.Nodes()); ok {
			go ps.carry(p, Transfer{Tenant: t, Sequence: turn, Units: n, Return: true})
		}
	}
}

func (ps *Shares) fresh() bool {
	if ps.ways.RecentContact == nil {
		return ps.ways.InContact()
	}
	return ps.ways.RecentContact()
}

// carry repeats one turn until the core has answered it: a lost answer changes nothing.
func (ps *Shares) carry(p *Share, move Transfer) {
	for {
		ctx, end := context.WithTimeout(ps.ctx, 5*time.Second)
		have, under, err := ps.ways.Transfer(ctx, move)
		end()
		if err == nil {
			p.Apply(move.Sequence, have, under)
			return
		}
		if !runloop.Sleep(ps.ctx, 500*time.Millisecond) {
			return
		}
	}
}

package quota

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// TransferFunc sends a transfer to the core and returns the units allocated to the share after it, and their limit base (see
// Pool.LimitBase). It may block until the context ends, and is called concurrently for different tenants. After an error the
// same transfer is sent again, unchanged.
type TransferFunc func(ctx context.Context, transfer Transfer) (allocated, limitBase int, err error)

// Config connects Shares to the rest of the router. All functions may be called concurrently; all except Transfer must not
// block.
type Config struct {
	Transfer      TransferFunc
	Nodes         func() int      // number of live nodes; 0 if not known yet
	ScarceTenants func() []string // tenants whose idle units should be returned to the pool
	Rules         func() []Rule   // limits of the current configuration
	InContact     func() bool     // whether the router is in contact with the core
	RecentContact func() bool     // stricter than InContact: whether the core is responding now; nil: InContact is used

	// Margin is added to the window before a committed unit can be reserved again; 0: the constant Margin.
	Margin time.Duration
}

// Rule is a tenant's configured limit: the units that may be spent in any window.
type Rule struct {
	Tenant string
	Units  int
	Window time.Duration
}

// Shares holds a router's shares of all tenants' limits; Run is the loop that starts their transfers. All methods may be
// called concurrently.
type Shares struct {
	ctx    daemon.Context
	config Config
	wakeup chan struct{} // buffers one wake-up of the loop

	mu     sync.Mutex
	shares map[string]*Share // by tenant; guarded by mu
}

// NewShares returns a router's shares, to which no units are allocated yet. Run and all transfers end with ctx.
func NewShares(ctx daemon.Context, config Config) *Shares {
	return &Shares{ctx: ctx, config: config, wakeup: make(chan struct{}, 1), shares: map[string]*Share{}}
}

// For returns a tenant's share, creating it on first use.
func (s *Shares) For(tenant string) *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shares[tenant]
	if share == nil {
		margin := Margin
		if s.config.Margin > 0 {
			margin = s.config.Margin
		}
		share = newShare(margin)
		s.shares[tenant] = share
	}
	return share
}

// Tenants returns the tenants that have a share, in no particular order.
func (s *Shares) Tenants() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tenants []string
	for tenant := range s.shares {
		tenants = append(tenants, tenant)
	}
	return tenants
}

// How long a request waits for units: for the core's first response to a transfer of the tenant's units or, after that, for an
// acquire. Reserve may wait longer if the context has a deadline.
const (
	maxFirstResponseWait = 300 * time.Millisecond
	maxAcquireWait       = 35 * time.Millisecond
)

// Reserve reserves units of a tenant's limit, as Share.Reserve does. If the share has too few free units, Reserve waits briefly
// for an acquire. If the context has a deadline, it keeps waiting until then while a transfer is in flight and the router is in
// contact with the core, so that a request can outlast a change of the primary core.
func (s *Shares) Reserve(ctx context.Context, tenant string, units int) (ok bool, retryAfter time.Duration) {
	share := s.For(tenant)
	wait := maxAcquireWait
	if !share.contact.hasResponded() {
		wait = maxFirstResponseWait
	}
	nextResponse := share.NextResponse() // before reserving, so that a response between the two calls is not missed
	ok, retryAfter = share.Reserve(units)
	if ok || ctx.Err() != nil {
		return ok, retryAfter
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	share.Enqueue(units)
	defer share.Dequeue(units)
	_, hasDeadline := ctx.Deadline()
	for expired := false; ; {
		s.startAcquire(tenant, share)
		select {
		case <-nextResponse:
		case <-time.After(exhaustedBackoff / 2):
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		}
		nextResponse = share.NextResponse()
		ok, retryAfter = share.Reserve(units)
		timedOut := expired && !(hasDeadline && share.TransferInFlight() && s.config.InContact())
		if ok || timedOut || ctx.Err() != nil {
			return ok, retryAfter
		}
	}
}

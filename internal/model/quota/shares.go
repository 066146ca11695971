package quota

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/lib/daemon"
)

// TransferFunc asks the core to apply a transfer, and returns how many units are held after it and their limit base. It may
// block until the context ends, and is called concurrently for different tenants. After an error the transfer is repeated
// as it was.
type TransferFunc func(ctx context.Context, transfer Transfer) (held, limitBase int, err error)

// Config is what the shares of a router need of the rest of it. All functions may be called concurrently; all but Transfer
// return at once.
type Config struct {
	Transfer      TransferFunc
	Nodes         func() int      // live nodes; 0: not known yet
	ScarceTenants func() []string // tenants whose idle units are wanted back
	Rules         func() []Rule   // the limits of the configuration in force
	InContact     func() bool     // the core was heard of lately
	RecentContact func() bool     // the core has answered just now; nil: as InContact

	// Margin is added to the window before a spent unit counts as back; 0: the constant Margin.
	Margin time.Duration
}

// Rule is a tenant's limit as configured: units in any window.
type Rule struct {
	Tenant string
	Units  int
	Window time.Duration
}

// Shares are a router's shares of all tenants, and the loop that makes their transfers (Run). All methods may be called
// concurrently.
type Shares struct {
	ctx    daemon.Context
	config Config
	wakeup chan struct{} // holds one wake-up of the loop

	mu     sync.Mutex
	shares map[string]*Share // by tenant; guarded by mu
}

// NewShares makes the shares of a router, without units. The loop ends with ctx.
func NewShares(ctx daemon.Context, config Config) *Shares {
	return &Shares{ctx: ctx, config: config, wakeup: make(chan struct{}, 1), shares: map[string]*Share{}}
}

// For returns a tenant's share, and makes it on first use.
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

// Tenants lists the tenants that have a share here, in no order.
func (s *Shares) Tenants() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var tenants []string
	for tenant := range s.shares {
		tenants = append(tenants, tenant)
	}
	return tenants
}

// How long a request waits for units: for the core's first answer about the tenant, or for an acquire.
const (
	maxFirstAnswerWait = 300 * time.Millisecond
	maxAcquireWait     = 35 * time.Millisecond
)

// Reserve reserves units of a tenant's limit, as Share.Reserve does. Where there are too few here it waits a moment for more
// from the core; where the context has a deadline, it waits until then for a core that has just fallen silent.
func (s *Shares) Reserve(ctx context.Context, tenant string, units int) (ok bool, retryAfter time.Duration) {
	share := s.For(tenant)
	wait := maxAcquireWait
	if !share.contact.hasAnswered() {
		wait = maxFirstAnswerWait
	}
	answered := share.NextAnswer() // before reserving: an answer between the two must not be missed
	ok, retryAfter = share.Reserve(units)
	if ok || ctx.Err() != nil {
		return ok, retryAfter
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	share.Enqueue(units)
	defer share.Dequeue(units)
	_, bounded := ctx.Deadline()
	for expired := false; ; {
		s.startAcquire(tenant, share)
		select {
		case <-answered:
		case <-time.After(exhaustedBackoff / 2):
		case <-timer.C:
			expired = true
		case <-ctx.Done():
		}
		answered = share.NextAnswer()
		ok, retryAfter = share.Reserve(units)
		outOfTime := expired && !(bounded && share.TransferInFlight() && s.config.InContact())
		if ok || outOfTime || ctx.Err() != nil {
			return ok, retryAfter
		}
	}
}

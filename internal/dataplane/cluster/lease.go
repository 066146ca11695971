package cluster

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// releaseTimeout bounds the call that releases the lease.
const releaseTimeout = time.Second

// lease is this router's view of its lease at the core. Its mutex guards all fields.
type lease struct {
	mu            sync.Mutex
	renewedAt     time.Time // when the core last answered; zero: never
	released      bool      // permanently: no more heartbeats are sent
	scarceTenants []string
	scarceVersion uint64 // of scarceTenants; 0: no list yet, or an older core
}

// renew applies a response of the core. It reports whether the core had timed out before it: no response for longer than
// coreTimeout.
func (l *lease) renew(response *coreapi.HeartbeatResponse) (hadTimedOut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hadTimedOut = time.Since(l.renewedAt) > coreTimeout && !l.renewedAt.IsZero()
	l.renewedAt = time.Now()
	if !response.ScarceUnchanged {
		l.scarceTenants, l.scarceVersion = response.ScarceTenants, response.ScarceVersion
	}
	return hadTimedOut
}

// currentScarceVersion returns the version of the list of scarce tenants.
func (l *lease) currentScarceVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scarceVersion
}

func (l *lease) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
}

func (l *lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// sinceRenewal returns the time since the core last answered.
func (l *lease) sinceRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.renewedAt)
}

// CoreTimedOut reports whether the core has not answered for longer than three seconds, so that the active configuration
// may be outdated.
func (m *Member) CoreTimedOut() bool { return m.lease.sinceRenewal() > coreTimeout }

// CoreResponsive reports whether the core has answered one of the last two heartbeats.
func (m *Member) CoreResponsive() bool {
	return m.lease.sinceRenewal() < 2*heartbeatInterval+heartbeatInterval/2
}

// ScarceTenants returns the tenants whose idle quota units the core wants back.
func (m *Member) ScarceTenants() []string {
	m.lease.mu.Lock()
	defer m.lease.mu.Unlock()
	return m.lease.scarceTenants
}

// Leave releases the lease: the core no longer lists this router, and its quota units become free after their cool-down.
// Requests in progress continue. Leave returns after one second at most, or earlier if the context ends.
func (m *Member) Leave(ctx context.Context) {
	m.lease.release()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := coreapi.HeartbeatRequest{Node: m.Self(), Leaving: true}
	if err := m.Core.Call(ctx, "core.beat", &request, &coreapi.HeartbeatResponse{}, true); err != nil {
		m.ctx.Log.Warn("Lease not released at the core.", "error", err.Error())
	}
}

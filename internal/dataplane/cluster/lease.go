package cluster

import (
	"context"
	"sync"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
)

// releaseTimeout bounds the call that gives the lease up.
const releaseTimeout = time.Second

// lease is what this router knows of its lease at the core. Its mutex guards all of it.
type lease struct {
	mu            sync.Mutex
	renewedAt     time.Time // the core's last answer; zero: none yet
	released      bool      // given up for good: no more heartbeats
	scarceTenants []string
	scarceVersion uint64 // of scarceTenants; 0: none, or an older core's
}

// renew notes an answer of the core, and reports whether the core had been silent for longer than coreTimeout before it.
func (l *lease) renew(response *coreapi.HeartbeatResponse) (wasSilent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasSilent = time.Since(l.renewedAt) > coreTimeout && !l.renewedAt.IsZero()
	l.renewedAt = time.Now()
	if !response.ScarceUnchanged {
		l.scarceTenants, l.scarceVersion = response.ScarceTenants, response.ScarceVersion
	}
	return wasSilent
}

// currentScarceVersion is the version of the list of scarce tenants that is kept here.
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

// sinceRenewal is how long ago the core last answered.
func (l *lease) sinceRenewal() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.renewedAt)
}

// CoreTimedOut reports whether the core has not answered for three seconds: the configuration in force may be outdated.
func (m *Member) CoreTimedOut() bool { return m.lease.sinceRenewal() > coreTimeout }

// CoreResponsive reports whether the core has answered one of the last two heartbeats.
func (m *Member) CoreResponsive() bool {
	return m.lease.sinceRenewal() < 2*heartbeatInterval+heartbeatInterval/2
}

// ScarceTenants lists the tenants whose idle quota units the core wants back.
func (m *Member) ScarceTenants() []string {
	m.lease.mu.Lock()
	defer m.lease.mu.Unlock()
	return m.lease.scarceTenants
}

// Leave gives up the lease: the core lists this router no more, and its quota units become free after their cool-down.
// Requests under way go on meanwhile. It returns after a second at most, and when the context ends.
func (m *Member) Leave(ctx context.Context) {
	m.lease.release()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := coreapi.HeartbeatRequest{Node: m.Self(), Leaving: true}
	if err := m.Core.Call(ctx, "core.beat", &request, &coreapi.HeartbeatResponse{}, true); err != nil {
		m.ctx.Log.Warn("Lease not released at the core.", "error", err.Error())
	}
}

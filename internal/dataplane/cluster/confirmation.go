package cluster

import (
	"sync"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// clockDriftDivisor bounds clock drift: over a duration d, the monotonic clocks of two machines differ by at most
// d/clockDriftDivisor.
const clockDriftDivisor = 10

// confirmation is the latest time up to which the active configuration is known to be the newest acknowledged one, by this
// process's monotonic clock. API keys that were revoked before that time are rejected here. Its mutex guards it.
type confirmation struct {
	mu sync.Mutex
	at time.Time // zero: never confirmed
}

// advance moves the time forward; an earlier time is ignored.
func (c *confirmation) advance(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.at) {
		c.at = at
	}
}

func (c *confirmation) latest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// recordConfirmed records that no configuration acknowledged before a time has a version above the given one. A version
// newer than the active one confirms nothing, since its changes are not applied here yet.
func (m *Member) recordConfirmed(version uint64, at time.Time) {
	if version > m.ConfigVersion() {
		return
	}
	m.confirmation.advance(at)
}

// ConfirmedAt returns the latest time up to which the active configuration is known to be at least as new as every
// acknowledged one, by this process's monotonic clock. It is based on when this router, or another one that passed its
// confirmation on, asked the primary under the primary's lease. It is zero if there was no confirmation yet.
func (m *Member) ConfirmedAt() time.Time { return m.confirmation.latest() }

// reportConfirmed adds the confirmation of the active configuration to a response to another router.
func (m *Member) reportConfirmed(difference *dissemination.Difference) {
	version, at := m.ConfigVersion(), m.ConfirmedAt()
	if at.IsZero() {
		return
	}
	difference.Confirmed, difference.ConfigVersion = true, version
	difference.ConfirmedAgeMs = int(time.Since(at).Milliseconds()) + 1
}

// learnConfirmed applies another router's confirmation from its response to a request sent at requestedAt. The response was
// made after that time, so subtracting the age in it from requestedAt errs on the early side.
func (m *Member) learnConfirmed(difference *dissemination.Difference, requestedAt time.Time) {
	if !difference.Confirmed || difference.ConfirmedAgeMs < 0 {
		return
	}
	age := time.Duration(difference.ConfirmedAgeMs) * time.Millisecond
	m.recordConfirmed(difference.ConfigVersion, requestedAt.Add(-age-age/clockDriftDivisor))
}

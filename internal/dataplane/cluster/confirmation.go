package cluster

import (
	"sync"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// clockDriftDivisor is the part of an age by which two machines' monotonic clocks may differ over it.
const clockDriftDivisor = 10

// confirmation is the latest moment up to which the configuration in force is known to be the newest acknowledged one, by
// our own monotonic clock. Keys that were revoked before it are of no use here. Its mutex guards it.
type confirmation struct {
	mu sync.Mutex
	at time.Time // zero: never confirmed
}

// advance moves the moment on; it never moves back.
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

// recordConfirmed notes that every configuration acknowledged before a moment has that version at most. If it is newer than
// the one in force, it confirms nothing: what it changed does not hold here yet.
func (m *Member) recordConfirmed(version uint64, at time.Time) {
	if version > m.ConfigVersion() {
		return
	}
	m.confirmation.advance(at)
}

// ConfirmedAt is the latest moment of which it is known that each configuration acknowledged before it is in force here,
// or a newer one: by our own monotonic clock, from when the primary was asked under its lease, by us or by a router that
// passed its confirmation on; zero where it never was.
func (m *Member) ConfirmedAt() time.Time { return m.confirmation.latest() }

// reportConfirmed adds the confirmation of the configuration in force to an answer to another router.
func (m *Member) reportConfirmed(difference *dissemination.Difference) {
	version, at := m.ConfigVersion(), m.ConfirmedAt()
	if at.IsZero() {
		return
	}
	difference.Confirmed, difference.ConfigVersion = true, version
	difference.ConfirmedAgeMs = int(time.Since(at).Milliseconds()) + 1
}

// learnConfirmed takes over another router's confirmation from its answer to a request sent at a moment. The answer was made
// after that moment, so that the age in it, counted back from there, errs towards an earlier confirmation.
func (m *Member) learnConfirmed(difference *dissemination.Difference, requestedAt time.Time) {
	if !difference.Confirmed || difference.ConfirmedAgeMs < 0 {
		return
	}
	age := time.Duration(difference.ConfirmedAgeMs) * time.Millisecond
	m.recordConfirmed(difference.ConfigVersion, requestedAt.Add(-age-age/clockDriftDivisor))
}

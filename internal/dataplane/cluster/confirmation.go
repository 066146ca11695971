package cluster

import (
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// clockDriftDivisor is the part of an age by which two machines' monotonic clocks may differ over it.
const clockDriftDivisor = 10

// noteConfirmed notes that every configuration acknowledged before a moment has that version at most. A newer one than
// the one in force here says nothing: what it changed is not obeyed yet.
func (h *Member) noteConfirmed(version uint64, at time.Time) {
	if version > h.ConfigVersion() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// ConfirmedAt is the latest moment of which it is known that each configuration acknowledged before it is in force here,
// or a newer one: by our own monotonic clock, from when the primary was asked under its lease, by us or by a node that
// told us; zero where it never was.
func (h *Member) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmedAt
}

// tellConfirmed puts into an answer to another node what is known of the configuration in force.
func (h *Member) tellConfirmed(difference *dissemination.Difference) {
	version, at := h.ConfigVersion(), h.ConfirmedAt()
	if at.IsZero() {
		return
	}
	difference.Confirmed, difference.ConfigVersion = true, version
	difference.ConfirmedAgeMs = int(time.Since(at).Milliseconds()) + 1
}

// takeConfirmed takes what another node has told of its configuration, in answer to what it was asked at a moment: the
// answer was made later, so that the age that it tells counts back from no later moment.
func (h *Member) takeConfirmed(difference *dissemination.Difference, asked time.Time) {
	if !difference.Confirmed || difference.ConfirmedAgeMs < 0 {
		return
	}
	age := time.Duration(difference.ConfirmedAgeMs) * time.Millisecond
	h.noteConfirmed(difference.ConfigVersion, asked.Add(-age-age/clockDriftDivisor))
}

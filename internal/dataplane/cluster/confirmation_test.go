package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// newMemberAt returns a member whose active configuration has the given version.
func newMemberAt(version uint64) *Member {
	m := &Member{}
	m.config.current.Store(&configuration{version: version})
	return m
}

// A confirmation of a version newer than the active one is ignored, and an earlier confirmation does not replace a later one.
func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemberAt(5)
		now := time.Now()
		m.recordConfirmed(6, now)
		if got := m.ConfirmedAt(); !got.IsZero() {
			t.Errorf("got confirmed at %s by a version that is not active, want never", got)
		}
		m.recordConfirmed(5, now)
		m.recordConfirmed(4, now.Add(-time.Second))
		if got := m.ConfirmedAt(); got != now {
			t.Errorf("got confirmed at %s, want %s", got, now)
		}
	})
}

// A confirmation that another router passes on is never later than the original, however long the messages take, and a router
// without a confirmation passes none on.
func TestConfirmationIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newMemberAt(5), newMemberAt(5)
		var unconfirmed dissemination.Difference
		first.reportConfirmed(&unconfirmed)
		second.learnConfirmed(&unconfirmed, time.Now())
		if got := second.ConfirmedAt(); !got.IsZero() {
			t.Errorf("got confirmed at %s by a router that was never confirmed, want never", got)
		}
		original := time.Now()
		first.recordConfirmed(5, original)
		time.Sleep(time.Second)
		requestedAt := time.Now()
		time.Sleep(200 * time.Millisecond) // the request's latency
		var response dissemination.Difference
		first.reportConfirmed(&response)
		time.Sleep(700 * time.Millisecond) // the response's latency
		second.learnConfirmed(&response, requestedAt)
		got := second.ConfirmedAt()
		if got.IsZero() || got.After(original) || original.Sub(got) > 500*time.Millisecond {
			t.Errorf("got confirmed %s before the original, want 0 to 500ms", original.Sub(got))
		}
	})
}

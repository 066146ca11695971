package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/transport/dissemination"
)

// What is confirmed of a version that is not in force here says nothing, and no word makes an older moment of a newer one.
func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Member{}
		h.current.Store(&configuration{version: 5})
		now := time.Now()
		h.noteConfirmed(6, now)
		if !h.ConfirmedAt().IsZero() {
			t.Error("a version that is not in force here was confirmed")
		}
		h.noteConfirmed(5, now)
		h.noteConfirmed(4, now.Add(-time.Second))
		if h.ConfirmedAt() != now {
			t.Errorf("confirmed at %s, %s expected", h.ConfirmedAt(), now)
		}
	})
}

// A node that is told by another is never further than the other, whatever the way took: the age grows by each hop.
func TestConfirmationIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &Member{}, &Member{}
		first.current.Store(&configuration{version: 5})
		second.current.Store(&configuration{version: 5})
		var silent dissemination.Difference
		first.tellConfirmed(&silent)
		second.takeConfirmed(&silent, time.Now())
		if !second.ConfirmedAt().IsZero() {
			t.Error("a node that knows nothing has confirmed something")
		}
		known := time.Now()
		first.noteConfirmed(5, known)
		time.Sleep(time.Second)
		asked := time.Now()
		time.Sleep(200 * time.Millisecond) // on the way there
		var told dissemination.Difference
		first.tellConfirmed(&told)
		time.Sleep(700 * time.Millisecond) // and back
		second.takeConfirmed(&told, asked)
		got := second.ConfirmedAt()
		if got.IsZero() || got.After(known) || known.Sub(got) > 500*time.Millisecond {
			t.Errorf("confirmed %s before the first node was, up to 500ms expected", known.Sub(got))
		}
	})
}

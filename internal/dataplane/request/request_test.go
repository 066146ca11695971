package request

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever transitions are tried, a request ends once, never leaves a final state, and is not sent again.
func TestTransitions(t *testing.T) {
	all := []State{Read, Identified, Routed, Admitted, Queued, Chosen, Sent, Responding, Done, Rejected, Failed}
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		sent, ended := 0, false
		for range 60 {
			to := rapid.SampledFrom(all).Draw(t, "to")
			err := r.Advance(to, "")
			if err != nil {
				continue
			}
			if ended {
				t.Fatalf("moved to %s after a final state", to)
			}
			if to == Sent {
				sent++
			}
			if sent > 1 || sent == 1 && (to == Queued || to == Rejected) {
				t.Fatalf("moved to %s after it was sent", to)
			}
			ended = to == Done || to == Rejected || to == Failed
		}
		if r.State() == Read && len(r.Record("").Steps) > 1 {
			t.Fatal("returned to state read")
		}
	})
}

// The log keeps the latest records, oldest first.
func TestLog(t *testing.T) {
	l := NewLog(3)
	for _, c := range []string{"a", "b", "c", "d", "e"} {
		l.Add(New(), c)
	}
	got := ""
	for _, record := range l.All() {
		got += record.Code
	}
	if got != "cde" {
		t.Errorf("got records %s, want cde", got)
	}
}

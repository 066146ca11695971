package request

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever steps are tried, a request ends once, never leaves an end, and is not sent after it was.
func TestChart(t *testing.T) {
	all := []State{Read, Identified, Routed, Admitted, Queued, Chosen, Sent, Responding, Done, Rejected, Failed}
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		sent, over := 0, false
		for range 60 {
			to := rapid.SampledFrom(all).Draw(t, "to")
			err := r.Advance(to, "")
			if err != nil {
				continue
			}
			if over {
				t.Fatalf("went on to %s after its end", to)
			}
			if to == Sent {
				sent++
			}
			if sent > 1 || sent == 1 && (to == Queued || to == Rejected) {
				t.Fatalf("went to %s after it was sent", to)
			}
			over = to == Done || to == Rejected || to == Failed
		}
		if r.State() == Read && len(r.Record("").Steps) > 1 {
			t.Fatal("came back to read")
		}
	})
}

// The log keeps the last records, oldest first.
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
		t.Errorf("kept %s, cde expected", got)
	}
}

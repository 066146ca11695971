package query

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever steps are tried, a query ends once, never leaves an end, and is not sent after it was.
func TestChart(t *testing.T) {
	all := []State{Read, Known, Mapped, Allowed, Queued, Nominated, Sent, Answering, Done, Bounced, Troubled}
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		sent, over := 0, false
		for range 60 {
			to := rapid.SampledFrom(all).Draw(t, "to")
			err := q.Go(to, "")
			if err != nil {
				continue
			}
			if over {
				t.Fatalf("went on to %s after its end", to)
			}
			if to == Sent {
				sent++
			}
			if sent > 1 || sent == 1 && (to == Queued || to == Bounced) {
				t.Fatalf("went to %s after it was sent", to)
			}
			over = to == Done || to == Bounced || to == Troubled
		}
		if q.State() == Read && len(q.Record("").Steps) > 1 {
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
	for _, r := range l.All() {
		got += r.Code
	}
	if got != "cde" {
		t.Errorf("kept %s, cde expected", got)
	}
}

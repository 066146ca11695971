package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// The candidate that replaces a member comes first, then the one that asked first. One that asks no more, or has become a
// member, is forgotten.
func TestNextCandidate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := membersOf(3)
		var candidates Candidates
		expect := func(want string) {
			t.Helper()
			got := ""
			if next := candidates.Next(v); next != nil {
				got = next.Member.ID
			}
			if got != want {
				t.Errorf("got candidate %q, want %q", got, want)
			}
		}
		expect("")
		candidates.Add(view.Member{ID: "x", Addr: "x:1"})
		time.Sleep(time.Second)
		candidates.Add(view.Member{ID: "y", Addr: "y:1"})
		expect("x")
		candidates.Add(view.Member{ID: "z", Addr: "c:1"}) // where c was
		expect("z")
		v = v.WithMember(view.Member{ID: "z", Addr: "c:1"})
		time.Sleep(candidateTTL - time.Millisecond)
		expect("y") // x asks no more
		if got := len(candidates.Members()); got != 1 {
			t.Errorf("got %d candidates, want 1", got)
		}
		time.Sleep(time.Second)
		expect("")
	})
}

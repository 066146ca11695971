package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/view"
)

// A candidate that supersedes a member comes first, then the one with the earliest request. Candidates whose last request has
// expired or that have become members are dropped.
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
		candidates.Add(view.Member{ID: "z", Addr: "c:1"}) // at the address of member c
		expect("z")
		v = v.WithMember(view.Member{ID: "z", Addr: "c:1"})
		time.Sleep(candidateTTL - time.Millisecond)
		expect("y") // the request of x has expired, z is a member
		if got := len(candidates.Members()); got != 1 {
			t.Errorf("got %d candidates, want 1", got)
		}
		time.Sleep(time.Second)
		expect("")
	})
}

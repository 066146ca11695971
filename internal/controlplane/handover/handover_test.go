package handover

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/lease"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
)

const leaseTerm = 1500 * time.Millisecond

// viewOfFive returns a view with the primary a, the backup b and the other members c, d and e.
func viewOfFive() view.View {
	v := view.View{Epoch: 3, Primary: "a", FirstBackup: "b"}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, view.Member{ID: id, Addr: "at-" + id})
	}
	return v
}

// fakeMembers answers calls to reachable members. Calls to other members block until their context is done.
type fakeMembers struct {
	reachable map[string]bool // by address

	mu       sync.Mutex
	released []paxos.ReleaseRequest // guarded by mu
}

func (f *fakeMembers) call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	if !f.reachable[addr] {
		<-ctx.Done()
		return ctx.Err()
	}
	switch kind {
	case "view.ask":
		response.(*view.StatusResponse).ID = addr[len("at-"):]
	case "view.release":
		f.mu.Lock()
		defer f.mu.Unlock()
		f.released = append(f.released, *request.(*paxos.ReleaseRequest))
	case "view.reach":
		response.(*ReachResponse).ReachesMajority = true
	default:
		return errors.New("unknown kind")
	}
	return nil
}

func (f *fakeMembers) releases() []paxos.ReleaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released
}

// newFakeMembers returns fakeMembers of which only the given ones are reachable.
func newFakeMembers(reachable ...string) *fakeMembers {
	f := &fakeMembers{reachable: map[string]bool{}}
	for _, id := range reachable {
		f.reachable["at-"+id] = true
	}
	return f
}

// A handover is due if the backup but no majority has answered within the last third of the lease term, and the primary has
// led for at least that long.
func TestIsDue(t *testing.T) {
	for _, c := range []struct {
		name      string
		contacted []string
		ledFor    time.Duration
		want      bool
	}{
		{"only the backup answers", []string{"a", "b"}, time.Minute, true},
		{"a majority answers", []string{"a", "b", "c"}, time.Minute, false},
		{"only a member that is no backup answers", []string{"a", "c"}, time.Minute, false},
		{"no other member answers", []string{"a"}, time.Minute, false},
		{"the primary has just begun to lead", []string{"a", "b"}, leaseTerm/3 - time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				coordinator, primaryLease := New(nil, leaseTerm), lease.New(leaseTerm)
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					primaryLease.RecordContact(id)
				}
				time.Sleep(leaseTerm / 3)
				for _, id := range c.contacted {
					primaryLease.RecordContact(id)
				}
				if got := coordinator.IsDue(viewOfFive(), primaryLease, time.Now().Add(-c.ledFor)); got != c.want {
					t.Errorf("got due: %t, want %t", got, c.want)
				}
			})
		})
	}
}

// A backup reports that it reaches a majority if a majority answers it and the request is for the epoch that it knows.
func TestHandleReach(t *testing.T) {
	for _, c := range []struct {
		name      string
		reachable []string
		epoch     uint64
		want      bool
	}{
		{"a majority answers", []string{"b", "c", "d"}, 3, true},
		{"two of five answer", []string{"a", "b"}, 3, false},
		{"another epoch", []string{"a", "b", "c", "d", "e"}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				response := New(newFakeMembers(c.reachable...).call, leaseTerm).HandleReach(t.Context(), &ReachRequest{Epoch: c.epoch}, viewOfFive())
				if response.ReachesMajority != c.want {
					t.Errorf("got majority reached: %t, want %t", response.ReachesMajority, c.want)
				}
				if took := time.Since(start); took > callTimeout || c.want && took > 0 {
					t.Errorf("got a response after %s, want it within %s, and at once if a majority answers", took, callTimeout)
				}
			})
		})
	}
}

// A release is relayed unchanged to all members, and the relay succeeds once a majority has received it.
func TestRelayRelease(t *testing.T) {
	for _, c := range []struct {
		reachable []string
		want      bool
	}{{[]string{"b", "c", "d", "e"}, true}, {[]string{"a", "b"}, false}} {
		synctest.Test(t, func(t *testing.T) {
			members := newFakeMembers(c.reachable...)
			release := paxos.ReleaseRequest{Epoch: 3, PrimaryRun: 9, Round: 12}
			if got := New(members.call, leaseTerm).RelayRelease(t.Context(), &release, viewOfFive()); got != c.want {
				t.Errorf("reachable %v: got relay succeeded: %t, want %t", c.reachable, got, c.want)
			}
			time.Sleep(callTimeout)
			synctest.Wait()
			released := members.releases()
			if len(released) != len(c.reachable) {
				t.Errorf("reachable %v: got %d releases, want one for each reachable member", c.reachable, len(released))
			}
			for _, got := range released {
				if got != release {
					t.Errorf("got release %+v, want %+v", got, release)
				}
			}
		})
	}
}

// FindSuccessor asks the reachable backup once although it is called three times, and reports it if it reaches a majority.
func TestFindSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newFakeMembers("b")
		coordinator, primaryLease := New(members.call, leaseTerm), lease.New(leaseTerm)
		primaryLease.RecordContact("b")
		var found []string
		for range 3 {
			coordinator.FindSuccessor(t.Context(), viewOfFive(), primaryLease, func(backup view.Member) { found = append(found, backup.Addr) })
		}
		synctest.Wait()
		if len(found) != 1 || found[0] != "at-b" {
			t.Errorf("got successors %v, want b once", found)
		}
	})
}

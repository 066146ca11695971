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

// viewOfFive is an epoch that a leads with the backup b, beside c, d and e.
func viewOfFive() view.View {
	v := view.View{Epoch: 3, Primary: "a", FirstBackup: "b"}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, view.Member{ID: id, Addr: "at-" + id})
	}
	return v
}

// fakeMembers answers calls for the members that are reached, and for none of the others until the caller gives up.
type fakeMembers struct {
	reached map[string]bool // by address

	mu       sync.Mutex
	released []paxos.ReleaseRequest // guarded by mu
}

func (f *fakeMembers) call(ctx context.Context, addr, kind string, request msgp.Marshaler, response msgp.Unmarshaler) error {
	if !f.reached[addr] {
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

func reach(ids ...string) *fakeMembers {
	f := &fakeMembers{reached: map[string]bool{}}
	for _, id := range ids {
		f.reached["at-"+id] = true
	}
	return f
}

// A handover is due where no majority has answered for a third of the term, and the backup has: not while a majority
// answers, not where nobody does, and not before the primary has led for so long.
func TestIsDue(t *testing.T) {
	for _, c := range []struct {
		name   string
		heard  []string
		ledFor time.Duration
		want   bool
	}{
		{"the backup alone answers", []string{"a", "b"}, time.Minute, true},
		{"a majority answers", []string{"a", "b", "c"}, time.Minute, false},
		{"another member alone answers", []string{"a", "c"}, time.Minute, false},
		{"nobody answers", []string{"a"}, time.Minute, false},
		{"the primary has just begun", []string{"a", "b"}, leaseTerm/3 - time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				coordinator, primacy := New(nil, leaseTerm), lease.New(leaseTerm)
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					primacy.RecordContact(id)
				}
				time.Sleep(leaseTerm / 3)
				for _, id := range c.heard {
					primacy.RecordContact(id)
				}
				if got := coordinator.IsDue(viewOfFive(), primacy, time.Now().Add(-c.ledFor)); got != c.want {
					t.Errorf("got due: %t, want %t", got, c.want)
				}
			})
		})
	}
}

// A backup says that it reaches a majority where that answers, for the epoch that it knows only.
func TestReach(t *testing.T) {
	for _, c := range []struct {
		name    string
		reached []string
		epoch   uint64
		want    bool
	}{
		{"a majority answers", []string{"b", "c", "d"}, 3, true},
		{"two of five answer", []string{"a", "b"}, 3, false},
		{"another epoch", []string{"a", "b", "c", "d", "e"}, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				response := New(reach(c.reached...).call, leaseTerm).HandleReach(t.Context(), &ReachRequest{Epoch: c.epoch}, viewOfFive())
				if response.ReachesMajority != c.want {
					t.Errorf("got a majority reached: %t, want %t", response.ReachesMajority, c.want)
				}
				if took := time.Since(begun); took > callTimeout || c.want && took > 0 {
					t.Errorf("got an answer after %s, want one within %s, at once where a majority answers", took, callTimeout)
				}
			})
		})
	}
}

// A release goes to all members as it came, and counts as passed on once a majority has it.
func TestRelayRelease(t *testing.T) {
	for _, c := range []struct {
		reached []string
		want    bool
	}{{[]string{"b", "c", "d", "e"}, true}, {[]string{"a", "b"}, false}} {
		synctest.Test(t, func(t *testing.T) {
			members := reach(c.reached...)
			release := paxos.ReleaseRequest{Epoch: 3, PrimaryRun: 9, Round: 12}
			if got := New(members.call, leaseTerm).RelayRelease(t.Context(), &release, viewOfFive()); got != c.want {
				t.Errorf("%v reached: got passed on: %t, want %t", c.reached, got, c.want)
			}
			time.Sleep(callTimeout)
			synctest.Wait()
			released := members.releases()
			if len(released) != len(c.reached) {
				t.Errorf("%v reached: got %d releases, want one each", c.reached, len(released))
			}
			for _, got := range released {
				if got != release {
					t.Errorf("got release %+v, want %+v", got, release)
				}
			}
		})
	}
}

// The backup that answers is asked, once at a time, and found where it reaches a majority.
func TestFindSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := reach("b")
		coordinator, primacy := New(members.call, leaseTerm), lease.New(leaseTerm)
		primacy.RecordContact("b")
		var found []string
		for range 3 {
			coordinator.FindSuccessor(t.Context(), viewOfFive(), primacy, func(backup view.Member) { found = append(found, backup.Addr) })
		}
		synctest.Wait()
		if len(found) != 1 || found[0] != "at-b" {
			t.Errorf("got successors %v, want b once", found)
		}
	})
}

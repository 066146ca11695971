package renewal

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/leadership"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
)

const testTerm = 600 * time.Millisecond

// newRenewer returns the renewer of a process that leads a view as its only member.
func newRenewer(t *testing.T, call paxos.CallFunc) (*Renewer, *leadership.Leadership, view.View) {
	primary := leadership.New(testTerm, 1, 0)
	v := view.View{Epoch: 1, Primary: "a", Members: []view.Member{{ID: "a", Addr: "10.0.0.1:1"}}}
	primary.BeginEpoch(v.Epoch)
	ctx := daemon.Context{Context: t.Context(), Log: slog.New(slog.DiscardHandler)}
	return New(ctx, Config{Leadership: primary, LeaseTerm: testTerm, RunID: 1, ID: func() string { return "a" }, View: func() view.View { return v },
		Call: call, Learn: func(view.View) {}, LeaseHeld: func() {}}), primary, v
}

// An acceptor grants the lease at some moment between the request and its response. The primary counts the term from the
// request: with a slow response its lease would otherwise outlast the acceptor's grant.
func TestGrantCountsFromItsRequest(t *testing.T) {
	const responseTime = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		renewer, primary, v := newRenewer(t, func(_ context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
			time.Sleep(responseTime)
			*response.(*paxos.RenewResponse) = paxos.RenewResponse{ID: "a", Granted: true}
			return nil
		})
		requestedAt := time.Now()
		renewer.Renew()
		want := requestedAt.Add(testTerm - testTerm/10)
		time.Sleep(time.Until(want) - time.Millisecond)
		if !primary.HoldsLease(v) {
			t.Error("got no lease a millisecond before it ends, want one")
		}
		time.Sleep(time.Millisecond)
		if primary.HoldsLease(v) {
			t.Errorf("got a lease %s after its request, want none", testTerm-testTerm/10)
		}
	})
}

// If a process other than the member responds at the member's address, its response counts neither as a grant nor as contact.
func TestAnswerOfAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer, primary, v := newRenewer(t, func(_ context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
			*response.(*paxos.RenewResponse) = paxos.RenewResponse{ID: "b", Granted: true}
			return nil
		})
		renewer.Renew()
		synctest.Wait()
		if primary.HoldsLease(v) || primary.State().Lease.IsInContact(v.IsMajority, testTerm) {
			t.Error("got a grant or contact from another process's response, want neither")
		}
	})
}

// A release names this run of the process, and only the primary sends one.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var released []paxos.ReleaseRequest
		renewer, _, _ := newRenewer(t, func(_ context.Context, _, _ string, request msgp.Marshaler, _ msgp.Unmarshaler) error {
			released = append(released, *request.(*paxos.ReleaseRequest))
			return nil
		})
		renewer.Release(7)
		synctest.Wait()
		want := paxos.ReleaseRequest{Epoch: 1, PrimaryRun: 1, Round: 7}
		if len(released) != 1 || released[0] != want {
			t.Errorf("got releases %+v, want %+v", released, want)
		}
		renewer.config.ID = func() string { return "b" }
		renewer.Release(8)
		synctest.Wait()
		if len(released) != 1 {
			t.Errorf("got %d releases, want none from a member that is not the primary", len(released)-1)
		}
	})
}

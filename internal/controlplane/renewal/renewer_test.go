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

// newRenewer makes the renewer of the only member of a view, which leads it.
func newRenewer(t *testing.T, call paxos.CallFunc) (*Renewer, *leadership.Leadership, view.View) {
	led := leadership.New(testTerm, 1, 0)
	v := view.View{Epoch: 1, Primary: "a", Members: []view.Member{{ID: "a", Addr: "10.0.0.1:1"}}}
	led.BeginEpoch(v.Epoch)
	ctx := daemon.Context{Context: t.Context(), Log: slog.New(slog.DiscardHandler)}
	return New(ctx, Config{Leadership: led, LeaseTerm: testTerm, RunID: 1, ID: func() string { return "a" }, View: func() view.View { return v },
		Call: call, Learn: func(view.View) {}, LeaseHeld: func() {}}), led, v
}

// An acceptor grants the lease at some moment between the request and its answer. The primary counts from the request: with a
// slow answer its lease would otherwise outlast the acceptor's grant.
func TestGrantCountsFromItsRequest(t *testing.T) {
	const answerTime = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		renewer, led, v := newRenewer(t, func(_ context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
			time.Sleep(answerTime)
			*response.(*paxos.RenewResponse) = paxos.RenewResponse{ID: "a", Granted: true}
			return nil
		})
		requestedAt := time.Now()
		renewer.Renew()
		want := requestedAt.Add(testTerm - testTerm/10)
		time.Sleep(time.Until(want) - time.Millisecond)
		if !led.HoldsLease(v) {
			t.Error("got no lease a millisecond before it ends, want one")
		}
		time.Sleep(time.Millisecond)
		if led.HoldsLease(v) {
			t.Errorf("got a lease %s after its request, want none", testTerm-testTerm/10)
		}
	})
}

// An answer of another process than the member at that address counts for nothing: neither as a grant nor as contact.
func TestAnswerOfAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		renewer, led, v := newRenewer(t, func(_ context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
			*response.(*paxos.RenewResponse) = paxos.RenewResponse{ID: "b", Granted: true}
			return nil
		})
		renewer.Renew()
		synctest.Wait()
		if led.HoldsLease(v) || led.Standing().Lease.IsInContact(v.IsMajority, testTerm) {
			t.Error("got a grant or contact by another process's answer, want neither")
		}
	})
}

// The lease is given back in the name of this run, and only by the primary.
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
			t.Errorf("got %d releases, want none by a member that is not primary", len(released)-1)
		}
	})
}

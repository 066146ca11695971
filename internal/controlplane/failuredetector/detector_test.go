package failuredetector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/transport/wire"
)

const (
	leaseTerm = 600 * time.Millisecond
	holderRun = 7
)

// fakeGrants is an acceptor that has granted the lease to holderRun.
type fakeGrants struct {
	grantAge time.Duration // time since the last renewal
	revoked  []uint64
}

func (g *fakeGrants) StaleGrant(age time.Duration) (uint64, bool) {
	return holderRun, g.grantAge > age
}
func (g *fakeGrants) RevokeLease(run uint64) { g.revoked = append(g.revoked, run) }

// answering returns a status query that is answered by the given run of a process.
func answering(run uint64) func(context.Context) (uint64, error) {
	return func(context.Context) (uint64, error) { return run, nil }
}

// failing returns a status query that fails with an error.
func failing(err error) func(context.Context) (uint64, error) {
	return func(context.Context) (uint64, error) { return 0, err }
}

// Only a refused connection or another run at the address proves that the lease holder has ended; no other failure does.
func TestProofOfEnd(t *testing.T) {
	unanswered := func(ctx context.Context) (uint64, error) {
		<-ctx.Done()
		return 0, errors.Join(wire.ErrOutcomeUnknown, ctx.Err())
	}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	tests := []struct {
		name     string
		grantAge time.Duration
		answer   func(context.Context) (uint64, error)
		want     bool
	}{
		{"refused", leaseTerm, failing(fmt.Errorf("%w: %w", wire.ErrUnsent, refused)), true},
		{"another run answers", leaseTerm, answering(holderRun + 1), true},
		{"the lease holder answers", leaseTerm, answering(holderRun), false},
		{"an older version answers", leaseTerm, answering(0), false},
		{"no response", leaseTerm, unanswered, false},
		{"reset", leaseTerm, failing(syscall.ECONNRESET), false},
		{"no route", leaseTerm, failing(syscall.EHOSTUNREACH), false},
		{"rejected", leaseTerm, failing(wire.StatusError{Code: "any"}), false},
		{"renewed just now", leaseTerm / 5, failing(refused), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				grants := &fakeGrants{grantAge: test.grantAge}
				call := func(ctx context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
					run, err := test.answer(ctx)
					response.(*view.StatusResponse).Run = run
					return err
				}
				endedCalls := 0
				detector := New(grants, call, leaseTerm)
				for range 3 {
					detector.Check(t.Context(), view.View{}, func() { endedCalls++ })
				}
				synctest.Wait()
				time.Sleep(time.Second)
				if got := len(grants.revoked) > 0; got != test.want || endedCalls != len(grants.revoked) {
					t.Errorf("got lease revoked: %t, callback called %d times; want %t, and one call per revocation", got, endedCalls, test.want)
				}
				if len(grants.revoked) > 1 {
					t.Errorf("got %d concurrent probes, want one", len(grants.revoked))
				}
			})
		})
	}
}

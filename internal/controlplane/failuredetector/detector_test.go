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

// fakeGrants is an acceptor whose lease is held by holderRun.
type fakeGrants struct {
	silentFor time.Duration
	ended     []uint64
}

func (g *fakeGrants) SilentHolder(span time.Duration) (uint64, bool) {
	return holderRun, g.silentFor > span
}
func (g *fakeGrants) EndLeaseOf(run uint64) { g.ended = append(g.ended, run) }

// answering is a call that is answered by a run of a process.
func answering(run uint64) func(context.Context) (uint64, error) {
	return func(context.Context) (uint64, error) { return run, nil }
}

// failing is a call that ends with an error.
func failing(err error) func(context.Context) (uint64, error) {
	return func(context.Context) (uint64, error) { return 0, err }
}

// Only a refused connection and another run at the address prove that the holder has ended; whatever else fails does not.
func TestProofOfEnd(t *testing.T) {
	unanswered := func(ctx context.Context) (uint64, error) {
		<-ctx.Done()
		return 0, errors.Join(wire.ErrOutcomeUnknown, ctx.Err())
	}
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	tests := []struct {
		name      string
		silentFor time.Duration
		answer    func(context.Context) (uint64, error)
		want      bool
	}{
		{"refused", leaseTerm, failing(fmt.Errorf("%w: %w", wire.ErrUnsent, refused)), true},
		{"another run answers", leaseTerm, answering(holderRun + 1), true},
		{"the holder answers", leaseTerm, answering(holderRun), false},
		{"an older version answers", leaseTerm, answering(0), false},
		{"no answer", leaseTerm, unanswered, false},
		{"reset", leaseTerm, failing(syscall.ECONNRESET), false},
		{"no route", leaseTerm, failing(syscall.EHOSTUNREACH), false},
		{"rejected", leaseTerm, failing(wire.StatusError{Code: "any"}), false},
		{"renewed just now", leaseTerm / 5, failing(refused), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				grants := &fakeGrants{silentFor: test.silentFor}
				call := func(ctx context.Context, _, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
					run, err := test.answer(ctx)
					response.(*view.StatusResponse).Run = run
					return err
				}
				woken := 0
				detector := New(grants, call, leaseTerm)
				for range 3 {
					detector.Check(t.Context(), view.View{}, func() { woken++ })
				}
				synctest.Wait()
				time.Sleep(time.Second)
				if got := len(grants.ended) > 0; got != test.want || woken != len(grants.ended) {
					t.Errorf("got the lease ended: %t, and woken %d times; want %t, and as often", got, woken, test.want)
				}
				if len(grants.ended) > 1 {
					t.Errorf("got %d looks at once, want one", len(grants.ended))
				}
			})
		})
	}
}

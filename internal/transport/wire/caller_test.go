package wire

import (
	"context"
	"errors"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// The error of a call distinguishes calls that were not executed, may have been executed, or were rejected.
func TestCallErrorsDistinguishOutcomes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener := listen(t)
	addr := listener.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		Serve(ctx, listener, func(ctx context.Context, kind string, _ []byte) (msgp.Marshaler, error) {
			if kind == "a.rejected" {
				return nil, StatusError{"not-primary"}
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	}()
	caller := newCaller(t, TCP{})
	if err := caller.Call(ctx, addr, "a.rejected", nil, nil); !HasCode(err, "not-primary") || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("rejected call: got %v, want code not-primary", err)
	}
	abandoned, abandon := context.WithCancel(ctx)
	go abandon()
	if err := caller.Call(abandoned, addr, "a.blocked", nil, nil); !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnsent) {
		t.Errorf("abandoned call: got %v, want ErrOutcomeUnknown or ErrUnsent", err)
	}
	done := make(chan error, 1)
	go func() { done <- caller.Call(ctx, addr, "a.blocked", nil, nil) }()
	cancel()
	if err := <-done; !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrUnsent) {
		t.Errorf("call on a lost connection: got %v, want ErrOutcomeUnknown or ErrUnsent", err)
	}
	closeQuietly(listener)
	<-served // the kernel accepts connections until Serve's Accept has returned
	if err := newCaller(t, TCP{}).Call(t.Context(), addr, "a.rejected", nil, nil); !errors.Is(err, ErrUnsent) {
		t.Errorf("call to a port without a listener: got %v, want ErrUnsent", err)
	}
}

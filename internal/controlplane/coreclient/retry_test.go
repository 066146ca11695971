package coreclient

import (
	"errors"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// A call that was not applied is always retried. A call whose outcome is unknown is retried only if it is idempotent.
func TestIsRetryable(t *testing.T) {
	for _, c := range []struct {
		name                              string
		err                               error
		wantNotIdempotent, wantIdempotent bool
	}{
		{"not primary", wire.StatusError{Code: coreapi.CodeNotPrimary}, true, true},
		{"not ready", wire.StatusError{Code: coreapi.CodeNotReady}, true, true},
		{"unsent", wire.ErrUnsent, true, true},
		{"outcome unknown to the primary", wire.StatusError{Code: coreapi.CodeOutcomeUnknown}, false, true},
		{"outcome unknown to the caller", wire.ErrOutcomeUnknown, false, true},
		{"rejected", wire.StatusError{Code: coreapi.CodeNameTaken}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := isRetryable(c.err, false); got != c.wantNotIdempotent {
				t.Errorf("got %t for a call that is not idempotent, want %t", got, c.wantNotIdempotent)
			}
			if got := isRetryable(c.err, true); got != c.wantIdempotent {
				t.Errorf("got %t for an idempotent call, want %t", got, c.wantIdempotent)
			}
		})
	}
}

// An unknown outcome is reported to the caller regardless of the errors of later attempts.
func TestWorstError(t *testing.T) {
	notReady := wire.StatusError{Code: coreapi.CodeNotReady}
	for _, c := range []struct {
		name               string
		last, newest, want error
	}{
		{"first attempt", nil, wire.ErrUnsent, wire.ErrUnsent},
		{"newest of two that were not applied", wire.ErrUnsent, notReady, notReady},
		{"newest is unknown", wire.ErrUnsent, wire.ErrOutcomeUnknown, wire.ErrOutcomeUnknown},
		{"earlier one is unknown", wire.ErrOutcomeUnknown, wire.ErrUnsent, wire.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := worstError(c.last, c.newest); !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

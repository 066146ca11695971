package coreapi

import (
	"errors"
	"fmt"
	"testing"

	"yarrowridge/internal/transport/wire"
)

func TestIsOutcomeUnknown(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"the core reports an unknown outcome", wire.StatusError{Code: CodeOutcomeUnknown}, true},
		{"the call was sent and got no response", fmt.Errorf("call: %w", wire.ErrOutcomeUnknown), true},
		{"the core rejected the call", wire.StatusError{Code: CodeNotReady}, false},
		{"the call was not sent", fmt.Errorf("call: %w", wire.ErrUnsent), false},
		{"another error", errors.New("x"), false},
		{"no error", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := IsOutcomeUnknown(c.err); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// The holder's name is stored with its units. With another format, units stored by an older version would lose their holder.
func TestHolder(t *testing.T) {
	if got, want := Holder(Node{Name: "edge", Addr: "10.0.0.1:70", Run: 255}), "edge@10.0.0.1:70/ff"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

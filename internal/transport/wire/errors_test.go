package wire

import (
	"context"
	"errors"
	"testing"

	"github.com/rotisserie/eris"
)

// A failed call reads as one that eris wrapped, and its cause is found the same way.
func TestCallErrorReadsAsWrapped(t *testing.T) {
	for _, c := range []struct {
		got  error
		want error
	}{
		{unsent("core.beat", "a:1", context.Canceled), eris.Wrapf(errors.Join(ErrUnsent, context.Canceled), "%s to %s", "core.beat", "a:1")},
		{outcomeUnknown("core.beat", "a:1", "", context.DeadlineExceeded), eris.Wrapf(errors.Join(ErrOutcomeUnknown, context.DeadlineExceeded), "%s to %s", "core.beat", "a:1")},
		{&CallError{"core.beat", "a:1", "connection lost", ErrOutcomeUnknown}, eris.Wrapf(ErrOutcomeUnknown, "%s to %s: connection lost", "core.beat", "a:1")},
		{&CallError{"core.beat", "a:1", "", StatusError{"lost"}}, eris.Wrapf(StatusError{"lost"}, "%s to %s", "core.beat", "a:1")},
	} {
		if c.got.Error() != c.want.Error() {
			t.Errorf("reads %q, %q expected", c.got, c.want)
		}
		for _, cause := range []error{ErrUnsent, ErrOutcomeUnknown, context.Canceled, context.DeadlineExceeded, StatusError{"lost"}} {
			if errors.Is(c.got, cause) != errors.Is(c.want, cause) {
				t.Errorf("%q: cause %q is not found as it was", c.got, cause)
			}
		}
		if HasCode(c.got, "lost") != HasCode(c.want, "lost") {
			t.Errorf("%q: the fault is not found as it was", c.got)
		}
	}
}

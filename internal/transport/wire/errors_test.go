package wire

import (
	"context"
	"errors"
	"testing"

	"github.com/rotisserie/eris"
)

// A CallError has the same text as an error wrapped by eris, and errors.Is and HasCode give the same results for both.
func TestCallErrorMatchesWrappedError(t *testing.T) {
	for _, c := range []struct {
		got  error
		want error
	}{
		{unsentError("core.beat", "a:1", context.Canceled), eris.Wrapf(errors.Join(ErrUnsent, context.Canceled), "%s to %s", "core.beat", "a:1")},
		{outcomeUnknownError("core.beat", "a:1", "", context.DeadlineExceeded), eris.Wrapf(errors.Join(ErrOutcomeUnknown, context.DeadlineExceeded), "%s to %s", "core.beat", "a:1")},
		{&CallError{"core.beat", "a:1", "connection lost", ErrOutcomeUnknown}, eris.Wrapf(ErrOutcomeUnknown, "%s to %s: connection lost", "core.beat", "a:1")},
		{&CallError{"core.beat", "a:1", "", StatusError{"lost"}}, eris.Wrapf(StatusError{"lost"}, "%s to %s", "core.beat", "a:1")},
	} {
		if c.got.Error() != c.want.Error() {
			t.Errorf("Error() = %q, want %q", c.got, c.want)
		}
		for _, cause := range []error{ErrUnsent, ErrOutcomeUnknown, context.Canceled, context.DeadlineExceeded, StatusError{"lost"}} {
			if got, want := errors.Is(c.got, cause), errors.Is(c.want, cause); got != want {
				t.Errorf("errors.Is(%q, %q) = %v, want %v", c.got, cause, got, want)
			}
		}
		if got, want := HasCode(c.got, "lost"), HasCode(c.want, "lost"); got != want {
			t.Errorf("HasCode(%q, lost) = %v, want %v", c.got, got, want)
		}
	}
}

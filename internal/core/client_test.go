package core

import (
	"testing"

	"yarrowridge/internal/wire"
)

// A call is made again after a clear "not taken" always, in doubt only where its caller says that it may be.
func TestWhatIsCalledAgain(t *testing.T) {
	for _, one := range []struct {
		err               error
		always, ifAllowed bool
	}{
		{wire.Fault{Code: NotPrimary}, true, true},
		{wire.Fault{Code: NotReady}, true, true},
		{wire.ErrUnsent, true, true},
		{wire.Fault{Code: InDoubt}, false, true},
		{wire.ErrDoubt, false, true},
		{wire.Fault{Code: NameTaken}, false, false},
	} {
		if got := isWorthRepeating(one.err, false); got != one.always {
			t.Errorf("%v, not repeatable: again %v", one.err, got)
		}
		if got := isWorthRepeating(one.err, true); got != one.ifAllowed {
			t.Errorf("%v, repeatable: again %v", one.err, got)
		}
	}
}

package coreclient

import (
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/wire"
)

// A call is made again after a clear "not taken" always, in doubt only where its caller says that it may be.
func TestWhatIsCalledAgain(t *testing.T) {
	for _, one := range []struct {
		err               error
		always, ifAllowed bool
	}{
		{wire.StatusError{Code: coreapi.CodeNotPrimary}, true, true},
		{wire.StatusError{Code: coreapi.CodeNotReady}, true, true},
		{wire.ErrUnsent, true, true},
		{wire.StatusError{Code: coreapi.CodeOutcomeUnknown}, false, true},
		{wire.ErrOutcomeUnknown, false, true},
		{wire.StatusError{Code: coreapi.CodeNameTaken}, false, false},
	} {
		if got := isWorthRepeating(one.err, false); got != one.always {
			t.Errorf("%v, not repeatable: again %v", one.err, got)
		}
		if got := isWorthRepeating(one.err, true); got != one.ifAllowed {
			t.Errorf("%v, repeatable: again %v", one.err, got)
		}
	}
}

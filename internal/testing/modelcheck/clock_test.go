package modelcheck

import (
	"fmt"
	"strings"
	"testing"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/testing/steppedclock"
)

// walksWithClockSteps is the number of schedules that TestClockSteps runs.
const walksWithClockSteps = 60

// TestClockSteps runs random schedules while the wall clocks of all processes jump continually. Decisions depend only on
// monotonic clocks, so every schedule must still pass.
func TestClockSteps(t *testing.T) {
	if faultinjection.Disabled("") {
		t.Skip("built with a mechanism disabled")
	}
	t.Parallel()
	out, err := steppedclock.Run(t, "-run=^TestRandomWalks$", fmt.Sprintf("-walks=%d", walksWithClockSteps), fmt.Sprintf("-seed=%d", *firstSeed))
	if passed := strings.Count(out, "        --- PASS: TestRandomWalks/all/"); err != nil || passed != walksWithClockSteps {
		t.Errorf("got %d schedules passed, want %d, and error %v:\n%s", passed, walksWithClockSteps, err, out)
	}
}

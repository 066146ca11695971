package modelcheck

import (
	"fmt"
	"strings"
	"testing"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/testing/steppedclock"
)

// walksWithClockSteps is how many schedules TestClockSteps plays.
const walksWithClockSteps = 60

// TestClockSteps plays random walks in which the time of day jumps all the time within the lives of all processes: only
// monotonic clocks decide, so that they pass as ever.
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

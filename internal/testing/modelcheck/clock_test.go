package modelcheck

import (
	"fmt"
	"os/exec"
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
	command := exec.Command("go", "test", "-count=1", "-parallel=2", "-overlay="+steppedclock.Overlay(t), "-run=^TestRandomWalks$", "-v",
		".", fmt.Sprintf("-walks=%d", walksWithClockSteps), fmt.Sprintf("-seed=%d", *first))
	out, err := command.CombinedOutput()
	if passed := strings.Count(string(out), "        --- PASS: TestRandomWalks/all/"); err != nil || passed != walksWithClockSteps {
		t.Errorf("got %d schedules passed, want %d, and error %v:\n%s", passed, walksWithClockSteps, err, out)
	}
}

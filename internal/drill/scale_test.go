package drill

import (
	"io"
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/env"
	"yarrowridge/internal/scale"
)

// A small scale run goes through all phases against real cores: every router learns every change, nothing fails
// before the primary is killed, and no router drops a runner when it is.
func TestScaleRun(t *testing.T) {
	result, err := measureOne(t.Context(), bin, "", scale.Settings{Routers: 8, Runners: 12, Zones: 3, Tenants: 10, Models: 3,
		Phase: 1500 * time.Millisecond, Heartbeat: 500 * time.Millisecond, Draws: 20, DrawTenants: 2}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, phase := range result.Phases {
		names = append(names, phase.Name)
		if phase.Router.Total().BytesSent == 0 || phase.Primary.Total().BytesReceived == 0 || phase.Router.Memory == 0 {
			t.Errorf("%s: nothing was measured: %+v", phase.Name, phase)
		}
	}
	if got := strings.Join(names, " "); got != "quiet heartbeats draws configurations drains takeover" {
		t.Errorf("phases %s", got)
	}
	if result.CallsFailed > 0 {
		t.Errorf("%d calls got no good answer", result.CallsFailed)
	}
	for name, spread := range map[string]scale.Spread{"configuration": result.Configurations, "state": result.Drains} {
		if n := len(spread.Last); n == 0 || len(spread.All) != n*8 || len(spread.Acknowledged) != n {
			t.Errorf("%s: %d changes, %d times of routers, %d answers", name, n, len(spread.All), len(spread.Acknowledged))
		}
	}
	if over := result.Takeover; over.Write == 0 || over.Follow == 0 || over.Settled == 0 || over.Dropped > 0 {
		t.Errorf("takeover %+v", over)
	}
}

// A command line that does not hold is refused before anything is started.
func TestScaleFlags(t *testing.T) {
	for _, line := range []string{"-routers 30,0", "-routers many", "-routers 30 -runners 1,2", "-for 0s", "-draw-tenants 9 -tenants 8", "more"} {
		var out strings.Builder
		if code := Main(append([]string{"scale"}, strings.Fields(line)...), &out); code != env.ExitUsage || !strings.Contains(out.String(), "expected") {
			t.Errorf("%s: code %d, %s", line, code, out.String())
		}
	}
	flags, err := readScaleFlags([]string{"-routers", "3,5", "-runners", "7,9"}, io.Discard)
	if err != nil || flags.routers[1] != 5 || flags.runners[1] != 9 || flags.settings.Zones != 11 {
		t.Errorf("%+v, %v", flags, err)
	}
}

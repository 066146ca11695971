package drill

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"
)

// All promises hold on a short day of each deployment.
func TestDay(t *testing.T) {
	t.Parallel()
	for _, c := range [][2]string{
		{"trentvale", "edits,leave,routers,swap,closing-hall"},
		{"tokachi", "cut,withdraw,blank,wipe,closing-all"},
	} {
		t.Run(c[0], func(t *testing.T) {
			takeFleetSlot(t)
			var out bytes.Buffer
			if code := Main([]string{"day", "-mix", c[0], "-bin", bin, "-scale", "0.3", "-slack", "15s", "-course", c[1]}, &out); code != 0 {
				t.Errorf("the day ended with exit code %d:\n%s", code, out.String())
			}
		})
	}
}

// buildWithFaultInjection builds the daemons so that the variable YARROWRIDGE_DISABLED_MECHANISM can disable a mechanism.
// It returns their folder.
func buildWithFaultInjection(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", append(buildArgs, "-tags", "faultinjection", "-o", dir, "yarrowridge/cmd/router", "yarrowridge/cmd/core")...).CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	return dir
}

// If the mechanism behind a promise is disabled, the drill reports the promise as broken and exits with 1. With nothing
// disabled the same courses succeed.
func TestDrillDetectsDisabledMechanisms(t *testing.T) {
	t.Parallel()
	dir := buildWithFaultInjection(t)
	for _, c := range []struct{ mechanism, promise, mix, course string }{
		{"claim", "once", "trentvale", "half"},
		{"unknown", "not-run", "trentvale", "half"},
		{"frame", "answer", "trentvale", "half"},
		{"tenant", "fidelity", "tokachi", "edits"},
		{"same", "joined", "tokachi", "half,half"},
		{"leaving", "leaving", "tokachi", "leave"},
		{"late", "layout-late", "tokachi", "edits,edits,edits"},
		{"slip", "slipped-back", "tokachi", "edits"},
		{"race", "losing-layout", "tokachi", "edits"},
		{"quota", "quota", "tokachi", "crowd"},
		{"second", "second-tries", "tokachi", "deaf"},
		{"drain", "planned-stop", "trentvale", "restart"},
		{"takeover", "service-back", "trentvale", "primary"},
		{"disk", "read-back", "tokachi", "edits,closing-all"},
		{"", "", "trentvale", "half,restart"},
		{"", "", "tokachi", "leave,edits,half,deaf"},
	} {
		t.Run(c.mechanism+"-"+c.promise, func(t *testing.T) {
			takeFleetSlot(t)
			var out bytes.Buffer
			code := runWithEnv([]string{"day", "-mix", c.mix, "-bin", dir, "-dir", t.TempDir(), "-scale", "0.7", "-slack", "5s", "-course", c.course}, &out, []string{"YARROWRIDGE_DISABLED_MECHANISM=" + c.mechanism})
			if c.mechanism == "" {
				if code != 0 {
					t.Errorf("the drill ended with exit code %d although nothing is disabled:\n%s", code, out.String())
				}
				return
			}
			if code != 1 || !strings.Contains(out.String(), "\n  "+c.promise+": ") {
				t.Errorf("got exit code %d, want 1 and a breach of the promise %s:\n%s", code, c.promise, out.String())
			}
		})
	}
}

// Package steppedclock runs tests under a wall clock that jumps several times a second, while the monotonic clock advances
// normally. Simulated time (testing/synctest) has no such jumps, so the tests are built again with a modified time.Now.
package steppedclock

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// readClocks is the line of Go's time.Now that reads both clocks; stepClock replaces it. In a bubble of simulated time
// runtimeNow returns no monotonic reading, so stepClock takes it from the clock of the bubble's timers. It then shifts the
// wall clock by a pseudo-random offset of up to an hour in either direction, which changes ten times a second.
const (
	readClocks = "	sec, nsec, mono := runtimeNow()\n"
	stepClock  = readClocks + "	if mono == 0 {\n		mono = runtimeNano()\n	}\n" +
		"	sec += int64(uint64(mono/1e8)*0x9e3779b97f4a7c15>>32)%7200 - 3600\n"
)

// Run builds the tests of the caller's package with the modified time.Now, runs them with additional arguments of go test,
// and returns the combined output.
func Run(t *testing.T, arguments ...string) (output string, err error) {
	t.Helper()
	command := exec.Command("go", append([]string{"test", "-count=1", "-parallel=2", "-v", "-overlay=" + writeOverlay(t), "."}, arguments...)...)
	raw, err := command.CombinedOutput()
	return string(raw), err
}

// writeOverlay writes an overlay file that replaces time.Now, and returns its path, for the flag -overlay of the go command.
func writeOverlay(t *testing.T) string {
	t.Helper()
	root, err := exec.Command("go", "env", "GOROOT").Output()
	if err != nil {
		t.Fatal(err)
	}
	original := filepath.Join(strings.TrimSpace(string(root)), "src", "time", "time.go")
	source, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(source), readClocks) != 1 {
		t.Fatalf("%s does not contain the line %q exactly once", original, readClocks)
	}
	folder := t.TempDir()
	modified := filepath.Join(folder, "time.go")
	path := filepath.Join(folder, "overlay.json")
	list, _ := json.Marshal(map[string]any{"Replace": map[string]string{original: modified}})
	for name, content := range map[string]string{modified: strings.Replace(string(source), readClocks, stepClock, 1), path: string(list)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

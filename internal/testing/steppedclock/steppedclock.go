// Package steppedclock makes test programs in which the time of day jumps all the time, while the time that passes goes on as
// ever. Simulated time (testing/synctest) knows no such jump, so the program is built once more with another time.Now.
package steppedclock

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The line of Go's time.Now that reads both clocks, and what follows it here: a bubble of simulated time has only the
// time of day, so that the monotonic reading is taken from its timers; the time of day jumps up to an hour either way,
// ten times a second.
const (
	readClocks = "	sec, nsec, mono := runtimeNow()\n"
	stepClock  = readClocks + "	if mono == 0 {\n		mono = runtimeNano()\n	}\n" +
		"	sec += int64(uint64(mono/1e8)*0x9e3779b97f4a7c15>>32)%7200 - 3600\n"
)

// Run builds the tests of the caller's package with the other time.Now, runs them with the arguments that go test is given
// besides, and returns their output.
func Run(t *testing.T, arguments ...string) (output string, err error) {
	t.Helper()
	command := exec.Command("go", append([]string{"test", "-count=1", "-parallel=2", "-v", "-overlay=" + overlay(t), "."}, arguments...)...)
	raw, err := command.CombinedOutput()
	return string(raw), err
}

// overlay writes what makes go build with the other time.Now, and returns its path, for the flag -overlay.
func overlay(t *testing.T) string {
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
		t.Fatalf("%s reads the clocks otherwise than this test knows", original)
	}
	folder := t.TempDir()
	changed := filepath.Join(folder, "time.go")
	path := filepath.Join(folder, "overlay.json")
	list, _ := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	for name, content := range map[string]string{changed: strings.Replace(string(source), readClocks, stepClock, 1), path: string(list)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

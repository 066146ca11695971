package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yarrowridge/internal/lib/settings"
	"yarrowridge/internal/transport/wire"
)

var testItems = []settings.Setting{
	{Name: "name", Kind: settings.Text, Required: true},
	{Name: "hall", Kind: settings.Text},
	{Name: "from", Kind: settings.IP},
	{Name: "log", Kind: settings.Level, Default: "info", Reloadable: true},
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// writeSettings writes a settings file, replacing an existing one.
func writeSettings(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startFromFile starts a process from a settings file.
func startFromFile(t *testing.T, path string) (*Process, *lockedBuffer) {
	t.Helper()
	out := &lockedBuffer{}
	process, code := Start("prog", testItems, []string{"-env", path}, out)
	if code != Running {
		t.Fatalf("Start: got code %d, want Running: %s", code, out)
	}
	t.Cleanup(process.Close)
	return process, out
}

// waitFor polls until a condition holds, for at most 10 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after 10s: got no %s, want one", what)
		}
	}
}

func TestStartExitCodes(t *testing.T) {
	rejectBadName := func(values settings.Values) settings.Problems {
		if values["name"] == "bad" {
			return settings.Problems{"another name expected"}
		}
		return nil
	}
	tests := []struct {
		name     string
		args     []string
		wantCode int
		wantOut  string
	}{
		{"help", []string{"-h"}, ExitOK, ""},
		{"version", []string{"-version"}, ExitOK, "prog " + Version + ", wire format "},
		{"check", []string{"-check", "-name", "a"}, ExitOK, "prog: settings hold\n"},
		{"check fails", []string{"-check"}, ExitUsage, `prog: setting "name": value "": a value expected` + "\n"},
		{"unknown flag", []string{"-unknown"}, ExitUsage, "prog: flag provided but not defined: -unknown\n"},
		{"invalid combination of settings", []string{"-name", "bad"}, ExitUsage, "prog: another name expected\n"},
		{"no file", []string{"-env", filepath.Join(t.TempDir(), "missing")}, ExitUsage, "prog: settings file "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			process, code := Start("prog", testItems, test.args, &out, rejectBadName)
			if process != nil || code != test.wantCode || !strings.HasPrefix(out.String(), test.wantOut) {
				t.Errorf("Start: got %v, %d, %q, want no process, %d, %q", process, code, out.String(), test.wantCode, test.wantOut)
			}
		})
	}
}

func TestStartSetsIdentity(t *testing.T) {
	values := settings.Values{"name": "a", "hall": "z", "from": "10.0.0.1", "log": "warn"}
	first := StartConfigured(values, &lockedBuffer{}, func(*Process) {})
	t.Cleanup(first.Close)
	second := StartConfigured(values, &lockedBuffer{}, func(*Process) {})
	t.Cleanup(second.Close)
	if first.Ctx.Name != "a" || first.Ctx.Zone != "z" || first.Ctx.Net != (wire.TCP{LocalIP: "10.0.0.1"}) {
		t.Errorf("context: got name %q, zone %q, network %v, want a, z, local IP 10.0.0.1", first.Ctx.Name, first.Ctx.Zone, first.Ctx.Net)
	}
	if first.Ctx.RunID == second.Ctx.RunID {
		t.Errorf("run IDs of two runs: got %d twice, want two different ones", first.Ctx.RunID)
	}
	if first.Ctx.Log.Enabled(first.Ctx, slog.LevelInfo) || !first.Ctx.Log.Enabled(first.Ctx, slog.LevelWarn) {
		t.Error("got another log level, want warn")
	}
	first.Close()
	if first.Ctx.Err() == nil || second.Ctx.Err() != nil {
		t.Errorf("context errors after Close of the first: got %v and %v, want one of the first only", first.Ctx.Err(), second.Ctx.Err())
	}
}

// A reload changes only settings that are reloadable, and an invalid file changes none.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings(t, path, `{"name": "a", "log": "info"}`)
	process, out := startFromFile(t, path)
	args := []string{"-env", path}
	steps := []struct {
		name, file        string
		wantName, wantLog string
		wantLine          string
	}{
		{"not valid", `{"name": "a", "log": "loud"}`, "a", "info", "ERROR main: Reloaded settings do not hold. The old ones stay."},
		{"not reloadable", `{"name": "b", "log": "info"}`, "a", "info", "WARN main: Setting changes only with a restart. setting=name"},
		{"reloadable", `{"name": "a", "log": "debug"}`, "a", "debug", "INFO main: Settings reloaded."},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			writeSettings(t, path, step.file)
			process.reload("prog", testItems, args)
			if name, log := process.Setting("name"), process.Setting("log"); name != step.wantName || log != step.wantLog {
				t.Errorf("settings: got name %q, log %q, want %q, %q", name, log, step.wantName, step.wantLog)
			}
			if !strings.Contains(out.String(), step.wantLine) {
				t.Errorf("log: got %q, want a line with %q", out, step.wantLine)
			}
		})
	}
	if !process.Ctx.Log.Enabled(process.Ctx, slog.LevelDebug) {
		t.Error("got another log level after the reload, want debug")
	}
	if got := process.Settings["log"]; got != "info" {
		t.Errorf("settings as of the start: got log %q, want info", got)
	}
}

// SIGHUP reloads the settings. SIGTERM closes Stop but does not cancel the components' context, so that they can drain.
func TestSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings(t, path, `{"name": "a", "log": "info"}`)
	process, _ := startFromFile(t, path)
	writeSettings(t, path, `{"name": "a", "log": "warn"}`)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "reload on SIGHUP", func() bool { return process.Setting("log") == "warn" })
	select {
	case <-process.Stop:
		t.Fatal("Stop before SIGTERM: got closed, want open")
	default:
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-process.Stop:
	case <-time.After(10 * time.Second):
		t.Fatal("Stop 10s after SIGTERM: got open, want closed")
	}
	if err := process.Ctx.Err(); err != nil {
		t.Errorf("context after SIGTERM: got error %v, want none", err)
	}
}

func TestWithComponent(t *testing.T) {
	out := &lockedBuffer{}
	process := StartConfigured(settings.Values{"name": "a"}, out, func(*Process) {})
	t.Cleanup(process.Close)
	process.Ctx.WithComponent("core").Log.Info("Started.")
	if got := out.String(); !strings.HasSuffix(got, " INFO core: Started.\n") {
		t.Errorf("log line of a component: got %q, want it to begin with the component's name", got)
	}
}

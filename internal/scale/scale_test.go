package scale

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/fleetconfig"
	"yarrowridge/internal/wire"
)

// The configuration of a run is one that a core takes, with a quota for each tenant.
func TestConfigurationHolds(t *testing.T) {
	raw, err := configuration(640, 33)
	if err != nil {
		t.Fatal(err)
	}
	parsed, troubles := fleetconfig.Parse(raw)
	if len(troubles) > 0 {
		t.Fatalf("%d troubles, the first %v", len(troubles), troubles[0])
	}
	if len(parsed.Tenants) != 640 || len(parsed.Pools) != 33 || parsed.Tenants[0].Quota.Units == 0 {
		t.Errorf("%d tenants, %d pools, quota %+v", len(parsed.Tenants), len(parsed.Pools), parsed.Tenants[0].Quota)
	}
}

// Processor time is read beside a name with spaces and brackets; memory in bytes.
func TestProcessFiles(t *testing.T) {
	stat := "77 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 1 2 3"
	if got, err := processorTime([]byte(stat)); err != nil || got != 2*time.Second {
		t.Errorf("150 and 50 ticks: %v, %v", got, err)
	}
	if _, err := processorTime([]byte("77 (a) S 1 2")); err == nil {
		t.Error("a line that is too short was read")
	}
	if got := kilobytes([]byte("Name:\tx\nVmHWM:\t  9 kB\nVmRSS:\t    2048 kB\n"), "VmRSS:"); got != 2<<20 {
		t.Errorf("2048 kB read as %d bytes", got)
	}
	used, err := usageOf(os.Getpid())
	if err != nil || used.memory <= 0 || used.peak < used.memory || used.files < 3 {
		t.Errorf("our own usage: %+v, %v", used, err)
	}
}

// A phase's loads are what was counted in between, a second, by role; a router's is the mean of all.
func TestDifference(t *testing.T) {
	frames := func(n uint64) map[string]wire.Traffic {
		return map[string]wire.Traffic{"core.beat": {CallsSent: wire.Count{Frames: n, Bytes: 100 * n}, AnswersReceived: wire.Count{Frames: n, Bytes: 300 * n}},
			runnersKind: {CallsSent: wire.Count{Frames: n, Bytes: n}}}
	}
	begun := time.Now()
	before := reading{at: begun, hollow: process{usage{processor: time.Second}, frames(100)},
		cores: map[string]process{"p": {}, "b": {}, "v1": {}, "v2": {}}}
	after := reading{at: begun.Add(10 * time.Second), hollow: process{usage{processor: 3 * time.Second, memory: 4000, files: 40}, frames(500)},
		primary: "p", backups: []string{"b"},
		cores: map[string]process{"p": {usage{processor: 5 * time.Second}, frames(50)}, "b": {usage{processor: time.Second}, nil},
			"v1": {usage{memory: 10}, nil}, "v2": {usage{memory: 30}, nil}}}
	got := difference("quiet", 4, before, after)
	if got.Seconds != 10 || got.Router.Processor != 0.05 || got.Router.Memory != 1000 || got.Router.Files != 10 {
		t.Errorf("a router's part: %+v", got.Router)
	}
	if all := got.Router.Total(); all != (Rates{FramesSent: 10, FramesReceived: 10, BytesSent: 1000, BytesReceived: 3000}) {
		t.Errorf("a router's messages, without the runners': %+v", all)
	}
	if got.Primary.Processor != 0.5 || got.Backup.Processor != 0.1 || got.Voter.Memory != 20 {
		t.Errorf("primary %+v, backup %+v, voter %+v", got.Primary, got.Backup, got.Voter)
	}
	if got.Primary.Kinds["core.beat"].FramesSent != 5 {
		t.Errorf("primary's kinds %+v", got.Primary.Kinds)
	}
}

// The tables name each phase and role, and the plot is a file with something in it.
func TestReport(t *testing.T) {
	load := Load{Kinds: map[string]Rates{"core.beat": {1, 2, 300, 400}, "view.ask": {0, 0, 0.1, 0}}}
	var results []*Result
	for _, routers := range []int{30, 100} {
		results = append(results, &Result{Settings: Settings{Routers: routers, Runners: 50},
			Phases: []Phase{{Name: "quiet", Router: load, Primary: load, Backup: load, Voter: load}},
			Drains: Spread{All: []time.Duration{time.Second}, Last: []time.Duration{time.Second, 3 * time.Second, 2 * time.Second}}})
	}
	var out bytes.Buffer
	Print(&out, results)
	for _, want := range []string{"quiet", "voter", "core.beat", "2000.0", "3000.0", "100 routers, 50 runners"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in the report:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "view.ask") {
		t.Error("a kind with hardly any bytes has a row")
	}
	file := filepath.Join(t.TempDir(), "scale.png")
	if err := Plot(file, results); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(file); err != nil || info.Size() == 0 {
		t.Errorf("plot: %v", err)
	}
}

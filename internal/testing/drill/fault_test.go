package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/transport/wire"
)

// runUnderLoad runs the mix's load while it injects a fault, waits until requests succeed again, and then checks the
// promises. It returns the outcomes.
func runUnderLoad(t *testing.T, f *Fleet, scale float64, fault func(ctx context.Context, l *Load)) []Outcome {
	t.Helper()
	l := NewLoad(f, scale, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { l.Run(trafficCtx) })
	if err := f.WaitUntil(ctx, "more than 50 requests have succeeded", func() bool { return Summarize(l.Outcomes()).Done > 50 }); err != nil {
		t.Fatal(err)
	}
	fault(ctx, l)
	n := Summarize(l.Outcomes()).Done
	if err := f.WaitUntil(ctx, "50 more requests have succeeded after the fault", func() bool { return Summarize(l.Outcomes()).Done > n+50 }); err != nil {
		t.Error(err)
	}
	stopTraffic()
	traffic.Wait()
	outcomes := l.Outcomes()
	for i, b := range Check(Evidence{Mix: f.Mix, Outcomes: outcomes, RunnerRequests: f.RequestLog.All()}) {
		if i < 5 {
			t.Errorf("%s: %s", b.Promise, b.Detail)
		}
	}
	s := Summarize(outcomes)
	t.Logf("attempts %d: succeeded %d, rejected %d, failed %d, disconnected %d, error codes %v", s.Attempts, s.Done, s.Rejected, s.Failed, s.Disconnected, s.Codes)
	return outcomes
}

// A rolling upgrade under load to a release with the next wire format, and back: every process is stopped with SIGTERM
// and replaced, one by one, routers first on the way up and cores first on the way down. No request that a router has
// read is dropped, and no process has to wait until its peers are upgraded. The test does not run in parallel to other
// fleets, because its restarts follow each other so closely that requests are lost if the machine is short of CPU.
func TestPlannedRestarts(t *testing.T) {
	f := startTestFleet(t, Tokachi())
	next := t.TempDir()
	if out, err := exec.Command("go", append(buildArgs, "-tags", "next", "-o", next, "yarrowridge/cmd/router", "yarrowridge/cmd/core")...).CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	if out, err := exec.Command(filepath.Join(next, "router"), "-version").CombinedOutput(); err != nil || !strings.Contains(string(out), "wire format 2") {
		t.Fatalf("-version of the next release: got %q, %v; want wire format 2", out, err)
	}
	outcomes := runUnderLoad(t, f, 0.7, func(ctx context.Context, _ *Load) {
		up, down := slices.Concat(f.Routers, f.Cores), slices.Concat(f.Cores, f.Routers)
		for i, p := range slices.Concat(up, down) {
			p.Signal(syscall.SIGTERM)
			if !p.Wait(40 * time.Second) {
				t.Fatalf("%s did not stop within 40 s after SIGTERM", p.Name)
			}
			p.binary = filepath.Join(map[bool]string{true: next, false: bin}[i < len(up)], filepath.Base(p.binary))
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			if err := f.WaitUntil(ctx, p.Name+" is ready again", func() bool { return f.IsReady(ctx, p) }); err != nil {
				t.Fatal(err)
			}
		}
	})
	answered, ran := map[uint64]int{}, map[uint64]int{}
	for _, o := range outcomes {
		if o.Err == "" {
			answered[o.Number]++
		}
		if o.Code == "router-lost" || o.Code == "runner-lost" {
			t.Errorf("request %d failed because of a planned restart: %s", o.Number, o.Code)
		}
	}
	for _, s := range f.RequestLog.All() {
		n, _ := strconv.ParseUint(s.Header.Get("X-Drill-N"), 10, 64)
		ran[n]++
	}
	for n, k := range ran {
		if k > answered[n] {
			t.Errorf("request %d reached runners %d times and was answered %d times", n, k, answered[n])
		}
	}
}

// A runner announces to one router that it leaves, and that router is killed at once. Soon no other router sends the
// runner new requests either. The promised 2 s are checked in simulated time (TestLeavingReportSurvivesRouterCrash in package sim); the limit
// here is longer to allow for a slow machine.
func TestLeavingRunner(t *testing.T) {
	takeFleetSlot(t)
	f := startTestFleet(t, Trentvale())
	var leaving []*Standin
	var leftAt time.Time
	runUnderLoad(t, f, 1, func(ctx context.Context, _ *Load) {
		var notified *Proc
		for _, r := range f.Routers {
			if r.RunnerAddr == f.ModelRunners[0].HeartbeatAddrs[0] {
				notified = r
			}
		}
		for _, s := range append(append([]*Standin{}, f.ModelRunners...), f.AppRunners...) {
			if s.HeartbeatAddrs[0] == notified.RunnerAddr {
				leaving = append(leaving, s)
			}
		}
		for _, s := range leaving {
			s.Leave(ctx)
			s.Mute(true) // the announcement is not repeated
		}
		leftAt = time.Now()
		notified.Kill()
		n := len(f.RequestLog.All())
		if err := f.WaitUntil(ctx, "200 more requests have reached runners and 7 s have passed", func() bool {
			return len(f.RequestLog.All()) > n+200 && time.Since(leftAt) > 7*time.Second
		}); err != nil {
			t.Fatal(err)
		}
	})
	if len(leaving) == 0 {
		t.Fatal("no runner sent its heartbeats to the router that was killed")
	}
	for _, s := range f.RequestLog.All() {
		for _, g := range leaving {
			if s.Runner == g.Name && s.ReceivedAt.Sub(leftAt) > 5*time.Second {
				t.Errorf("%s received a request %s after it had announced that it leaves", s.Runner, s.ReceivedAt.Sub(leftAt))
			}
		}
	}
}

// Operators write configs while the primary is killed or frozen and resumed, and while all cores are killed. No
// acknowledged config is lost, and no version is acknowledged for two configs.
func TestPrimaryFaults(t *testing.T) {
	takeFleetSlot(t)
	f := startTestFleet(t, Tokachi())
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	acked := map[uint64]int{}
	var mu sync.Mutex
	lastNumber := 100
	write := func() bool {
		mu.Lock()
		lastNumber++
		number := lastNumber
		mu.Unlock()
		config := map[string]any{}
		for k, v := range f.Mix.Config {
			config[k] = v
		}
		config["limits"] = object{"queue": number}
		raw, _ := json.Marshal(config)
		code, version, err := f.PutConfig(ctx, f.Routers[number%len(f.Routers)], raw, "*", fmt.Sprintf("w%d", number))
		if err != nil || code != 200 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if earlier, twice := acked[version]; twice && earlier != number {
			t.Errorf("version %d was acknowledged for the writes %d and %d", version, earlier, number)
		}
		acked[version] = number
		return true
	}
	waitForPrimary := func() *Proc {
		var p *Proc
		if err := f.WaitUntil(ctx, "there is a primary", func() bool { p = f.Primary(ctx); return p != nil }); err != nil {
			t.Fatal(err)
		}
		return p
	}
	for _, fault := range []string{"kill", "freeze", "kill-all"} {
		if !write() {
			t.Fatalf("before the fault %s: the write was not acknowledged", fault)
		}
		p := waitForPrimary()
		faultAt := time.Now()
		switch fault {
		case "kill":
			p.Kill()
		case "freeze":
			p.Signal(syscall.SIGSTOP)
		case "kill-all":
			for _, c := range f.Cores {
				c.Signal(syscall.SIGKILL)
			}
			for _, c := range f.Cores {
				c.Wait(10 * time.Second)
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := f.WaitUntil(ctx, "a write is acknowledged after the fault "+fault, write); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: a write was acknowledged after %s", fault, time.Since(faultAt).Round(10*time.Millisecond))
		switch fault {
		case "kill":
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
		case "freeze":
			p.Signal(syscall.SIGCONT)
			write()
		}
	}
	var versions []uint64
	for s := range acked {
		versions = append(versions, s)
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	last := versions[len(versions)-1]
	for _, r := range f.Routers {
		if err := f.WaitUntil(ctx, r.Name+" applies the newest config", func() bool { return f.ConfigVersion(ctx, r) >= last }); err != nil {
			t.Error(err)
		}
	}
}

// A primary is frozen until another primary has acknowledged a config. Reads that reach it while it is frozen are never
// answered with the old config once it resumes, because its lease has expired. With the lease disabled some are.
func TestFrozenPrimaryServesNoStaleConfig(t *testing.T) {
	takeFleetSlot(t)
	for range 2 {
		if rejected, stale := countStaleReads(t, bin, ""); stale > 0 || rejected != 200 {
			t.Errorf("of 200 reads at a resumed primary %d were rejected and %d returned the old config; want 200 and 0", rejected, stale)
		}
	}
	// Whether the resumed primary processes a read or a message of another core first is a matter of chance, so that
	// several fleets may be needed.
	faultDir := buildWithFaultInjection(t)
	for i := range 8 {
		if rejected, stale := countStaleReads(t, faultDir, "lease"); stale > 0 {
			t.Logf("without a lease, fleet %d: of 200 reads %d were rejected and %d returned the old config", i+1, rejected, stale)
			return
		}
	}
	t.Error("without a lease no read in 8 fleets returned the old config")
}

// countStaleReads freezes the primary of a new fleet, sends it 200 reads after another primary has acknowledged a config,
// resumes it, and counts the reads that it rejects and those that it answers with the old config.
func countStaleReads(t *testing.T, binDir, mechanism string) (rejected, stale int) {
	f, err := NewFleet(Tokachi(), binDir, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f.extraEnv = []string{"YARROWRIDGE_DISABLED_MECHANISM=" + mechanism}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	var primary *Proc
	if err := f.WaitUntil(ctx, "there is a primary", func() bool { primary = f.Primary(ctx); return primary != nil }); err != nil {
		t.Fatal(err)
	}
	// Each read has a connection of its own, opened before the freeze, so that the primary processes some of the reads
	// before the messages that the other cores sent meanwhile.
	readVersion := func(caller *wire.Caller) (uint64, error) {
		var out coreapi.StoredConfig
		err := caller.Call(ctx, primary.Addr, "core.layout", &coreapi.ConfigRequest{}, &out)
		return out.Version, err
	}
	var callers []*wire.Caller
	for range 200 {
		caller := wire.NewCaller(wire.TCP{})
		t.Cleanup(caller.Close)
		callers = append(callers, caller)
		if err := f.WaitUntil(ctx, "the primary answers a read", func() bool { _, err := readVersion(caller); return err == nil }); err != nil {
			t.Fatal(err)
		}
	}
	primary.Signal(syscall.SIGSTOP)
	var version uint64
	if err := f.WaitUntil(ctx, "another primary acknowledges a config", func() bool {
		var code int
		code, version, _ = f.PutConfig(ctx, f.Routers[0], f.Mix.ConfigJSON(), "*", "thaw")
		return code == 200
	}); err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, caller := range callers {
		all.Go(func() {
			got, err := readVersion(caller)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rejected++
			} else if got < version {
				stale++
			}
		})
	}
	primary.Signal(syscall.SIGCONT)
	all.Wait()
	return rejected, stale
}

// A tenant sends requests to all routers while routers are killed and restarted. In no rolling window the runners receive
// more of its requests than its quota allows.
func TestQuotaOverRouters(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	const units, window = 24, 3
	mix.Config["tenants"].(object)["casual"].(object)["quota"] = object{"units": units, "window_s": window}
	f := startTestFleet(t, mix)
	l := NewLoad(f, 1, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	run, stop := context.WithTimeout(ctx, 9*time.Second)
	defer stop()
	k := RequestKind{Name: "confirmations", Method: "POST", Path: "/v1/confirmations", Plain: true}
	var all sync.WaitGroup
	for i, r := range f.Routers {
		all.Go(func() {
			for n := uint64(i * 100000); run.Err() == nil; n++ {
				l.Send(k, n+1, k.body("", n+1, requestRand(n)), "casual", r)
				runloop.Sleep(run, 5*time.Millisecond)
			}
		})
	}
	for i := 0; run.Err() == nil; i++ {
		p := f.Routers[i%len(f.Routers)]
		p.Kill()
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		runloop.Sleep(run, 700*time.Millisecond)
	}
	all.Wait()
	var times []time.Time
	for _, request := range f.RequestLog.All() {
		if request.Header.Get("X-Yarrowridge-Tenant") == "casual" {
			times = append(times, request.ReceivedAt)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most := 0
	for i, j := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[j]) >= window*time.Second {
			j++
		}
		most = max(most, i-j+1)
	}
	t.Logf("%d requests ran, at most %d in any %d s with a quota of %d", len(times), most, window, units)
	if most > units {
		t.Errorf("%d requests ran in one window, the quota is %d", most, units)
	}
	if len(times) < units/2 {
		t.Errorf("only %d requests ran, want at least half of the quota", len(times))
	}
}

// Half of the routers, the primary and the second core are killed at once, and then every process. Each time every kind
// of request is served again within 30 s.
func TestHardFaults(t *testing.T) {
	takeFleetSlot(t)
	f := startTestFleet(t, Tokachi())
	runUnderLoad(t, f, 0.7, func(ctx context.Context, l *Load) {
		proc := f.Primary(ctx)
		firstFaults := append([]*Proc{}, f.Routers[:len(f.Routers)/2]...)
		for _, c := range f.Cores {
			if c == proc || c == f.Cores[1] {
				firstFaults = append(firstFaults, c)
			}
		}
		for _, procs := range [][]*Proc{firstFaults, append(append([]*Proc{}, f.Cores...), f.Routers...)} {
			at := time.Now()
			for _, proc := range procs {
				proc.Signal(syscall.SIGKILL)
			}
			for _, proc := range procs {
				proc.Wait(10 * time.Second)
				if err := proc.Start(); err != nil {
					t.Fatal(err)
				}
			}
			for _, k := range f.Mix.Kinds {
				from := time.Now()
				if err := f.WaitUntil(ctx, k.Name+" is served again", func() bool { return servedSince(l.Outcomes(), k.Name, from) }); err != nil {
					t.Fatal(err)
				}
				t.Logf("%d processes killed: %s succeeded again after %s", len(procs), k.Name, time.Since(at).Round(10*time.Millisecond))
				if recovery := time.Since(at); recovery > 30*time.Second {
					t.Errorf("%s succeeded again only after %s, want 30 s at most", k.Name, recovery)
				}
			}
		}
	})
}

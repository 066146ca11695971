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

// under plays a mix while a fault is brought about, then holds every promise against what was seen.
func under(t *testing.T, f *Fleet, scale float64, fault func(ctx context.Context, l *Load)) []Outcome {
	t.Helper()
	l := NewLoad(f, scale, 1)
	ctx, end := context.WithTimeout(t.Context(), 2*time.Minute)
	defer end()
	run, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { l.Run(run) })
	if err := f.Until(ctx, "traffic flows", func() bool { return Total(l.All()).Done > 50 }); err != nil {
		t.Fatal(err)
	}
	fault(ctx, l)
	n := Total(l.All()).Done
	if err := f.Until(ctx, "traffic flows again", func() bool { return Total(l.All()).Done > n+50 }); err != nil {
		t.Error(err)
	}
	stop()
	all.Wait()
	outcomes := l.All()
	for i, b := range Check(Evidence{Mix: f.Mix, Outcomes: outcomes, Seen: f.RequestLog.All()}) {
		if i < 5 {
			t.Errorf("%s: %s", b.Promise, b.What)
		}
	}
	s := Total(outcomes)
	t.Logf("tries %d: done %d, rejected %d, troubled %d, broken %d %v", s.Requests, s.Done, s.Rejected, s.Failed, s.Broken, s.Codes)
	return outcomes
}

// A fleet is rolled to a release one wire format up, and back, under load: every process is stopped with
// a warning and another started in its place, one by one, routers first one way and cores first the other.
// No request that was read is dropped, and none waits for its neighbours' release. It runs beside no other fleet: its
// restarts follow each other so closely that a starved machine loses requests.
func TestPlannedRestarts(t *testing.T) {
	f := up(t, Tokachi())
	next := t.TempDir()
	if out, err := exec.Command("go", append(build, "-tags", "next", "-o", next, "yarrowridge/cmd/router", "yarrowridge/cmd/core")...).CombinedOutput(); err != nil {
		t.Fatalf("%s", out)
	}
	if out, err := exec.Command(filepath.Join(next, "router"), "-version").CombinedOutput(); err != nil || !strings.Contains(string(out), "wire format 2") {
		t.Fatalf("the next release says %q, %v", out, err)
	}
	outcomes := under(t, f, 0.7, func(ctx context.Context, _ *Load) {
		up, down := slices.Concat(f.Routers, f.Cores), slices.Concat(f.Cores, f.Routers)
		for i, p := range slices.Concat(up, down) {
			p.Signal(syscall.SIGTERM)
			if !p.Wait(40 * time.Second) {
				t.Fatalf("%s does not stop", p.Name)
			}
			p.prog = filepath.Join(map[bool]string{true: next, false: bin}[i < len(up)], filepath.Base(p.prog))
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			if err := f.Until(ctx, p.Name+" is ready again", func() bool { return f.Ready(ctx, p) }); err != nil {
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
			t.Errorf("query %d was troubled by a planned restart: %s", o.Number, o.Code)
		}
	}
	for _, s := range f.RequestLog.All() {
		n, _ := strconv.ParseUint(s.Header.Get("X-Drill-N"), 10, 64)
		ran[n]++
	}
	for n, k := range ran {
		if k > answered[n] {
			t.Errorf("query %d reached runners %d times and was answered %d times", n, k, answered[n])
		}
	}
}

// A runner says to one router that it leaves, and that router dies at once: soon no router sends it
// anything new. The two seconds of the promise are held in simulated time (TestLeavingReportSurvivesRouterCrash); the
// bound here leaves room for a slow machine.
func TestLeavingRunner(t *testing.T) {
	takeFleetSlot(t)
	f := up(t, Trentvale())
	var gone []*Standin
	var said time.Time
	under(t, f, 1, func(ctx context.Context, _ *Load) {
		var told *Proc
		for _, r := range f.Routers {
			if r.Runner == f.Models[0].HeartbeatAddrs[0] {
				told = r
			}
		}
		for _, s := range append(append([]*Standin{}, f.Models...), f.Apps...) {
			if s.HeartbeatAddrs[0] == told.Runner {
				gone = append(gone, s)
			}
		}
		for _, s := range gone {
			s.Leave(ctx)
			s.Mute(true) // its word is not repeated
		}
		said = time.Now()
		told.Kill()
		n := len(f.RequestLog.All())
		if err := f.Until(ctx, "much more traffic", func() bool {
			return len(f.RequestLog.All()) > n+200 && time.Since(said) > 7*time.Second
		}); err != nil {
			t.Fatal(err)
		}
	})
	if len(gone) == 0 {
		t.Fatal("no runner beat to the router that was killed")
	}
	for _, s := range f.RequestLog.All() {
		for _, g := range gone {
			if s.Runner == g.Name && s.At.Sub(said) > 5*time.Second {
				t.Errorf("%s got a query %s after it had said that it leaves", s.Runner, s.At.Sub(said))
			}
		}
	}
}

// Operators write while the primary is killed, frozen and thawed: no acknowledged config is lost
// and no version acknowledged twice.
func TestPrimaryFaults(t *testing.T) {
	takeFleetSlot(t)
	f := up(t, Tokachi())
	ctx, end := context.WithTimeout(t.Context(), 2*time.Minute)
	defer end()
	acked := map[uint64]int{}
	var mu sync.Mutex
	mark := 100
	write := func() bool {
		mu.Lock()
		mark++
		m := mark
		mu.Unlock()
		lay := map[string]any{}
		for k, v := range f.Mix.Config {
			lay[k] = v
		}
		lay["limits"] = object{"queue": m}
		raw, _ := json.Marshal(lay)
		code, version, err := f.Put(ctx, f.Routers[m%len(f.Routers)], raw, "*", fmt.Sprintf("w%d", m))
		if err != nil || code != 200 {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if was, twice := acked[version]; twice && was != m {
			t.Errorf("sequence %d acknowledged for %d and %d", version, was, m)
		}
		acked[version] = m
		return true
	}
	lead := func() *Proc {
		var p *Proc
		if err := f.Until(ctx, "a primary", func() bool { p = f.Primary(ctx); return p != nil }); err != nil {
			t.Fatal(err)
		}
		return p
	}
	for _, fault := range []string{"kill", "freeze", "kill-all"} {
		if !write() {
			t.Fatalf("before %s: no write taken", fault)
		}
		p := lead()
		begun := time.Now()
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
		if err := f.Until(ctx, "a write after "+fault, write); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: a write was taken after %s", fault, time.Since(begun).Round(10*time.Millisecond))
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
	var seqs []uint64
	for s := range acked {
		seqs = append(seqs, s)
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	last := seqs[len(seqs)-1]
	for _, r := range f.Routers {
		if err := f.Until(ctx, r.Name+" obeys", func() bool { return f.ConfigVersion(ctx, r) >= last }); err != nil {
			t.Error(err)
		}
	}
}

// A primary is frozen until another has acknowledged a config, and asked for the config meanwhile: what it
// answers in the moment in which it thaws is never the old one. With its lease disabled it is.
func TestThawedPrimary(t *testing.T) {
	takeFleetSlot(t)
	for range 2 {
		if bounced, old := thaw(t, bin, ""); old > 0 || bounced != 200 {
			t.Errorf("of 200 reads that met a thawing primary %d were rejected, %d told the old configuration", bounced, old)
		}
	}
	// Who is first as it thaws, a reader or the others in the core, is chance.
	from := buildWithFaultInjection(t)
	for i := range 8 {
		if bounced, old := thaw(t, from, "lease"); old > 0 {
			t.Logf("without a lease, fleet %d: of 200 reads %d were rejected, %d told the old configuration", i+1, bounced, old)
			return
		}
	}
	t.Error("without a lease no read told the old configuration")
}

// thaw freezes and thaws the primary of a new fleet, and counts what 200 readers are told as it thaws.
func thaw(t *testing.T, from, mechanism string) (bounced, old int) {
	f, err := NewFleet(Tokachi(), from, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f.more = []string{"YARROWRIDGE_DISABLED_MECHANISM=" + mechanism}
	defer f.Stop()
	ctx, end := context.WithTimeout(t.Context(), time.Minute)
	defer end()
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	var p *Proc
	if err := f.Until(ctx, "a primary", func() bool { p = f.Primary(ctx); return p != nil }); err != nil {
		t.Fatal(err)
	}
	// Each on a connection of its own, opened before: some are read before what the others in the core
	// have sent meanwhile.
	ask := func(cal *wire.Caller) (uint64, error) {
		var out coreapi.StoredConfig
		err := cal.Call(ctx, p.Addr, "core.layout", &coreapi.ConfigRequest{}, &out)
		return out.Version, err
	}
	var cals []*wire.Caller
	for range 200 {
		cal := wire.NewCaller(wire.TCP{})
		t.Cleanup(cal.Close)
		cals = append(cals, cal)
		if err := f.Until(ctx, "the primary is read from", func() bool { _, err := ask(cal); return err == nil }); err != nil {
			t.Fatal(err)
		}
	}
	p.Signal(syscall.SIGSTOP)
	var version uint64
	if err := f.Until(ctx, "another primary takes a layout", func() bool {
		var code int
		code, version, _ = f.Put(ctx, f.Routers[0], f.Mix.Raw(), "*", "thaw")
		return code == 200
	}); err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, cal := range cals {
		all.Go(func() {
			got, err := ask(cal)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				bounced++
			} else if got < version {
				old++
			}
		})
	}
	p.Signal(syscall.SIGCONT)
	all.Wait()
	return bounced, old
}

// A tenant's quota over all routers, while routers die and come back: no rolling window of what
// the runners saw holds more.
func TestQuotaOverRouters(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	const units, window = 24, 3
	mix.Config["tenants"].(object)["casual"].(object)["quota"] = object{"units": units, "window_s": window}
	f := up(t, mix)
	l := NewLoad(f, 1, 1)
	ctx, end := context.WithTimeout(t.Context(), time.Minute)
	defer end()
	run, stop := context.WithTimeout(ctx, 9*time.Second)
	defer stop()
	k := Kind{Name: "confirmations", Method: "POST", Path: "/v1/confirmations", Plain: true}
	var all sync.WaitGroup
	for i, r := range f.Routers {
		all.Go(func() {
			for n := uint64(i * 100000); run.Err() == nil; n++ {
				l.Ask(k, n+1, k.body("", n+1, newRand(n)), "casual", r)
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
	var at []time.Time
	for _, s := range f.RequestLog.All() {
		if s.Header.Get("X-Yarrowridge-Tenant") == "casual" {
			at = append(at, s.At)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	limit := 0
	for i, j := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[j]) >= window*time.Second {
			j++
		}
		limit = max(limit, i-j+1)
	}
	t.Logf("%d ran, at most %d in any %d s of a quota of %d", len(at), limit, window, units)
	if limit > units {
		t.Errorf("%d queries in a window of a quota of %d", limit, units)
	}
	if len(at) < units/2 {
		t.Errorf("only %d queries ran", len(at))
	}
}

// Half of the routers, the primary and the backup die at once; then every process does.
func TestHardFaults(t *testing.T) {
	takeFleetSlot(t)
	f := up(t, Tokachi())
	under(t, f, 0.7, func(ctx context.Context, l *Load) {
		p := f.Primary(ctx)
		dead := append([]*Proc{}, f.Routers[:len(f.Routers)/2]...)
		for _, c := range f.Cores {
			if c == p || c == f.Cores[1] {
				dead = append(dead, c)
			}
		}
		for _, set := range [][]*Proc{dead, append(append([]*Proc{}, f.Cores...), f.Routers...)} {
			at := time.Now()
			for _, p := range set {
				p.Signal(syscall.SIGKILL)
			}
			for _, p := range set {
				p.Wait(10 * time.Second)
				if err := p.Start(); err != nil {
					t.Fatal(err)
				}
			}
			for _, k := range f.Mix.Kinds {
				from := time.Now()
				if err := f.Until(ctx, k.Name+" flows", func() bool { return servedSince(l.All(), k.Name, from) }); err != nil {
					t.Fatal(err)
				}
				t.Logf("%d processes killed: %s came through after %s", len(set), k.Name, time.Since(at).Round(10*time.Millisecond))
				if d := time.Since(at); d > 30*time.Second {
					t.Errorf("service for %s took %s", k.Name, d)
				}
			}
		}
	})
}

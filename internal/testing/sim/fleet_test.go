package sim_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/logging"
	"yarrowridge/internal/lib/runloop"
	"yarrowridge/internal/testing/sim"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

var (
	seedCount = flag.Int("seeds", 4, "number of seeds to run each simulation with")
	firstSeed = flag.Uint64("seed", 1, "first seed")
	printLogs = flag.Bool("loud", false, "print the logs of the simulated processes")
)

// overSeeds runs a simulation as a subtest for each seed, each in its own synctest bubble.
func overSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, seed) })
		})
	}
}

// fleet runs the production code of cores and routers on simulated networks, disks and clocks.
type fleet struct {
	t            *testing.T
	w            *sim.World
	rnd          *rand.Rand
	rndMu        sync.Mutex // guards rnd
	log          *slog.Logger
	cores        []*coreProc
	routers      []*routerProc
	zones        []string
	ctx          context.Context
	cancel       context.CancelFunc
	lostAfter    time.Duration
	founders     []string
	codec        configuration.Codec                // of the cores' configuration documents; nil: the default codec
	options      func(*routerProc) []cluster.Option // of the routers' cluster members
	coreSettings func(c *coreProc) core.Settings    // replaces the default settings of a core if set
	extraAddrs   []string                           // further addresses that network faults include, besides cores and routers
}

type coreProc struct {
	addr, zone string
	disk       *sim.Disk
	srv        *core.Server
	crash      func()
	up         bool
}

type routerProc struct {
	name, addr, zone string
	member           *cluster.Member
	crash            func()
	up               bool
	mu               sync.Mutex
	versions         []uint64
	rawByVersion     map[uint64]string
}

// emptyFleet returns a fleet without any process.
func emptyFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, w: sim.NewWorld(seed), rnd: rand.New(rand.NewPCG(seed, 1)), zones: []string{"east", "north", "south", "west"}, lostAfter: 6 * time.Second}
	out := io.Discard
	if *printLogs {
		out = os.Stderr
	}
	f.log = logging.New(out, slog.LevelDebug)
	f.ctx, f.cancel = context.WithCancel(t.Context())
	t.Cleanup(f.stop)
	return f
}

// newFleet starts five cores and a number of routers.
func newFleet(t *testing.T, seed uint64, routers int) *fleet {
	return newFleetWith(t, seed, routers, nil)
}

// newFleetWith is newFleet with a function that adjusts the fleet before any process starts.
func newFleetWith(t *testing.T, seed uint64, routers int, prepare func(*fleet)) *fleet {
	f := emptyFleet(t, seed)
	if prepare != nil {
		prepare(f)
	}
	for i := range 5 {
		c := &coreProc{addr: fmt.Sprintf("10.0.0.%d:1", i+1), zone: f.zones[i%4], disk: sim.NewDisk()}
		f.cores = append(f.cores, c)
		f.founders = append(f.founders, c.addr)
	}
	for _, c := range f.cores {
		f.startCore(c)
	}
	for i := range routers {
		r := &routerProc{name: fmt.Sprintf("r%02d", i), addr: fmt.Sprintf("10.0.1.%d:1", i+1), zone: f.zones[i%4], rawByVersion: map[uint64]string{}}
		f.routers = append(f.routers, r)
		f.startRouter(r)
	}
	return f
}

// chance returns a random number in [0, n) from the generator of the run's seed.
func (f *fleet) chance(n int) int {
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return f.rnd.IntN(n)
}

// perm returns a random permutation of the indices of five cores.
func (f *fleet) perm() []int {
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return f.rnd.Perm(5)
}

func (f *fleet) stop() {
	f.cancel()
	for _, c := range f.cores {
		c.disk.ResumeWrites()
		f.crashCore(c)
	}
	for _, r := range f.routers {
		f.crashRouter(r)
	}
	time.Sleep(10 * time.Second) // simulated time for every goroutine to notice the cancellation
	synctest.Wait()
}

func (f *fleet) startCore(c *coreProc) {
	n, crash := f.w.Net(c.addr)
	ctx, cancel := context.WithCancel(f.ctx)
	c.crash = func() { cancel(); crash() }
	ec := daemon.Context{Context: ctx, Name: c.addr, Zone: c.zone, RunID: uint64(time.Now().UnixNano()), Log: f.log.With("at", c.addr), Net: n}
	var srv *core.Server
	var err error
	set := core.Settings{Addr: c.addr, Founders: f.founders, Seeds: []string{"10.0.1.1:1", "10.0.1.2:1", f.founders[0]}, LostAfter: f.lostAfter, Codec: f.codec}
	if f.coreSettings != nil {
		set = f.coreSettings(c)
	}
	for range 40 { // a process can't start while its disk is stalled or full
		srv, err = core.Open(ec.WithComponent("core"), set, c.disk.Open())
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		f.t.Fatalf("core %s: %v", c.addr, err)
	}
	l, err := n.Listen(c.addr)
	if err != nil {
		f.t.Fatalf("core %s: %v", c.addr, err)
	}
	c.srv, c.up = srv, true
	go wire.Serve(ctx, l, srv.Handle)
	go srv.Run()
}

func (f *fleet) crashCore(c *coreProc) {
	if c.up {
		c.up = false
		c.crash()
		c.disk.Open() // discards later disk operations of the crashed process
	}
}

func (f *fleet) startRouter(r *routerProc) {
	n, crash := f.w.Net(r.addr)
	ctx, cancel := context.WithCancel(f.ctx)
	r.crash = func() { cancel(); crash() }
	ec := daemon.Context{Context: ctx, Name: r.name, Zone: r.zone, RunID: uint64(time.Now().UnixNano()), Log: f.log.With("at", r.name), Net: n}
	var options []cluster.Option
	if f.options != nil {
		options = f.options(r)
	}
	r.member = cluster.NewMember(ec.WithComponent("node"), r.addr, r.addr, []string{f.founders[0], f.founders[1], "10.0.1.1:1"}, func(dissemination.Record) {}, options...)
	r.mu.Lock()
	r.versions = nil
	r.mu.Unlock()
	l, err := n.Listen(r.addr)
	if err != nil {
		f.t.Fatalf("router %s: %v", r.name, err)
	}
	r.up = true
	go wire.Serve(ctx, l, r.member.Serve)
	go r.member.Run()
	member := r.member
	go runloop.Run(ctx, nil, 20*time.Millisecond, func(struct{}) {}, func() {
		config := member.Config()
		if config == nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if n := len(r.versions); n > 0 && r.versions[n-1] > config.Version {
			f.t.Errorf("%s went back from configuration version %d to %d", r.name, r.versions[n-1], config.Version)
		}
		if n := len(r.versions); n == 0 || r.versions[n-1] != config.Version {
			r.versions = append(r.versions, config.Version)
			r.rawByVersion[config.Version] = string(config.Raw)
		}
	})
}

func (f *fleet) crashRouter(r *routerProc) {
	if r.up {
		r.up = false
		r.crash()
	}
}

// primary returns the running core that reports itself ready as primary, or nil.
func (f *fleet) primary() *coreProc {
	for _, c := range f.cores {
		if c.up && c.srv.State().Ready {
			return c
		}
	}
	return nil
}

// within polls ok until it returns true and returns the simulated time that took. The test fails after d.
func (f *fleet) within(d time.Duration, what string, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() {
		if time.Since(start) > d {
			f.t.Fatalf("condition not met within %s: %s", d, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// settle ends every fault, restarts crashed processes, and waits for a primary. It returns how long that took.
func (f *fleet) settle() time.Duration {
	f.w.Heal()
	for _, c := range f.cores {
		c.disk.ResumeWrites()
		c.disk.SetFull(false)
		c.disk.SetWriteDelay(0)
		if !c.up {
			f.startCore(c)
		}
	}
	for _, r := range f.routers {
		if !r.up {
			f.startRouter(r)
		}
	}
	return f.within(12*time.Second, "a primary is ready", func() bool { return f.primary() != nil })
}

// operator is a client of the core at an address of its own.
type operator struct {
	f    *fleet
	addr string
	cli  *coreclient.Client
}

// lastID numbers client addresses and requests uniquely across parallel runs.
var lastID atomic.Uint64

func (f *fleet) operator() *operator {
	addr := fmt.Sprintf("10.0.9.%d:1", lastID.Add(1))
	n, _ := f.w.Net(addr)
	ec := daemon.Context{Context: f.ctx, Name: "op", Log: f.log, Net: n}
	return &operator{f, addr, coreclient.NewClient(ec, wire.NewCaller(n), append([]string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"}, f.founders...))}
}

// numberedConfig returns a small configuration that is unique to its number.
func numberedConfig(number int) []byte { return []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, number)) }

// writeRecord is a write and its outcome as observed by the operator.
type writeRecord struct {
	number     int
	start, end time.Time
	code       int // 200; 412; 503: not applied; 504: outcome unknown
	version    uint64
	raw        string
}

// put writes the test configuration of a number. A base version of 0 stands for any version.
func (o *operator) put(number int, baseVersion uint64, id string) writeRecord {
	p := o.write(&coreapi.WriteRequest{ID: id, BaseVersion: baseVersion, AnyVersion: baseVersion == 0, Raw: numberedConfig(number)})
	p.number = number
	return p
}

// putRaw writes a complete configuration on any version.
func (o *operator) putRaw(config []byte, id string) writeRecord {
	return o.write(&coreapi.WriteRequest{ID: id, AnyVersion: true, Raw: config})
}

func (o *operator) write(in *coreapi.WriteRequest) writeRecord {
	p := writeRecord{start: time.Now(), raw: string(in.Raw)}
	ctx, cancel := context.WithTimeout(o.f.ctx, 6*time.Second)
	defer cancel()
	var out coreapi.WriteResponse
	err := o.cli.Call(ctx, "core.write", in, &out, in.ID != "")
	p.end = time.Now()
	switch {
	case err == nil:
		p.code, p.version = out.Code, out.Version
	case coreapi.IsOutcomeUnknown(err):
		p.code = 504
	default:
		p.code = 503
	}
	return p
}

// readRecord is the result of a successful read.
type readRecord struct {
	start   time.Time
	version uint64
	raw     string
}

// read reads the current configuration and appends it to the history if the read succeeds.
func (o *operator) read(h *history) {
	l := readRecord{start: time.Now()}
	ctx, cancel := context.WithTimeout(o.f.ctx, 2*time.Second)
	defer cancel()
	var out coreapi.StoredConfig
	if o.cli.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &out, true) != nil {
		return
	}
	l.version, l.raw = out.Version, string(out.Raw)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, l)
}

// history records the writes and reads of a run.
type history struct {
	mu     sync.Mutex
	writes []writeRecord
	reads  []readRecord
}

func (h *history) add(p writeRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, p)
}

// check verifies a history, and what the routers applied, against a linearizable register. A write with an unknown outcome
// may or may not have taken effect.
func (f *fleet) check(h *history) {
	t := f.t
	h.mu.Lock()
	defer h.mu.Unlock()
	acknowledged := map[uint64]writeRecord{}
	byRaw := map[string]writeRecord{}
	var completed []writeRecord
	for _, p := range h.writes {
		byRaw[p.raw] = p
		if p.code != 200 {
			continue
		}
		if o, duplicate := acknowledged[p.version]; duplicate {
			t.Errorf("version %d was acknowledged for writes %d and %d", p.version, o.number, p.number)
		}
		acknowledged[p.version] = p
		completed = append(completed, p)
	}
	for _, p := range completed {
		for _, q := range completed {
			if p.end.Before(q.start) && p.version >= q.version {
				t.Errorf("write %d was acknowledged as version %d before write %d began, which got version %d", p.number, p.version, q.number, q.version)
			}
		}
	}
	rawByVersion := map[uint64]string{}
	observe := func(reader string, version uint64, raw string) {
		if other, ok := rawByVersion[version]; ok && other != raw {
			t.Errorf("%s: version %d is %q here, %q elsewhere", reader, version, raw, other)
		}
		rawByVersion[version] = raw
		if p, ok := byRaw[raw]; ok && (p.code == 412 || p.code == 503) {
			t.Errorf("%s observed write %d, which was answered with code %d", reader, p.number, p.code)
		}
		if p, ok := acknowledged[version]; ok && p.raw != raw {
			t.Errorf("%s: version %d is %q, but it was acknowledged for write %d", reader, version, raw, p.number)
		}
	}
	for _, l := range h.reads {
		observe("a reader", l.version, l.raw)
		for _, p := range completed {
			if p.end.Before(l.start) && p.version > l.version {
				t.Errorf("read version %d after version %d had been acknowledged", l.version, p.version)
			}
		}
	}
	for _, r := range f.routers {
		r.mu.Lock()
		for version, raw := range r.rawByVersion {
			observe(r.name, version, raw)
		}
		r.mu.Unlock()
	}
	// The final read returns the newest acknowledged write, or a later one with an unknown outcome.
	o := f.operator()
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	var last coreapi.StoredConfig
	if err := o.cli.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &last, true); err != nil {
		t.Fatalf("reading the configuration at the end: %v", err)
	}
	observe("the core", last.Version, string(last.Raw))
	sort.Slice(completed, func(i, j int) bool { return completed[i].version < completed[j].version })
	if n := len(completed); n > 0 && completed[n-1].version > last.Version {
		t.Errorf("the final read returned version %d, but version %d was acknowledged", last.Version, completed[n-1].version)
	}
}

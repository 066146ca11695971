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
	seedCount = flag.Int("seeds", 4, "how many seeds each simulated run takes")
	firstSeed = flag.Uint64("seed", 1, "first seed")
	printLogs = flag.Bool("loud", false, "print the processes' logs")
)

// overSeeds runs a simulated history for every seed, each in a bubble of its own.
func overSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, seed) })
		})
	}
}

// fleet is a simulated fleet: real code of cores and routers in a made world.
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
	codec        configuration.Codec                // of the cores; nil: configurations
	options      func(*routerProc) []cluster.Option // of the routers' hubs
	coreSettings func(c *coreProc) core.Settings    // in place of the usual settings of a core
	extraAddrs   []string                           // addresses that a fault may cut off from a core, besides cores and routers
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

// emptyFleet is a made world without any process yet.
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

func newFleet(t *testing.T, seed uint64, routers int) *fleet {
	return newFleetWith(t, seed, routers, nil)
}

// newFleetWith starts a fleet that prepare has changed first.
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

// chance draws a number below n from the run's seed.
func (f *fleet) chance(n int) int {
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return f.rnd.IntN(n)
}

// perm draws an order of the five cores.
func (f *fleet) perm() []int {
	f.rndMu.Lock()
	defer f.rndMu.Unlock()
	return f.rnd.Perm(5)
}

func (f *fleet) stop() {
	f.cancel()
	for _, c := range f.cores {
		c.disk.Flow()
		f.crashCore(c)
	}
	for _, r := range f.routers {
		f.crashRouter(r)
	}
	time.Sleep(10 * time.Second) // simulated: let every task see the end
	synctest.Wait()
}

func (f *fleet) startCore(c *coreProc) {
	n, crash := f.w.Net(c.addr)
	ctx, end := context.WithCancel(f.ctx)
	c.crash = func() { end(); crash() }
	ec := daemon.Context{Context: ctx, Name: c.addr, Zone: c.zone, RunID: uint64(time.Now().UnixNano()), Log: f.log.With("at", c.addr), Net: n}
	var srv *core.Server
	var err error
	set := core.Settings{Addr: c.addr, Founders: f.founders, Seeds: []string{"10.0.1.1:1", "10.0.1.2:1", f.founders[0]}, LostAfter: f.lostAfter, Codec: f.codec}
	if f.coreSettings != nil {
		set = f.coreSettings(c)
	}
	for range 40 { // a stalled or full disk keeps a process from starting
		srv, err = core.Open(ec.WithComponent("core"), set, c.disk.Use())
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
		c.disk.Use() // whatever the dead run still does to its disk is lost
	}
}

func (f *fleet) startRouter(r *routerProc) {
	n, crash := f.w.Net(r.addr)
	ctx, end := context.WithCancel(f.ctx)
	r.crash = func() { end(); crash() }
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
	hub := r.member
	go runloop.Run(ctx, nil, 20*time.Millisecond, func(struct{}) {}, func() {
		lay := hub.Config()
		if lay == nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if n := len(r.versions); n > 0 && r.versions[n-1] > lay.Version {
			f.t.Errorf("%s went back from sequence %d to %d", r.name, r.versions[n-1], lay.Version)
		}
		if n := len(r.versions); n == 0 || r.versions[n-1] != lay.Version {
			r.versions = append(r.versions, lay.Version)
			r.rawByVersion[lay.Version] = string(lay.Raw)
		}
	})
}

func (f *fleet) crashRouter(r *routerProc) {
	if r.up {
		r.up = false
		r.crash()
	}
}

// primary is the core that says it is ready to answer as primary.
func (f *fleet) primary() *coreProc {
	for _, c := range f.cores {
		if c.up && c.srv.State().Ready {
			return c
		}
	}
	return nil
}

// within waits, in simulated time, until ok holds.
func (f *fleet) within(d time.Duration, what string, ok func() bool) time.Duration {
	begun := time.Now()
	for !ok() {
		if time.Since(begun) > d {
			f.t.Fatalf("not within %s: %s", d, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// settle heals every fault and waits until the fleet answers again.
func (f *fleet) settle() time.Duration {
	f.w.Heal()
	for _, c := range f.cores {
		c.disk.Flow()
		c.disk.Full(false)
		c.disk.Slow(0)
		if !c.up {
			f.startCore(c)
		}
	}
	for _, r := range f.routers {
		if !r.up {
			f.startRouter(r)
		}
	}
	return f.within(12*time.Second, "a primary that answers", func() bool { return f.primary() != nil })
}

// operator is a client on a machine of its own.
type operator struct {
	f    *fleet
	addr string
	cli  *coreclient.Client
}

// lastID counts the lastID and requests that runs have made beside those of their fleets; runs are parallel.
var lastID atomic.Uint64

func (f *fleet) operator() *operator {
	addr := fmt.Sprintf("10.0.9.%d:1", lastID.Add(1))
	n, _ := f.w.Net(addr)
	ec := daemon.Context{Context: f.ctx, Name: "op", Log: f.log, Net: n}
	return &operator{f, addr, coreclient.NewClient(ec, wire.NewCaller(n), append([]string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"}, f.founders...))}
}

// testConfig is a small configuration that differs from all others by its mark.
func testConfig(mark int) []byte { return []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, mark)) }

// writeRecord is one write as its operator saw it.
type writeRecord struct {
	number     int
	begun, end time.Time
	code       int // 200, 412, 503 surely not taken, 504 in doubt
	version    uint64
	raw        string
}

func (o *operator) put(mark int, match uint64, id string) writeRecord {
	p := o.write(&coreapi.WriteRequest{ID: id, BaseVersion: match, AnyVersion: match == 0, Raw: testConfig(mark)})
	p.number = mark
	return p
}

// putRaw puts a whole configuration.
func (o *operator) putRaw(lay []byte, id string) writeRecord {
	return o.write(&coreapi.WriteRequest{ID: id, AnyVersion: true, Raw: lay})
}

func (o *operator) write(in *coreapi.WriteRequest) writeRecord {
	p := writeRecord{begun: time.Now(), raw: string(in.Raw)}
	ctx, end := context.WithTimeout(o.f.ctx, 6*time.Second)
	defer end()
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

// readRecord is one read as its operator saw it.
type readRecord struct {
	begun   time.Time
	version uint64
	raw     string
}

// read reads the configuration back.
func (o *operator) read(b *history) {
	l := readRecord{begun: time.Now()}
	ctx, end := context.WithTimeout(o.f.ctx, 2*time.Second)
	defer end()
	var out coreapi.StoredConfig
	if o.cli.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &out, true) != nil {
		return
	}
	l.version, l.raw = out.Version, string(out.Raw)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads = append(b.reads, l)
}

// history is the history of all writes and reads.
type history struct {
	mu     sync.Mutex
	writes []writeRecord
	reads  []readRecord
}

func (b *history) add(p writeRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes = append(b.writes, p)
}

// check holds a history against a register that writes in doubt may or may not have changed.
func (f *fleet) check(b *history) {
	t := f.t
	b.mu.Lock()
	defer b.mu.Unlock()
	acked := map[uint64]writeRecord{}
	byRaw := map[string]writeRecord{}
	var done []writeRecord
	for _, p := range b.writes {
		byRaw[p.raw] = p
		if p.code != 200 {
			continue
		}
		if o, twice := acked[p.version]; twice {
			t.Errorf("sequence %d acknowledged for marks %d and %d", p.version, o.number, p.number)
		}
		acked[p.version] = p
		done = append(done, p)
	}
	for _, p := range done {
		for _, q := range done {
			if p.end.Before(q.begun) && p.version >= q.version {
				t.Errorf("mark %d was acknowledged as %d before mark %d began, which got %d", p.number, p.version, q.number, q.version)
			}
		}
	}
	told := map[uint64]string{}
	see := func(who string, seq uint64, raw string) {
		if was, ok := told[seq]; ok && was != raw {
			t.Errorf("%s: sequence %d is %q here, %q elsewhere", who, seq, raw, was)
		}
		told[seq] = raw
		if p, ok := byRaw[raw]; ok && (p.code == 412 || p.code == 503) {
			t.Errorf("%s obeyed mark %d, which was answered %d", who, p.number, p.code)
		}
		if p, ok := acked[seq]; ok && p.raw != raw {
			t.Errorf("%s: sequence %d is %q, acknowledged was mark %d", who, seq, raw, p.number)
		}
	}
	for _, l := range b.reads {
		see("a reader", l.version, l.raw)
		for _, p := range done {
			if p.end.Before(l.begun) && p.version > l.version {
				t.Errorf("read sequence %d after %d had been acknowledged", l.version, p.version)
			}
		}
	}
	for _, r := range f.routers {
		r.mu.Lock()
		for seq, raw := range r.rawByVersion {
			see(r.name, seq, raw)
		}
		r.mu.Unlock()
	}
	// What is read back at the end is the newest acknowledged, or a later one in doubt.
	o := f.operator()
	ctx, end := context.WithTimeout(f.ctx, 10*time.Second)
	defer end()
	var last coreapi.StoredConfig
	if err := o.cli.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &last, true); err != nil {
		t.Fatalf("reading back: %v", err)
	}
	see("the core", last.Version, string(last.Raw))
	sort.Slice(done, func(i, j int) bool { return done[i].version < done[j].version })
	if n := len(done); n > 0 && done[n-1].version > last.Version {
		t.Errorf("read back sequence %d, but %d was acknowledged", last.Version, done[n-1].version)
	}
}

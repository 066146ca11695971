package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/rest/httpc"

	"yarrowridge/internal/env"
	"yarrowridge/internal/layout"
)

// OperatorKey is the operators' key of a rehearsal fleet.
const OperatorKey = "demo-operator"

// Proc is one daemon of the fleet.
type Proc struct {
	Name, Zone string
	Addr       string // between processes
	Client     string // routers only
	Runner     string // routers only
	Operator   string
	prog       string
	args, more []string
	log        string
	mu         sync.Mutex
	cmd        *exec.Cmd
	gone       chan struct{}
}

// Fleet is a whole rehearsal fleet.
type Fleet struct {
	Mix        Mix
	Dir        string
	Cores      []*Proc
	Routers    []*Proc
	Models     []*Standin
	Apps       []*Standin
	RequestLog *RequestLog
	Links      *Links        // nil: zones are not told apart
	Lost       time.Duration // after which a silent core's seat may go to a spare
	seeds      string
	more       []string // added to the daemons' environment
	ports      []net.Listener
}

// Ports are taken from below those that systems give to connections: one that is free for a while, because
// its process is down, must not become the near end of somebody's connection meanwhile.
const portLow, portHigh = 10000, 32000

var portNext, portFrom = new(atomic.Uint32), rand.Uint32N(portHigh - portLow)

// freePort listens at a port that no other call of this process was given.
func freePort(ip string) (l net.Listener, err error) {
	for range portHigh - portLow {
		at := portLow + (portFrom+portNext.Add(1))%(portHigh-portLow)
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, at)); err == nil {
			break
		}
	}
	return l, err
}

// port reserves a port of the loopback range until the fleet starts.
func (f *Fleet) port(ip string) (string, error) {
	l, err := freePort(ip)
	if err != nil {
		return "", err
	}
	f.ports = append(f.ports, l)
	return l.Addr().String(), nil
}

// NewFleet lays a fleet out: five cores and the mix's routers over its zones, with the binaries
// router and core from bin and all files under dir.
//
//	f, err := drill.NewFleet(drill.Trentvale(), "bin", dir)
func NewFleet(mix Mix, bin, dir string) (*Fleet, error) {
	f := &Fleet{Mix: mix, Dir: dir, RequestLog: &RequestLog{}, Lost: 10 * time.Second}
	hash := layout.HashKey(OperatorKey)
	var err error
	at := func() string {
		a, e := f.port("127.0.0.1")
		if e != nil {
			err = e
		}
		return a
	}
	var founders []string
	for i := range 5 {
		p := &Proc{Name: fmt.Sprintf("core%d", i+1), Zone: mix.Zones[i%len(mix.Zones)], Addr: at(), Operator: at(), prog: filepath.Join(bin, "core")}
		f.Cores = append(f.Cores, p)
		founders = append(founders, p.Addr)
	}
	for i := range mix.Routers {
		zone := mix.Zones[i%len(mix.Zones)]
		f.Routers = append(f.Routers, &Proc{Name: fmt.Sprintf("%s%d", zone, i/len(mix.Zones)+1), Zone: zone,
			Addr: at(), Client: at(), Runner: at(), Operator: at(), prog: filepath.Join(bin, "router")})
	}
	f.seeds = strings.Join(founders[:2], ",") + "," + f.Routers[0].Addr
	for _, p := range f.Cores {
		p.args = append(f.coreArgs(p), "-founders", strings.Join(founders, ","))
	}
	for _, p := range f.Routers {
		p.args = []string{"-name", p.Name, "-hall", p.Zone, "-addr", p.Addr, "-origin", p.Client, "-runner", p.Runner,
			"-operator", p.Operator, "-operator-key-hash", hash, "-seeds", f.seeds, "-log", "debug"}
	}
	for _, p := range append(append([]*Proc{}, f.Cores...), f.Routers...) {
		p.log = filepath.Join(dir, p.Name+".log")
	}
	stand := func(i int, name string, labels map[string]string) *Standin {
		zone := mix.Zones[i%len(mix.Zones)]
		labels["hall"] = zone
		s := &Standin{Name: fmt.Sprintf("%s%d", name, i+1), Addr: at(), Labels: labels, RequestLog: f.RequestLog}
		for _, r := range f.Routers {
			if r.Zone == zone {
				s.HeartbeatAddrs = append([]string{r.Runner}, s.HeartbeatAddrs...)
			} else {
				s.HeartbeatAddrs = append(s.HeartbeatAddrs, r.Runner)
			}
		}
		return s
	}
	for i := range mix.Models {
		s := stand(i, "model", map[string]string{"app": "model", "model": mix.Model})
		s.Slots, s.MaxLength, s.TokenTime, s.Slowdown, s.BlockReadTime = 16, 8192, 4*time.Millisecond, 0.1, 4*time.Millisecond
		f.Models = append(f.Models, s)
	}
	app := map[string]string{"trentvale": "orders", "tokachi": "status"}[mix.Name]
	for i := range mix.Apps {
		s := stand(i, app, map[string]string{"app": app})
		s.Slots, s.Plain, s.TokenTime = 64, true, 3*time.Millisecond
		f.Apps = append(f.Apps, s)
	}
	return f, err
}

// coreArgs are a core's flags, but for the founders.
func (f *Fleet) coreArgs(p *Proc) []string {
	return []string{"-name", p.Name, "-hall", p.Zone, "-addr", p.Addr, "-operator", p.Operator, "-operator-key-hash", layout.HashKey(OperatorKey),
		"-data", filepath.Join(f.Dir, p.Name), "-log", "debug", "-lost", f.Lost.String()}
}

// SetLost changes, before the start, after which silence a core's seat may go to a spare.
//
//	f.SetLost(2 * time.Second)
func (f *Fleet) SetLost(d time.Duration) {
	f.Lost = d
	for _, p := range f.Cores {
		p.args[slices.Index(p.args, "-lost")+1] = d.String()
	}
}

// NewCore makes a core that was not there before: blank, at new addresses, knowing the first seeds only.
//
//	p, err := f.NewCore("core6", "north")
func (f *Fleet) NewCore(name, zone string) (*Proc, error) {
	p := &Proc{Name: name, Zone: zone, prog: f.Cores[0].prog, more: f.more, log: filepath.Join(f.Dir, name+".log")}
	var err error
	if p.Addr, err = f.port("127.0.0.1"); err != nil {
		return nil, err
	}
	if p.Operator, err = f.port("127.0.0.1"); err != nil {
		return nil, err
	}
	var more []string
	if f.Links != nil {
		if err := f.link(p); err != nil {
			return nil, err
		}
		more = p.args
	}
	for _, l := range f.ports {
		l.Close()
	}
	f.ports = nil
	p.args = append(append(f.coreArgs(p), "-seeds", f.seeds), more...)
	return p, nil
}

// Link puts forwarders between the zones, before the start.
//
//	err := f.Link()
func (f *Fleet) Link() error {
	f.Links = NewLinks(f.Mix.Zones)
	was := map[string]string{}
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		old := p.Addr
		if err := f.link(p); err != nil {
			return err
		}
		was[old] = p.Addr
	}
	swap := func(s string) string {
		for a, b := range was {
			s = strings.ReplaceAll(s, a, b)
		}
		return s
	}
	f.seeds = swap(f.seeds)
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		for i, a := range p.args {
			if a == "-founders" || a == "-seeds" || a == "-addr" {
				p.args[i+1] = swap(p.args[i+1])
			}
		}
	}
	for _, s := range slices.Concat(f.Models, f.Apps) {
		var err error
		if s.listenAddr, err = f.port(f.Links.IP(s.Labels["hall"])); err != nil {
			return err
		}
		if s.Addr, err = f.Links.Open(s.Labels["hall"], s.listenAddr); err != nil {
			return err
		}
		s.links = f.Links
		s.unreachable = func(to string) bool {
			for _, r := range f.Routers {
				if r.Runner == to {
					blocked, _ := f.Links.Blocked(s.Labels["hall"], r.Zone)
					return blocked
				}
			}
			return false
		}
	}
	return nil
}

// link gives a process an address of its zone, and the forwarder by which the others know it.
func (f *Fleet) link(p *Proc) error {
	real, err := f.port(f.Links.IP(p.Zone))
	if err != nil {
		return err
	}
	if p.Addr, err = f.Links.Open(p.Zone, real); err != nil {
		return err
	}
	p.args = append(p.args, "-listen", real, "-from", f.Links.IP(p.Zone))
	return nil
}

// Start begins a process.
//
//	err := f.Cores[0].Start()
func (p *Proc) Start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.prog, p.args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = out, out, append(os.Environ(), p.more...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "drill: start %s", p.Name)
	}
	gone := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.gone = cmd, gone
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		close(gone)
	}()
	return nil
}

// Signal sends a signal to the process.
//
//	p.Signal(syscall.SIGSTOP)
func (p *Proc) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits until it is gone.
//
//	p.Kill()
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Wait waits for the process to end.
//
//	if !p.Wait(time.Minute) { ... }
func (p *Proc) Wait(d time.Duration) bool {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if gone == nil {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(d):
		return false
	}
}

// Start begins all daemons and stand-ins, puts the mix's config and waits until every router is
// ready and knows the runners.
//
//	err := f.Start(ctx)
func (f *Fleet) Start(ctx context.Context) error {
	for _, l := range f.ports {
		l.Close()
	}
	f.ports = nil
	for _, p := range append(append([]*Proc{}, f.Cores...), f.Routers...) {
		p.more = f.more
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, s := range append(append([]*Standin{}, f.Models...), f.Apps...) {
		if err := s.Start(); err != nil {
			return err
		}
	}
	err := f.Until(ctx, "the layout is taken", func() bool {
		code, _, err := f.Put(ctx, f.Cores[0], f.Mix.Raw(), "*", "first")
		return err == nil && code == 200
	})
	if err != nil {
		return err
	}
	return f.Until(ctx, "every router is ready and knows all runners", func() bool {
		for _, r := range f.Routers {
			if !f.Ready(ctx, r) || f.Serving(ctx, r) < len(f.Models)+len(f.Apps) {
				return false
			}
		}
		return true
	})
}

// Stop ends all that the fleet started.
//
//	defer f.Stop()
func (f *Fleet) Stop() {
	for _, s := range append(append([]*Standin{}, f.Models...), f.Apps...) {
		if s.cancel != nil {
			s.Crash()
		}
	}
	if f.Links != nil {
		defer f.Links.Close()
	}
	for _, p := range append(append([]*Proc{}, f.Routers...), f.Cores...) {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
}

// Until asks until what is awaited holds, or ctx ends.
//
//	err := f.Until(ctx, "all are ready", func() bool { ... })
func (f *Fleet) Until(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		if !env.Wait(ctx, 50*time.Millisecond) {
			return eris.Errorf("drill: gave up waiting until %s", what)
		}
	}
	return nil
}

// Ask makes one operator's call.
//
//	code, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/fleet", nil, nil)
func (f *Fleet) Ask(ctx context.Context, method, at, path string, body []byte, head map[string]string) (int, []byte, error) {
	ctx, end := context.WithTimeout(ctx, 8*time.Second)
	defer end()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	for k, v := range head {
		req.Header.Set(k, v)
	}
	response, err := httpc.DoRequest(req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// Put puts a config through a process and tells the code and the version.
//
//	code, version, err := f.Put(ctx, f.Cores[0], raw, "*", "write-1")
func (f *Fleet) Put(ctx context.Context, p *Proc, raw []byte, match, id string) (int, uint64, error) {
	code, response, err := f.Ask(ctx, "PUT", p.Operator, "/v1/layout", raw, map[string]string{"If-Match": match, "X-Write-Id": id})
	return code, gjson.GetBytes(response, "sequence").Uint(), err
}

// Ready asks a process whether it is ready.
//
//	if f.Ready(ctx, r) { ... }
func (f *Fleet) Ready(ctx context.Context, p *Proc) bool {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	code, _, err := f.Ask(ctx, "GET", p.Operator, "/ready", nil, nil)
	return err == nil && code == 200
}

// Serving counts the runners that a router would send to.
//
//	n := f.Serving(ctx, r)
func (f *Fleet) Serving(ctx context.Context, p *Proc) int {
	code, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/runners", nil, nil)
	if err != nil || code != 200 {
		return 0
	}
	return len(gjson.GetBytes(raw, `#(standing=="ready")#`).Array())
}

// In lists the processes and the runners of a zone.
//
//	procs, runs := f.In("north")
func (f *Fleet) In(zone string) (procs []*Proc, runs []*Standin) {
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		if p.Zone == zone {
			procs = append(procs, p)
		}
	}
	for _, s := range slices.Concat(f.Models, f.Apps) {
		if s.Labels["hall"] == zone {
			runs = append(runs, s)
		}
	}
	return procs, runs
}

// Primary finds the core that leads.
//
//	p := f.Primary(ctx)
func (f *Fleet) Primary(ctx context.Context) *Proc {
	for _, c := range f.Cores {
		code, raw, err := f.Ask(ctx, "GET", c.Operator, "/v1/standing", nil, nil)
		if err == nil && code == 200 && gjson.GetBytes(raw, "ready").Bool() {
			return c
		}
	}
	return nil
}

// ConfigVersion is the config version that a router obeys.
//
//	n := f.ConfigVersion(ctx, r)
func (f *Fleet) ConfigVersion(ctx context.Context, p *Proc) uint64 {
	_, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/standing", nil, nil)
	if err != nil {
		return 0
	}
	return gjson.GetBytes(raw, "node.sequence").Uint()
}

// Describe prints where everything listens.
//
//	f.Describe(os.Stdout)
func (f *Fleet) Describe(w io.Writer) {
	for _, p := range f.Cores {
		fmt.Fprintf(w, "%-8s hall %-6s operators http://%s\n", p.Name, p.Zone, p.Operator)
	}
	for _, p := range f.Routers {
		fmt.Fprintf(w, "%-8s hall %-6s origins http://%s operators http://%s\n", p.Name, p.Zone, p.Client, p.Operator)
	}
	var keys []string
	for _, t := range tenantNames(f.Mix) {
		keys = append(keys, strconv.Quote(Key(t)))
	}
	fmt.Fprintf(w, "operators' key %q; origins' keys %s\n", OperatorKey, strings.Join(keys, ", "))
	raw, _ := json.Marshal(f.Mix.Config["mappings"])
	fmt.Fprintf(w, "mappings %s\nlogs under %s\n", raw, f.Dir)
}

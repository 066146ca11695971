package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"yarrowridge/internal/model/fleetconfig"
)

// Fleet is a fleet of real daemons and stand-in runners on this machine.
type Fleet struct {
	Mix           Mix
	Dir           string
	Cores         []*Proc
	Routers       []*Proc
	ModelRunners  []*Standin
	AppRunners    []*Standin
	RequestLog    *RequestLog
	Links         *Links        // between the zones; nil if the zones are not separated
	CoreLostAfter time.Duration // how long a core is unreachable before a spare may replace it
	seeds         string
	extraEnv      []string // variables added to the daemons' environment
	reservedPorts []net.Listener
}

// NewFleet prepares a fleet without starting it: five cores, the mix's routers and its runners, spread over the mix's
// zones. The binaries router and core are in the folder bin; all files go under dir.
func NewFleet(mix Mix, bin, dir string) (*Fleet, error) {
	f := &Fleet{Mix: mix, Dir: dir, RequestLog: &RequestLog{}, CoreLostAfter: 10 * time.Second}
	hash := fleetconfig.HashKey(OperatorKey)
	var err error
	reserve := func() string {
		addr, portErr := f.reservePort("127.0.0.1")
		if portErr != nil {
			err = portErr
		}
		return addr
	}
	var founders []string
	for i := range 5 {
		p := &Proc{Name: fmt.Sprintf("core%d", i+1), Zone: mix.Zones[i%len(mix.Zones)], Addr: reserve(), OperatorAddr: reserve(), binary: filepath.Join(bin, "core")}
		f.Cores = append(f.Cores, p)
		founders = append(founders, p.Addr)
	}
	for i := range mix.Routers {
		zone := mix.Zones[i%len(mix.Zones)]
		f.Routers = append(f.Routers, &Proc{Name: fmt.Sprintf("%s%d", zone, i/len(mix.Zones)+1), Zone: zone,
			Addr: reserve(), ClientAddr: reserve(), RunnerAddr: reserve(), OperatorAddr: reserve(), binary: filepath.Join(bin, "router")})
	}
	f.seeds = strings.Join(founders[:2], ",") + "," + f.Routers[0].Addr
	for _, p := range f.Cores {
		p.args = append(f.coreArgs(p), "-founders", strings.Join(founders, ","))
	}
	for _, p := range f.Routers {
		p.args = []string{"-name", p.Name, "-hall", p.Zone, "-addr", p.Addr, "-origin", p.ClientAddr, "-runner", p.RunnerAddr,
			"-operator", p.OperatorAddr, "-operator-key-hash", hash, "-seeds", f.seeds, "-log", "debug"}
	}
	for _, p := range append(append([]*Proc{}, f.Cores...), f.Routers...) {
		p.logPath = filepath.Join(dir, p.Name+".log")
	}
	newRunner := func(i int, name string, labels map[string]string) *Standin {
		zone := mix.Zones[i%len(mix.Zones)]
		labels["hall"] = zone
		s := &Standin{Name: fmt.Sprintf("%s%d", name, i+1), Addr: reserve(), Labels: labels, RequestLog: f.RequestLog}
		for _, r := range f.Routers {
			if r.Zone == zone {
				s.HeartbeatAddrs = append([]string{r.RunnerAddr}, s.HeartbeatAddrs...)
			} else {
				s.HeartbeatAddrs = append(s.HeartbeatAddrs, r.RunnerAddr)
			}
		}
		return s
	}
	for i := range mix.ModelRunners {
		s := newRunner(i, "model", map[string]string{"app": "model", "model": mix.Model})
		s.Slots, s.MaxLength, s.TokenTime, s.Slowdown, s.BlockReadTime = 16, 8192, 4*time.Millisecond, 0.1, 4*time.Millisecond
		f.ModelRunners = append(f.ModelRunners, s)
	}
	app := map[string]string{"trentvale": "orders", "tokachi": "status"}[mix.Name]
	for i := range mix.AppRunners {
		s := newRunner(i, app, map[string]string{"app": app})
		s.Slots, s.Plain, s.TokenTime = 64, true, 3*time.Millisecond
		f.AppRunners = append(f.AppRunners, s)
	}
	return f, err
}

// coreArgs returns a core's flags except the founders or seeds.
func (f *Fleet) coreArgs(p *Proc) []string {
	return []string{"-name", p.Name, "-hall", p.Zone, "-addr", p.Addr, "-operator", p.OperatorAddr, "-operator-key-hash", fleetconfig.HashKey(OperatorKey),
		"-data", filepath.Join(f.Dir, p.Name), "-log", "debug", "-lost", f.CoreLostAfter.String()}
}

// SetCoreLostAfter changes how long a core is unreachable before a spare may replace it. It takes effect only before Start.
func (f *Fleet) SetCoreLostAfter(d time.Duration) {
	f.CoreLostAfter = d
	for _, p := range f.Cores {
		p.args[slices.Index(p.args, "-lost")+1] = d.String()
	}
}

// NewCore returns a core, not yet started, that has no data, new addresses and only the seeds of the fleet.
func (f *Fleet) NewCore(name, zone string) (*Proc, error) {
	p := &Proc{Name: name, Zone: zone, binary: f.Cores[0].binary, extraEnv: f.extraEnv, logPath: filepath.Join(f.Dir, name+".log")}
	var err error
	if p.Addr, err = f.reservePort("127.0.0.1"); err != nil {
		return nil, err
	}
	if p.OperatorAddr, err = f.reservePort("127.0.0.1"); err != nil {
		return nil, err
	}
	var linkArgs []string
	if f.Links != nil {
		if err := f.addForwarder(p); err != nil {
			return nil, err
		}
		linkArgs = p.args
	}
	for _, l := range f.reservedPorts {
		_ = l.Close()
	}
	f.reservedPorts = nil
	p.args = append(append(f.coreArgs(p), "-seeds", f.seeds), linkArgs...)
	return p, nil
}

// InsertLinks puts a forwarder in front of every process and runner, so that a zone can be isolated. It takes effect only
// before Start.
func (f *Fleet) InsertLinks() error {
	f.Links = NewLinks(f.Mix.Zones)
	forwarderAddrs := map[string]string{}
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		old := p.Addr
		if err := f.addForwarder(p); err != nil {
			return err
		}
		forwarderAddrs[old] = p.Addr
	}
	substitute := func(s string) string {
		for old, current := range forwarderAddrs {
			s = strings.ReplaceAll(s, old, current)
		}
		return s
	}
	f.seeds = substitute(f.seeds)
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		for i, arg := range p.args {
			if arg == "-founders" || arg == "-seeds" || arg == "-addr" {
				p.args[i+1] = substitute(p.args[i+1])
			}
		}
	}
	for _, s := range slices.Concat(f.ModelRunners, f.AppRunners) {
		var err error
		if s.listenAddr, err = f.reservePort(f.Links.IP(s.Labels["hall"])); err != nil {
			return err
		}
		if s.Addr, err = f.Links.Open(s.Labels["hall"], s.listenAddr); err != nil {
			return err
		}
		s.links = f.Links
		s.unreachable = func(addr string) bool {
			for _, r := range f.Routers {
				if r.RunnerAddr == addr {
					blocked, _ := f.Links.Blocked(s.Labels["hall"], r.Zone)
					return blocked
				}
			}
			return false
		}
	}
	return nil
}

// addForwarder has a process listen on an address of its zone, behind a forwarder whose address the others use.
func (f *Fleet) addForwarder(p *Proc) error {
	listenAddr, err := f.reservePort(f.Links.IP(p.Zone))
	if err != nil {
		return err
	}
	if p.Addr, err = f.Links.Open(p.Zone, listenAddr); err != nil {
		return err
	}
	p.args = append(p.args, "-listen", listenAddr, "-from", f.Links.IP(p.Zone))
	return nil
}

// Start starts all daemons and stand-ins, writes the mix's config and waits until every router is ready and knows all
// runners.
func (f *Fleet) Start(ctx context.Context) error {
	for _, l := range f.reservedPorts {
		_ = l.Close()
	}
	f.reservedPorts = nil
	for _, p := range append(append([]*Proc{}, f.Cores...), f.Routers...) {
		p.extraEnv = f.extraEnv
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, s := range append(append([]*Standin{}, f.ModelRunners...), f.AppRunners...) {
		if err := s.Start(); err != nil {
			return err
		}
	}
	err := f.WaitUntil(ctx, "the layout is taken", func() bool {
		code, _, err := f.PutConfig(ctx, f.Cores[0], f.Mix.ConfigJSON(), "*", "first")
		return err == nil && code == 200
	})
	if err != nil {
		return err
	}
	return f.WaitUntil(ctx, "every router is ready and knows all runners", func() bool {
		for _, r := range f.Routers {
			if !f.IsReady(ctx, r) || f.CountReadyRunners(ctx, r) < len(f.ModelRunners)+len(f.AppRunners) {
				return false
			}
		}
		return true
	})
}

// Stop ends all processes and stand-ins of the fleet. Frozen processes are continued first.
func (f *Fleet) Stop() {
	for _, s := range append(append([]*Standin{}, f.ModelRunners...), f.AppRunners...) {
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

// InZone returns the processes and the runners of a zone.
func (f *Fleet) InZone(zone string) (procs []*Proc, runners []*Standin) {
	for _, p := range slices.Concat(f.Cores, f.Routers) {
		if p.Zone == zone {
			procs = append(procs, p)
		}
	}
	for _, s := range slices.Concat(f.ModelRunners, f.AppRunners) {
		if s.Labels["hall"] == zone {
			runners = append(runners, s)
		}
	}
	return procs, runners
}

// Describe prints the addresses, the keys and the folder of the logs.
func (f *Fleet) Describe(w io.Writer) {
	for _, p := range f.Cores {
		printf(w, "%-8s zone %-6s operators http://%s\n", p.Name, p.Zone, p.OperatorAddr)
	}
	for _, p := range f.Routers {
		printf(w, "%-8s zone %-6s origins http://%s operators http://%s\n", p.Name, p.Zone, p.ClientAddr, p.OperatorAddr)
	}
	var keys []string
	for _, t := range tenantNames(f.Mix) {
		keys = append(keys, strconv.Quote(TenantKey(t)))
	}
	printf(w, "operators' key %q; origins' keys %s\n", OperatorKey, strings.Join(keys, ", "))
	raw, _ := json.Marshal(f.Mix.Config["mappings"])
	printf(w, "mappings %s\nlogs under %s\n", raw, f.Dir)
}

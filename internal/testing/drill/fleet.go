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

// NewFleet lays a fleet out: five cores and the mix's routers over its zones, with the binaries
// router and core from bin and all files under dir.
func NewFleet(mix Mix, bin, dir string) (*Fleet, error) {
	f := &Fleet{Mix: mix, Dir: dir, RequestLog: &RequestLog{}, Lost: 10 * time.Second}
	hash := fleetconfig.HashKey(OperatorKey)
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
	return []string{"-name", p.Name, "-hall", p.Zone, "-addr", p.Addr, "-operator", p.Operator, "-operator-key-hash", fleetconfig.HashKey(OperatorKey),
		"-data", filepath.Join(f.Dir, p.Name), "-log", "debug", "-lost", f.Lost.String()}
}

// SetLost changes, before the start, after which silence a core's seat may go to a spare.
func (f *Fleet) SetLost(d time.Duration) {
	f.Lost = d
	for _, p := range f.Cores {
		p.args[slices.Index(p.args, "-lost")+1] = d.String()
	}
}

// NewCore makes a core that was not there before: blank, at new addresses, knowing the first seeds only.
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
		_ = l.Close()
	}
	f.ports = nil
	p.args = append(append(f.coreArgs(p), "-seeds", f.seeds), more...)
	return p, nil
}

// Link puts forwarders between the zones, before the start.
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
	behind, err := f.port(f.Links.IP(p.Zone))
	if err != nil {
		return err
	}
	if p.Addr, err = f.Links.Open(p.Zone, behind); err != nil {
		return err
	}
	p.args = append(p.args, "-listen", behind, "-from", f.Links.IP(p.Zone))
	return nil
}

// Start begins all daemons and stand-ins, puts the mix's config and waits until every router is
// ready and knows the runners.
func (f *Fleet) Start(ctx context.Context) error {
	for _, l := range f.ports {
		_ = l.Close()
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

// In lists the processes and the runners of a zone.
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

// Describe prints where everything listens.
func (f *Fleet) Describe(w io.Writer) {
	for _, p := range f.Cores {
		printf(w, "%-8s zone %-6s operators http://%s\n", p.Name, p.Zone, p.Operator)
	}
	for _, p := range f.Routers {
		printf(w, "%-8s zone %-6s origins http://%s operators http://%s\n", p.Name, p.Zone, p.Client, p.Operator)
	}
	var keys []string
	for _, t := range tenantNames(f.Mix) {
		keys = append(keys, strconv.Quote(Key(t)))
	}
	printf(w, "operators' key %q; origins' keys %s\n", OperatorKey, strings.Join(keys, ", "))
	raw, _ := json.Marshal(f.Mix.Config["mappings"])
	printf(w, "mappings %s\nlogs under %s\n", raw, f.Dir)
}

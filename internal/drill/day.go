package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/env"
	"yarrowridge/internal/layout"
)

// Day is a deployment's day, compressed: its traffic, its operators, and a course of faults that ends
// with a closing one, after which all is read back.
type Day struct {
	fleet    *Fleet
	load     *Load
	watch    *Watch
	out      io.Writer
	random   *rand.Rand
	marks    int
	config   object // as last acknowledged
	err      error
	requests sync.WaitGroup // requests of the day's own, beside the load
}

// event is one entry of a day's course.
type event struct {
	name string
	what string
	do   func(d *Day, ctx context.Context)
}

// events are all that a day may bring, in the order in which the usage lists them.
var events = []event{
	{"edits", "operators put whole and partial layouts, two at once, in a burst, and a bad one", (*Day).writeConfigs},
	{"withdraw", "a tenant's key is withdrawn, and given back", (*Day).withdrawKey},
	{"crowd", "five times the traffic", (*Day).crowdClients},
	{"hot", "one key takes most of the traffic", (*Day).heatPrefix},
	{"leave", "a runner says that it leaves", (*Day).announceLeaving},
	{"runners", "runners are replaced one by one", (*Day).replaceRunners},
	{"dark", "a runner takes queries and says nothing", (*Day).hangRunner},
	{"deaf", "all but two runners refuse connections and beat on", (*Day).refuseConnections},
	{"half", "half of the runners break their answers off in the middle", (*Day).breakStreams},
	{"routers", "half of the routers are killed at once", (*Day).killRouters},
	{"primary", "the primary and its backup are killed", (*Day).killPrimary},
	{"cores", "every core is killed", (*Day).killCores},
	{"wipe", "the primary loses its disk right after an acknowledgement", (*Day).wipePrimaryDisk},
	{"freeze", "the primary, and a router, stop and go on", (*Day).freezeProcesses},
	{"cut", "a hall's link is cut for 15 s", (*Day).cutLink},
	{"restart", "a router and a core are stopped with a warning", (*Day).restartProcesses},
	{"swap", "all five control machines are swapped for others, one by one", (*Day).replaceAllCores},
	{"blank", "a control machine comes back empty at a new address", (*Day).replaceOneCore},
}

// closings end a day.
var closings = []event{
	{"hall", "a hall is lost", (*Day).loseZone},
	{"all", "every process is killed", (*Day).loseAll},
	{"routers", "every router is killed", (*Day).loseRouters},
}

func findEvent(list []event, name string) *event {
	for i := range list {
		if list[i].name == name {
			return &list[i]
		}
	}
	return nil
}

// drawCourse draws a day's events: n of them, and what this deployment has every day.
func drawCourse(mix Mix, seed uint64, n int) []string {
	rnd := rand.New(rand.NewPCG(seed, 11))
	own := map[string]string{"trentvale": "swap", "tokachi": "blank"}[mix.Name]
	out := []string{"edits", own}
	for _, i := range rnd.Perm(len(events)) {
		if name := events[i].name; len(out) < n && name != "swap" && name != "blank" && name != "edits" {
			out = append(out, name)
		}
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return append(out, "closing-"+closings[rnd.IntN(len(closings))].name)
}

// NewDay makes a day over a fleet that is up.
//
//	d := drill.NewDay(f, load, seed, os.Stdout)
func NewDay(f *Fleet, l *Load, seed uint64, out io.Writer) *Day {
	d := &Day{fleet: f, load: l, watch: NewWatch(f), out: out, random: rand.New(rand.NewPCG(seed, 12)), config: maps.Clone(f.Mix.Config)}
	d.watch.note(func(ev *Evidence) {
		ev.ConfigWrites = append(ev.ConfigWrites, ConfigWrite{SentAt: time.Now(), AnsweredAt: time.Now(), Code: 200, Version: 1, Hash: layout.HashKey(string(f.Mix.Raw()))})
	})
	return d
}

// Run plays the course under traffic, reads all back and gives the evidence.
//
//	ev, err := d.Run(ctx, []string{"edits", "routers", "closing-all"}, 3*time.Second)
func (d *Day) Run(ctx context.Context, names []string, slack time.Duration) (Evidence, error) {
	run, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { d.load.Run(run) })
	look, blind := context.WithCancel(ctx)
	var eyes sync.WaitGroup
	eyes.Go(func() { d.watch.Run(look) })
	d.waitReady(ctx, "the day begins")
	for _, n := range names {
		e := findEvent(events, n)
		if c, ok := strings.CutPrefix(n, "closing-"); ok {
			e = findEvent(closings, c)
		}
		fmt.Fprintf(d.out, "  %s: %s\n", n, e.what)
		e.do(d, ctx)
		d.waitReady(ctx, "all is well after "+n)
		if d.err != nil {
			break
		}
	}
	env.Wait(ctx, time.Second)
	stop()
	all.Wait()
	d.requests.Wait()
	end := time.Now()
	var last ConfigWrite
	near, far := context.WithTimeout(ctx, 20*time.Second)
	defer far()
	err := d.fleet.Until(near, "the layout is read back", func() bool {
		code, raw, err := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/layout", nil, nil)
		if err != nil || code != 200 {
			return false
		}
		last.Hash = layout.HashKey(string(raw))
		_, raw, _ = d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/fleet", nil, nil)
		last.Version = gjson.GetBytes(raw, "sequence").Uint()
		return last.Version > 0
	})
	blind()
	eyes.Wait()
	ev := d.watch.Evidence(d.load)
	ev.End, ev.Slack, ev.Final = end, slack, &last // version 0 where nothing could be read back
	if d.err != nil {
		err = d.err
	}
	return ev, err
}

func (d *Day) pickRouter() *Proc { return d.fleet.Routers[d.random.IntN(len(d.fleet.Routers))] }

// waitUntil waits for what the day needs to go on, for so long at the most. The first wait in vain cuts the day
// short: traffic that runs on over a fleet which never comes to rest only piles up.
func (d *Day) waitUntil(ctx context.Context, limit time.Duration, what string, ok func() bool) {
	if d.err != nil {
		return
	}
	ctx, end := context.WithTimeout(ctx, limit)
	defer end()
	d.err = d.fleet.Until(ctx, what, ok)
}

// restLimit is how long a fleet may take to come to rest after an event.
const restLimit = 30 * time.Second

// waitReady waits until every process is ready, every runner known and each kind of request served again.
func (d *Day) waitReady(ctx context.Context, what string) {
	from := time.Now()
	d.waitUntil(ctx, restLimit, what, func() bool {
		for _, r := range d.fleet.Routers {
			if !d.fleet.Ready(ctx, r) || d.fleet.Serving(ctx, r) < len(d.fleet.Models)+len(d.fleet.Apps) {
				return false
			}
		}
		outcomes := d.load.All()
		for _, k := range d.fleet.Mix.Kinds {
			if !servedSince(outcomes, k.Name, from) {
				return false
			}
		}
		return d.fleet.Primary(ctx) != nil
	})
}

// servedSince tells whether a request of a kind that began after a moment has come to a whole answer.
func servedSince(outcomes []Outcome, kind string, from time.Time) bool {
	for _, o := range outcomes {
		if o.Kind == kind && o.served() && o.Begun.After(from) {
			return true
		}
	}
	return false
}

func (d *Day) noteFault(name string) {
	d.watch.note(func(ev *Evidence) { ev.HardFaults = append(ev.HardFaults, HardFault{name, time.Now()}) })
}

// putConfig writes a config with a mark of its own, and notes what the operator was told.
func (d *Day) putConfig(ctx context.Context, config object, mark int, match string) ConfigWrite {
	config = maps.Clone(config)
	limits := object{}
	if old, ok := config["limits"].(object); ok {
		limits = maps.Clone(old)
	}
	limits["queue"] = 1000 + mark
	config["limits"] = limits
	raw, _ := json.Marshal(config)
	return d.sendConfig(ctx, "PUT", raw, match, layout.HashKey(string(raw)))
}

func (d *Day) sendConfig(ctx context.Context, method string, raw []byte, match, hash string) ConfigWrite {
	e := ConfigWrite{SentAt: time.Now(), Hash: hash}
	code, response, err := d.fleet.Ask(ctx, method, d.fleet.Routers[int(time.Now().UnixNano())%len(d.fleet.Routers)].Operator, "/v1/layout", raw, map[string]string{"If-Match": match})
	e.AnsweredAt, e.Version = time.Now(), gjson.GetBytes(response, "sequence").Uint()
	if err == nil {
		e.Code = code
	}
	d.watch.note(func(ev *Evidence) { ev.ConfigWrites = append(ev.ConfigWrites, e) })
	return e
}

func (d *Day) nextMark() int {
	d.marks++
	return d.marks
}

func (d *Day) writeConfigs(ctx context.Context) {
	_, raw, _ := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, "/v1/fleet", nil, nil)
	at := strconv.FormatUint(gjson.GetBytes(raw, "sequence").Uint(), 10)
	var all sync.WaitGroup
	for range 3 {
		m := d.nextMark()
		all.Go(func() { d.putConfig(ctx, d.config, m, at) }) // one of them wins
	}
	all.Wait()
	env.Wait(ctx, time.Second) // a loser that took effect would be seen
	for range 8 {
		d.putConfig(ctx, d.config, d.nextMark(), "*")
	}
	d.sendConfig(ctx, "PUT", []byte(`{"lanes":7}`), "*", "bad")
	// A part: what it makes of the whole is known once it is read back.
	patch := d.sendConfig(ctx, "PATCH", []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, 1000+d.nextMark())), "*", "patch")
	if patch.Code == 200 {
		_, whole, _ := d.fleet.Ask(ctx, "GET", d.pickRouter().Operator, fmt.Sprintf("/v1/layout?sequence=%d", patch.Version), nil, nil)
		d.watch.note(func(ev *Evidence) {
			for i := range ev.ConfigWrites {
				if ev.ConfigWrites[i].Version == patch.Version && ev.ConfigWrites[i].Hash == "patch" {
					ev.ConfigWrites[i].Hash = layout.HashKey(string(whole))
				}
			}
		})
	}
	env.Wait(ctx, 3*time.Second)
}

func (d *Day) withdrawKey(ctx context.Context) {
	who := tenantNames(d.fleet.Mix)[5]
	config := maps.Clone(d.config)
	tenant := maps.Clone(config["tenants"].(object))
	less := maps.Clone(tenant[who].(object))
	less["keys"] = []string{}
	tenant[who] = less
	config["tenants"] = tenant
	from := d.putUntilAcknowledged(ctx, config)
	env.Wait(ctx, 4*time.Second)
	to := time.Now()
	d.putUntilAcknowledged(ctx, d.config)
	d.watch.note(func(ev *Evidence) { ev.KeyWithdrawals = append(ev.KeyWithdrawals, KeyWithdrawal{who, from, to}) })
}

// putUntilAcknowledged writes until it is acknowledged, and tells when it was.
func (d *Day) putUntilAcknowledged(ctx context.Context, config object) time.Time {
	var e ConfigWrite
	d.waitUntil(ctx, restLimit, "a write is acknowledged", func() bool {
		e = d.putConfig(ctx, config, d.nextMark(), "*")
		return e.Code == 200
	})
	return e.AnsweredAt
}

func (d *Day) playBurst(ctx context.Context, scale float64, docs int) {
	ctx, end := context.WithTimeout(ctx, 3*time.Second)
	defer end()
	d.load.Burst(ctx, scale, docs)
}

func (d *Day) crowdClients(ctx context.Context) { d.playBurst(ctx, 5*d.load.Scale, 0) }
func (d *Day) heatPrefix(ctx context.Context)   { d.playBurst(ctx, 2*d.load.Scale, 1) }

func (d *Day) pickModelRunner() *Standin { return d.fleet.Models[d.random.IntN(len(d.fleet.Models))] }

func (d *Day) announceLeaving(ctx context.Context) {
	s := d.pickModelRunner()
	word := Departure{Runner: s.Name, RunID: s.runID, At: s.Leave(ctx)}
	d.watch.note(func(ev *Evidence) { ev.Departures = append(ev.Departures, word) })
	env.Wait(ctx, 8*time.Second)
	s.Crash()
	d.startRunner(s)
}

func (d *Day) startRunner(s *Standin) {
	if err := s.Start(); err != nil {
		d.err = err
	}
}

func (d *Day) replaceRunners(ctx context.Context) {
	for _, s := range slices.Concat(d.fleet.Models[:len(d.fleet.Models)/2], d.fleet.Apps[:1]) {
		s.Crash()
		env.Wait(ctx, 100*time.Millisecond)
		d.startRunner(s)
		env.Wait(ctx, 300*time.Millisecond)
	}
}

func (d *Day) hangRunner(ctx context.Context) {
	s := d.pickModelRunner()
	s.Hang(true)
	env.Wait(ctx, 4*time.Second)
	s.Crash()
	d.startRunner(s)
}

func (d *Day) refuseConnections(ctx context.Context) {
	half := slices.Concat(d.fleet.Models[1:], d.fleet.Apps[1:])
	for _, s := range half {
		s.RefuseConnections()
	}
	env.Wait(ctx, 5*time.Second)
	for _, s := range half {
		if err := s.AcceptConnections(); err != nil {
			d.err = err
		}
	}
}

func (d *Day) breakStreams(ctx context.Context) {
	half := slices.Concat(d.fleet.Models[:len(d.fleet.Models)/2], d.fleet.Apps[:len(d.fleet.Apps)/2])
	for _, s := range half {
		s.CutAfter(10)
	}
	// The traffic alone brings few streams in that time, and fewer on a slow machine.
	for _, k := range d.fleet.Mix.Kinds {
		for i := 0; k.Stream && i < 24; i++ {
			d.sendRequest(k, i)
		}
	}
	env.Wait(ctx, 4*time.Second)
	for _, s := range half {
		s.CutAfter(0)
	}
}

// killAndRestart kills processes at once and starts them again after a while.
func (d *Day) killAndRestart(ctx context.Context, name string, down time.Duration, procs []*Proc) {
	d.noteFault(name)
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	env.Wait(ctx, down)
	for _, p := range procs {
		p.Wait(10 * time.Second)
		if err := p.Start(); err != nil {
			d.err = err
		}
	}
}

func (d *Day) killRouters(ctx context.Context) {
	var dead []*Proc
	for _, i := range d.random.Perm(len(d.fleet.Routers))[:len(d.fleet.Routers)/2] {
		dead = append(dead, d.fleet.Routers[i])
	}
	d.killAndRestart(ctx, "half of the routers killed", 4*time.Second, dead)
}

// cutLink cuts the primary's zone off, the hardest to lose, with clients on both sides.
func (d *Day) cutLink(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	from := time.Now()
	d.fleet.Links.Cut(zone)
	env.Wait(ctx, 15*time.Second)
	d.putUntilAcknowledged(ctx, d.config)
	d.watch.note(func(ev *Evidence) { ev.LinkCuts = append(ev.LinkCuts, LinkCut{zone, from, time.Now()}) })
	d.fleet.Links.Cut("")
}

func (d *Day) primaryCore(ctx context.Context) *Proc {
	p := d.fleet.Cores[0]
	d.waitUntil(ctx, restLimit, "there is a primary", func() bool {
		lead := d.fleet.Primary(ctx)
		if lead != nil {
			p = lead
		}
		return lead != nil
	})
	return p
}

func (d *Day) killPrimary(ctx context.Context) {
	lead := d.primaryCore(ctx)
	// Long enough that a fleet which does not replace it is seen to be without.
	d.killAndRestart(ctx, "the primary killed", 18*time.Second, []*Proc{lead})
	d.waitReady(ctx, "all is well between")
	_, raw, _ := d.fleet.Ask(ctx, "GET", d.primaryCore(ctx).Operator, "/v1/standing", nil, nil)
	back := gjson.GetBytes(raw, "view.backup").Str
	dead := []*Proc{d.primaryCore(ctx)}
	for _, c := range d.fleet.Cores {
		if gjson.GetBytes(raw, `view.members.#(id=="`+back+`").addr`).Str == c.Addr {
			dead = append(dead, c)
		}
	}
	d.killAndRestart(ctx, "primary and backup killed", time.Second, dead)
}

func (d *Day) killCores(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every core killed", time.Second, d.fleet.Cores)
}

func (d *Day) wipePrimaryDisk(ctx context.Context) {
	lead := d.primaryCore(ctx)
	d.putUntilAcknowledged(ctx, d.config)
	d.noteFault("the primary's disk lost")
	lead.Kill()
	if err := os.RemoveAll(filepath.Join(d.fleet.Dir, lead.Name)); err != nil {
		d.err = err
	}
	if err := lead.Start(); err != nil {
		d.err = err
	}
}

func (d *Day) freezeProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.primaryCore(ctx), d.pickRouter()} {
		p.Signal(syscall.SIGSTOP)
		d.noteFault(p.Name + " frozen")
		env.Wait(ctx, 4*time.Second)
		p.Signal(syscall.SIGCONT)
		env.Wait(ctx, time.Second)
	}
}

func (d *Day) restartProcesses(ctx context.Context) {
	for _, p := range []*Proc{d.pickRouter(), d.primaryCore(ctx), d.pickRouter()} {
		// Whole answers that are under way when the warning comes, for some 2 s.
		k := d.fleet.Mix.Kinds[0]
		k.Tail = 500 << 10
		mine := map[string]bool{}
		for range 5 {
			mine[strconv.FormatUint(d.sendRequest(k, max(0, slices.Index(d.fleet.Routers, p))), 10)] = true
		}
		near, far := context.WithTimeout(ctx, 5*time.Second)
		d.fleet.Until(near, "a runner has one of them", func() bool {
			return slices.ContainsFunc(d.fleet.RequestLog.All(), func(s Seen) bool { return mine[s.Header.Get("X-Drill-N")] })
		})
		far()
		from := time.Now()
		p.Signal(syscall.SIGTERM)
		if !p.Wait(30 * time.Second) {
			d.err = fmt.Errorf("%s does not stop", p.Name)
			return
		}
		if p.Client != "" {
			d.watch.note(func(ev *Evidence) { ev.PlannedStops = append(ev.PlannedStops, PlannedStop{p.Name, from, time.Now()}) })
		}
		if err := p.Start(); err != nil {
			d.err = err
		}
		d.waitReady(ctx, p.Name+" is back")
	}
}

// sendRequest sends a request of the day's own, beginning at a router, and gives its number.
func (d *Day) sendRequest(k Kind, router int) uint64 {
	n := d.load.next.Add(1)
	body := k.body(d.fleet.Mix.Model, n, d.random)
	d.requests.Go(func() { d.load.one(k, n, body, tenantNames(d.fleet.Mix)[1], router) })
	return n
}

// replaceCore puts a blank core at a new address in the place of one that is killed for good.
func (d *Day) replaceCore(ctx context.Context, i int) {
	old := d.fleet.Cores[i]
	p, err := d.fleet.NewCore(fmt.Sprintf("%s-%d", strings.TrimRight(old.Name, "-0123456789"), 10+d.nextMark()), old.Zone)
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		d.err = err
		return
	}
	old.Kill()
	d.fleet.Cores[i] = p
	d.waitUntil(ctx, 2*restLimit, p.Name+" has the seat of "+old.Name, func() bool {
		_, raw, _ := d.fleet.Ask(ctx, "GET", d.fleet.Routers[0].Operator, "/v1/fleet", nil, nil)
		all := gjson.GetBytes(raw, "view.members.#.addr").String()
		return strings.Contains(all, p.Addr) && !strings.Contains(all, old.Addr)
	})
}

func (d *Day) replaceAllCores(ctx context.Context) {
	for i := range d.fleet.Cores {
		d.replaceCore(ctx, i)
	}
}

func (d *Day) replaceOneCore(ctx context.Context) {
	d.replaceCore(ctx, d.random.IntN(len(d.fleet.Cores)))
}

func (d *Day) loseZone(ctx context.Context) {
	zone := d.primaryCore(ctx).Zone
	dead, runs := d.fleet.In(zone)
	for _, s := range runs {
		s.Crash()
	}
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "hall "+zone+" lost", 5*time.Second, dead)
	for _, s := range runs {
		d.startRunner(s)
	}
}

func (d *Day) loseAll(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every process killed", 500*time.Millisecond, slices.Concat(d.fleet.Cores, d.fleet.Routers))
}

func (d *Day) loseRouters(ctx context.Context) {
	d.putUntilAcknowledged(ctx, d.config)
	d.killAndRestart(ctx, "every router killed", 500*time.Millisecond, d.fleet.Routers)
}

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
	f    *Fleet
	l    *Load
	w    *Watch
	out  io.Writer
	rnd  *rand.Rand
	mark int
	lay  obj // as last acknowledged
	bad  error
	own  sync.WaitGroup // queries of the day's own, beside the load

	slack time.Duration // what a slow machine is given beyond a promise's time
}

// event is one entry of a day's course.
type event struct {
	name string
	what string
	do   func(d *Day, ctx context.Context)
}

// events are all that a day may bring, in the order in which the usage lists them.
var events = []event{
	{"edits", "operators put whole and partial layouts, two at once, in a burst, and a bad one", (*Day).edits},
	{"withdraw", "a tenant's key is withdrawn, and given back", (*Day).withdraw},
	{"crowd", "five times the traffic", (*Day).crowd},
	{"hot", "one key takes most of the traffic", (*Day).hot},
	{"leave", "a runner says that it leaves", (*Day).leave},
	{"runners", "runners are replaced one by one", (*Day).runners},
	{"dark", "a runner takes queries and says nothing", (*Day).dark},
	{"deaf", "all but two runners refuse connections and beat on", (*Day).deaf},
	{"half", "half of the runners break their answers off in the middle", (*Day).half},
	{"routers", "half of the routers are killed at once", (*Day).routers},
	{"primary", "the primary and its backup are killed", (*Day).primary},
	{"cores", "every core is killed", (*Day).cores},
	{"wipe", "the primary loses its disk right after an acknowledgement", (*Day).wipe},
	{"freeze", "the primary, and a router, stop and go on", (*Day).freeze},
	{"cut", "a hall's link is cut for 15 s", (*Day).cut},
	{"restart", "a router and a core are stopped with a warning", (*Day).restart},
	{"swap", "all five control machines are swapped for others, one by one", (*Day).swap},
	{"blank", "a control machine comes back empty at a new address", (*Day).blank},
}

// closings end a day.
var closings = []event{
	{"hall", "a hall is lost", (*Day).loseHall},
	{"all", "every process is killed", (*Day).loseAll},
	{"routers", "every router is killed", (*Day).loseRouters},
}

func find(list []event, name string) *event {
	for i := range list {
		if list[i].name == name {
			return &list[i]
		}
	}
	return nil
}

// course draws a day's events: n of them, and what this deployment has every day.
func course(mix Mix, seed uint64, n int) []string {
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
	d := &Day{f: f, l: l, w: NewWatch(f), out: out, rnd: rand.New(rand.NewPCG(seed, 12)), lay: maps.Clone(f.Mix.Layout)}
	d.w.note(func(ev *Evidence) {
		ev.Edits = append(ev.Edits, Edit{At: time.Now(), Told: time.Now(), Code: 200, Seq: 1, Hash: layout.HashKey(string(f.Mix.Raw()))})
	})
	return d
}

// Run plays the course under traffic, reads all back and gives the evidence.
//
//	ev, err := d.Run(ctx, []string{"edits", "routers", "closing-all"}, 3*time.Second)
func (d *Day) Run(ctx context.Context, names []string, slack time.Duration) (Evidence, error) {
	d.slack = slack
	run, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { d.l.Run(run) })
	look, blind := context.WithCancel(ctx)
	var eyes sync.WaitGroup
	eyes.Go(func() { d.w.Run(look) })
	d.calm(ctx, "the day begins")
	for _, n := range names {
		e := find(events, n)
		if c, ok := strings.CutPrefix(n, "closing-"); ok {
			e = find(closings, c)
		}
		fmt.Fprintf(d.out, "  %s: %s\n", n, e.what)
		e.do(d, ctx)
		d.calm(ctx, "all is well after "+n)
		if d.bad != nil {
			break
		}
	}
	env.Wait(ctx, time.Second)
	stop()
	all.Wait()
	d.own.Wait()
	end := time.Now()
	var last Edit
	near, far := context.WithTimeout(ctx, 20*time.Second)
	defer far()
	err := d.f.Until(near, "the layout is read back", func() bool {
		code, raw, err := d.f.Ask(ctx, "GET", d.router().Operator, "/v1/layout", nil, nil)
		if err != nil || code != 200 {
			return false
		}
		last.Hash = layout.HashKey(string(raw))
		_, raw, _ = d.f.Ask(ctx, "GET", d.router().Operator, "/v1/fleet", nil, nil)
		last.Seq = gjson.GetBytes(raw, "sequence").Uint()
		return last.Seq > 0
	})
	blind()
	eyes.Wait()
	ev := d.w.Evidence(d.l)
	ev.End, ev.Slack, ev.Final = end, slack, &last // sequence 0 where nothing could be read back
	if d.bad != nil {
		err = d.bad
	}
	return ev, err
}

func (d *Day) router() *Proc { return d.f.Routers[d.rnd.IntN(len(d.f.Routers))] }

// until waits for what the day needs to go on, for so long at the most. The first wait in vain cuts the day
// short: traffic that runs on over a fleet which never comes to rest only piles up.
func (d *Day) until(ctx context.Context, most time.Duration, what string, ok func() bool) {
	if d.bad != nil {
		return
	}
	ctx, end := context.WithTimeout(ctx, most)
	defer end()
	d.bad = d.f.Until(ctx, what, ok)
}

// rest is how long a fleet may take to come to rest after an event.
const rest = 30 * time.Second

// calm waits until every process is ready, every runner known and each kind of query served again.
func (d *Day) calm(ctx context.Context, what string) {
	from := time.Now()
	d.until(ctx, rest, what, func() bool {
		for _, r := range d.f.Routers {
			if !d.f.Ready(ctx, r) || d.f.Serving(ctx, r) < len(d.f.Models)+len(d.f.Apps) {
				return false
			}
		}
		outs := d.l.All()
		for _, k := range d.f.Mix.Kinds {
			if !came(outs, k.Name, from) {
				return false
			}
		}
		return d.f.Primary(ctx) != nil
	})
}

// came tells whether a query of a kind that began after a moment has come to a whole answer.
func came(outs []Outcome, kind string, from time.Time) bool {
	for _, o := range outs {
		if o.Kind == kind && o.served() && o.Begun.After(from) {
			return true
		}
	}
	return false
}

func (d *Day) hard(name string) {
	d.w.note(func(ev *Evidence) { ev.Hards = append(ev.Hards, Hard{name, time.Now()}) })
}

// put writes a layout with a mark of its own, and notes what the operator was told.
func (d *Day) put(ctx context.Context, lay obj, mark int, match string) Edit {
	lay = maps.Clone(lay)
	limits := obj{}
	if old, ok := lay["limits"].(obj); ok {
		limits = maps.Clone(old)
	}
	limits["queue"] = 1000 + mark
	lay["limits"] = limits
	raw, _ := json.Marshal(lay)
	return d.send(ctx, "PUT", raw, match, layout.HashKey(string(raw)))
}

func (d *Day) send(ctx context.Context, method string, raw []byte, match, hash string) Edit {
	e := Edit{At: time.Now(), Hash: hash}
	code, ans, err := d.f.Ask(ctx, method, d.f.Routers[int(time.Now().UnixNano())%len(d.f.Routers)].Operator, "/v1/layout", raw, map[string]string{"If-Match": match})
	e.Told, e.Seq = time.Now(), gjson.GetBytes(ans, "sequence").Uint()
	if err == nil {
		e.Code = code
	}
	d.w.note(func(ev *Evidence) { ev.Edits = append(ev.Edits, e) })
	return e
}

func (d *Day) next() int {
	d.mark++
	return d.mark
}

func (d *Day) edits(ctx context.Context) {
	_, raw, _ := d.f.Ask(ctx, "GET", d.router().Operator, "/v1/fleet", nil, nil)
	at := strconv.FormatUint(gjson.GetBytes(raw, "sequence").Uint(), 10)
	var all sync.WaitGroup
	for range 3 {
		m := d.next()
		all.Go(func() { d.put(ctx, d.lay, m, at) }) // one of them wins
	}
	all.Wait()
	env.Wait(ctx, time.Second) // a loser that took effect would be seen
	for range 8 {
		d.put(ctx, d.lay, d.next(), "*")
	}
	d.send(ctx, "PUT", []byte(`{"lanes":7}`), "*", "bad")
	// A part: what it makes of the whole is known once it is read back.
	patch := d.send(ctx, "PATCH", []byte(fmt.Sprintf(`{"limits":{"queue":%d}}`, 1000+d.next())), "*", "patch")
	if patch.Code == 200 {
		_, whole, _ := d.f.Ask(ctx, "GET", d.router().Operator, fmt.Sprintf("/v1/layout?sequence=%d", patch.Seq), nil, nil)
		d.w.note(func(ev *Evidence) {
			for i := range ev.Edits {
				if ev.Edits[i].Seq == patch.Seq && ev.Edits[i].Hash == "patch" {
					ev.Edits[i].Hash = layout.HashKey(string(whole))
				}
			}
		})
	}
	env.Wait(ctx, 3*time.Second)
}

func (d *Day) withdraw(ctx context.Context) {
	who := payers(d.f.Mix)[5]
	lay := maps.Clone(d.lay)
	ten := maps.Clone(lay["tenants"].(obj))
	less := maps.Clone(ten[who].(obj))
	less["keys"] = []string{}
	ten[who] = less
	lay["tenants"] = ten
	from := d.sure(ctx, lay)
	env.Wait(ctx, 4*time.Second)
	to := time.Now()
	d.sure(ctx, d.lay)
	d.w.note(func(ev *Evidence) { ev.Gone = append(ev.Gone, Gone{who, from, to}) })
}

// sure writes until it is acknowledged, and tells when it was.
func (d *Day) sure(ctx context.Context, lay obj) time.Time {
	var e Edit
	d.until(ctx, rest, "a write is acknowledged", func() bool {
		e = d.put(ctx, lay, d.next(), "*")
		return e.Code == 200
	})
	return e.Told
}

func (d *Day) more(ctx context.Context, scale float64, docs int) {
	ctx, end := context.WithTimeout(ctx, 3*time.Second)
	defer end()
	d.l.Burst(ctx, scale, docs)
}

func (d *Day) crowd(ctx context.Context) { d.more(ctx, 5*d.l.Scale, 0) }
func (d *Day) hot(ctx context.Context)   { d.more(ctx, 2*d.l.Scale, 1) }

func (d *Day) model() *Standin { return d.f.Models[d.rnd.IntN(len(d.f.Models))] }

// requestsWhileLeaving is how many requests for each model runner the day sends while one of them leaves.
const requestsWhileLeaving = 24

// leave has a runner leave for longer than routers may still send to it, and has so many requests come after
// that time that a runner still in use surely gets one. The ordinary traffic of a second may bring it none.
func (d *Day) leave(ctx context.Context) {
	s := d.model()
	word := Word{Runner: s.Name, Born: s.born, At: s.Leave(ctx)}
	d.w.note(func(ev *Evidence) { ev.Words = append(ev.Words, word) })
	env.Wait(ctx, leavingTime+d.slack)
	kind := d.f.Mix.Kinds[0] // the most frequent one that goes to model runners
	var numbers []uint64
	for i := range requestsWhileLeaving * len(d.f.Models) {
		numbers = append(numbers, d.ask(kind, i))
		env.Wait(ctx, 10*time.Millisecond)
	}
	d.until(ctx, rest, "the requests sent while "+s.Name+" leaves have ended", func() bool { return ended(d.l.All(), numbers) })
	s.Crash()
	d.up(s)
}

// ended tells whether each of these requests has had an answer.
func ended(outs []Outcome, numbers []uint64) bool {
	answered := map[uint64]bool{}
	for _, o := range outs {
		answered[o.N] = true
	}
	return !slices.ContainsFunc(numbers, func(n uint64) bool { return !answered[n] })
}

func (d *Day) up(s *Standin) {
	if err := s.Start(); err != nil {
		d.bad = err
	}
}

func (d *Day) runners(ctx context.Context) {
	for _, s := range slices.Concat(d.f.Models[:len(d.f.Models)/2], d.f.Apps[:1]) {
		s.Crash()
		env.Wait(ctx, 100*time.Millisecond)
		d.up(s)
		env.Wait(ctx, 300*time.Millisecond)
	}
}

func (d *Day) dark(ctx context.Context) {
	s := d.model()
	s.Hang(true)
	env.Wait(ctx, 4*time.Second)
	s.Crash()
	d.up(s)
}

func (d *Day) deaf(ctx context.Context) {
	half := slices.Concat(d.f.Models[1:], d.f.Apps[1:])
	for _, s := range half {
		s.Deaf()
	}
	env.Wait(ctx, 5*time.Second)
	for _, s := range half {
		if err := s.Hear(); err != nil {
			d.bad = err
		}
	}
}

func (d *Day) half(ctx context.Context) {
	half := slices.Concat(d.f.Models[:len(d.f.Models)/2], d.f.Apps[:len(d.f.Apps)/2])
	for _, s := range half {
		s.CutAfter(10)
	}
	// The traffic alone brings few streams in that time, and fewer on a slow machine.
	for _, k := range d.f.Mix.Kinds {
		for i := 0; k.Stream && i < 24; i++ {
			d.ask(k, i)
		}
	}
	env.Wait(ctx, 4*time.Second)
	for _, s := range half {
		s.CutAfter(0)
	}
}

// fall kills processes at once and starts them again after a while.
func (d *Day) fall(ctx context.Context, name string, down time.Duration, procs []*Proc) {
	d.hard(name)
	for _, p := range procs {
		p.Signal(syscall.SIGKILL)
	}
	env.Wait(ctx, down)
	for _, p := range procs {
		p.Wait(10 * time.Second)
		if err := p.Start(); err != nil {
			d.bad = err
		}
	}
}

func (d *Day) routers(ctx context.Context) {
	var dead []*Proc
	for _, i := range d.rnd.Perm(len(d.f.Routers))[:len(d.f.Routers)/2] {
		dead = append(dead, d.f.Routers[i])
	}
	d.fall(ctx, "half of the routers killed", 4*time.Second, dead)
}

// cut cuts the primary's hall off, the hardest to lose, with origins on both sides.
func (d *Day) cut(ctx context.Context) {
	hall := d.lead(ctx).Hall
	from := time.Now()
	d.f.Links.Cut(hall)
	env.Wait(ctx, 15*time.Second)
	d.sure(ctx, d.lay)
	d.w.note(func(ev *Evidence) { ev.Cuts = append(ev.Cuts, Cut{hall, from, time.Now()}) })
	d.f.Links.Cut("")
}

func (d *Day) lead(ctx context.Context) *Proc {
	p := d.f.Cores[0]
	d.until(ctx, rest, "there is a primary", func() bool {
		lead := d.f.Primary(ctx)
		if lead != nil {
			p = lead
		}
		return lead != nil
	})
	return p
}

func (d *Day) primary(ctx context.Context) {
	lead := d.lead(ctx)
	// Long enough that a fleet which does not replace it is seen to be without.
	d.fall(ctx, "the primary killed", 18*time.Second, []*Proc{lead})
	d.calm(ctx, "all is well between")
	_, raw, _ := d.f.Ask(ctx, "GET", d.lead(ctx).Operator, "/v1/standing", nil, nil)
	back := gjson.GetBytes(raw, "view.backup").Str
	dead := []*Proc{d.lead(ctx)}
	for _, c := range d.f.Cores {
		if gjson.GetBytes(raw, `view.members.#(id=="`+back+`").addr`).Str == c.Addr {
			dead = append(dead, c)
		}
	}
	d.fall(ctx, "primary and backup killed", time.Second, dead)
}

func (d *Day) cores(ctx context.Context) {
	d.sure(ctx, d.lay)
	d.fall(ctx, "every core killed", time.Second, d.f.Cores)
}

func (d *Day) wipe(ctx context.Context) {
	lead := d.lead(ctx)
	d.sure(ctx, d.lay)
	d.hard("the primary's disk lost")
	lead.Kill()
	if err := os.RemoveAll(filepath.Join(d.f.Dir, lead.Name)); err != nil {
		d.bad = err
	}
	if err := lead.Start(); err != nil {
		d.bad = err
	}
}

func (d *Day) freeze(ctx context.Context) {
	for _, p := range []*Proc{d.lead(ctx), d.router()} {
		p.Signal(syscall.SIGSTOP)
		d.hard(p.Name + " frozen")
		env.Wait(ctx, 4*time.Second)
		p.Signal(syscall.SIGCONT)
		env.Wait(ctx, time.Second)
	}
}

func (d *Day) restart(ctx context.Context) {
	for _, p := range []*Proc{d.router(), d.lead(ctx), d.router()} {
		// Whole answers that are under way when the warning comes, for some 2 s.
		k := d.f.Mix.Kinds[0]
		k.Tail = 500 << 10
		mine := map[string]bool{}
		for range 5 {
			mine[strconv.FormatUint(d.ask(k, max(0, slices.Index(d.f.Routers, p))), 10)] = true
		}
		near, far := context.WithTimeout(ctx, 5*time.Second)
		d.f.Until(near, "a runner has one of them", func() bool {
			return slices.ContainsFunc(d.f.Diary.All(), func(s Seen) bool { return mine[s.Head.Get("X-Drill-N")] })
		})
		far()
		from := time.Now()
		p.Signal(syscall.SIGTERM)
		if !p.Wait(30 * time.Second) {
			d.bad = fmt.Errorf("%s does not stop", p.Name)
			return
		}
		if p.Origin != "" {
			d.w.note(func(ev *Evidence) { ev.Stops = append(ev.Stops, Stop{p.Name, from, time.Now()}) })
		}
		if err := p.Start(); err != nil {
			d.bad = err
		}
		d.calm(ctx, p.Name+" is back")
	}
}

// ask sends a query of the day's own, beginning at a router, and gives its number.
func (d *Day) ask(k Kind, router int) uint64 {
	n := d.l.next.Add(1)
	body := k.body(d.f.Mix.Model, n, d.rnd)
	d.own.Go(func() { d.l.one(k, n, body, payers(d.f.Mix)[1], router) })
	return n
}

// change puts a blank core at a new address in the place of one that is killed for good.
func (d *Day) change(ctx context.Context, i int) {
	old := d.f.Cores[i]
	p, err := d.f.NewCore(fmt.Sprintf("%s-%d", strings.TrimRight(old.Name, "-0123456789"), 10+d.next()), old.Hall)
	if err == nil {
		err = p.Start()
	}
	if err != nil {
		d.bad = err
		return
	}
	old.Kill()
	d.f.Cores[i] = p
	d.until(ctx, 2*rest, p.Name+" has the seat of "+old.Name, func() bool {
		_, raw, _ := d.f.Ask(ctx, "GET", d.f.Routers[0].Operator, "/v1/fleet", nil, nil)
		all := gjson.GetBytes(raw, "view.members.#.addr").String()
		return strings.Contains(all, p.Addr) && !strings.Contains(all, old.Addr)
	})
}

func (d *Day) swap(ctx context.Context) {
	for i := range d.f.Cores {
		d.change(ctx, i)
	}
}

func (d *Day) blank(ctx context.Context) { d.change(ctx, d.rnd.IntN(len(d.f.Cores))) }

func (d *Day) loseHall(ctx context.Context) {
	hall := d.lead(ctx).Hall
	dead, runs := d.f.In(hall)
	for _, s := range runs {
		s.Crash()
	}
	d.sure(ctx, d.lay)
	d.fall(ctx, "hall "+hall+" lost", 5*time.Second, dead)
	for _, s := range runs {
		d.up(s)
	}
}

func (d *Day) loseAll(ctx context.Context) {
	d.sure(ctx, d.lay)
	d.fall(ctx, "every process killed", 500*time.Millisecond, slices.Concat(d.f.Cores, d.f.Routers))
}

func (d *Day) loseRouters(ctx context.Context) {
	d.sure(ctx, d.lay)
	d.fall(ctx, "every router killed", 500*time.Millisecond, d.f.Routers)
}

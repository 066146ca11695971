package drill

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strconv"
	"time"
)

// Breach is one broken promise.
type Breach struct {
	Promise string
	What    string
}

// Check holds all that was seen against the promises and names every broken one.
//
//	for _, b := range drill.Check(watch.Evidence(load)) { ... }
func Check(ev Evidence) []Breach {
	var bad []Breach
	say := func(promise, f string, a ...any) { bad = append(bad, Breach{promise, fmt.Sprintf(f, a...)}) }
	ev.queries(say)
	ev.layouts(say)
	ev.quotas(say)
	ev.tries(say)
	ev.times(say)
	return bad
}

type sayer func(promise, f string, a ...any)

// queries holds the origins' outcomes against the runners' diaries.
func (ev Evidence) queries(say sayer) {
	mix, outs, seen := ev.Mix, ev.Outs, ev.Seen
	kinds := map[string]Kind{}
	for _, k := range mix.Kinds {
		kinds[k.Name] = k
	}
	asked := map[uint64]Outcome{}
	ids := map[string]bool{}
	for _, o := range outs {
		asked[o.N] = o
	}
	ran, tries := map[uint64]int{}, map[string]int{}
	for _, s := range seen {
		n, _ := strconv.ParseUint(s.Head.Get("X-Drill-N"), 10, 64)
		o, ok := asked[n]
		id := s.Head.Get("X-Yarrowridge-Query")
		ids[id] = true
		ran[n]++
		tries[id]++
		switch {
		case n == 0:
			say("fidelity", "runner %s saw a query that no origin sent", s.Runner)
		case !ok:
			continue // its origin has not been answered yet
		case s.Path != o.Path || !bytes.Equal(s.Body, o.Body):
			say("fidelity", "runner %s saw query %d changed", s.Runner, n)
		case s.Head.Get("X-Yarrowridge-Tenant") != o.Tenant:
			say("fidelity", "runner %s saw tenant %q for query %d, %q expected", s.Runner, s.Head.Get("X-Yarrowridge-Tenant"), n, o.Tenant)
		case s.Head.Get("Authorization") != "":
			say("fidelity", "runner %s saw the key of query %d", s.Runner, n)
		}
	}
	for n, times := range ran {
		if o, ok := asked[n]; ok && kinds[o.Kind].Once && times > 1 {
			say("once", "query %d with key %s ran %d times", n, o.Key, times)
		}
	}
	for id, times := range tries {
		if times > 1 {
			say("sent-once", "query %s reached runners %d times", id, times)
		}
	}
	for _, o := range outs {
		k := kinds[o.Kind]
		if o.Run == "not run" && ids[o.Query] {
			say("not-run", "query %s (%d) was said not to have run, code %s, but a runner saw it", o.Query, o.N, o.Code)
		}
		if o.served() {
			if o.Echo != Echo(o.Body) {
				say("answer", "query %d was answered with another's answer", o.N)
			}
			if k.Stream && len(o.Pieces) != k.Tokens {
				say("stream", "query %d: a stream of %d pieces claims to be complete, %d expected", o.N, len(o.Pieces), k.Tokens)
			}
		}
		if len(o.Marks) > 1 {
			say("joined", "query %d: the stream joins runs %v", o.N, o.Marks)
		}
		for i, p := range o.Pieces {
			if i != p {
				say("stream", "query %d: piece %d came in place %d", o.N, p, i)
				break
			}
		}
		if (o.Status == 503 || o.Status == 429) && o.Retry == "" {
			say("retry-after", "query %d was bounced with %s and no Retry-After", o.N, o.Code)
		}
	}
	whole := map[uint64]int{}
	for _, o := range outs {
		if o.Whole {
			whole[o.N]++
		}
	}
	for _, o := range outs {
		for _, s := range ev.Stops {
			end := o.Begun.Add(o.Took)
			if o.Err != "" && o.Router == s.Router && o.Begun.Before(s.To) && end.After(s.From) && end.Before(s.To.Add(time.Second)) && ran[o.N] > whole[o.N] {
				say("planned-stop", "query %d had been read by %s, which was stopped with a warning, and was dropped: %s", o.N, o.Router, o.Err)
			}
		}
	}
}

// layouts holds what routers obeyed against what operators were told.
func (ev Evidence) layouts(say sayer) {
	acked, doubt := map[uint64]Edit{}, map[string]bool{}
	var newest Edit
	for _, e := range ev.Edits {
		switch {
		case e.Code == 200:
			if was, twice := acked[e.Seq]; twice && was.Hash != e.Hash {
				say("layout", "sequence %d was acknowledged for two layouts", e.Seq)
			}
			acked[e.Seq] = e
			if e.Seq > newest.Seq {
				newest = e
			}
		case e.Code == 0 || e.Code == 504:
			doubt[e.Hash] = true
		}
	}
	type high struct {
		seq uint64
		at  time.Time
	}
	best := map[string]high{}
	late := 2*time.Second + ev.Slack
	for _, s := range ev.Sights {
		if e, ok := acked[s.Seq]; ok && e.Hash != s.Hash || !ok && !doubt[s.Hash] {
			say("losing-layout", "%s obeys a layout at sequence %d that no operator was told to have won", s.Router, s.Seq)
		}
		if b := best[s.Router]; s.Seq < b.seq && s.At.Sub(b.at) > 250*time.Millisecond {
			say("slipped-back", "%s obeys sequence %d, %s after it had obeyed %d", s.Router, s.Seq, s.At.Sub(b.at).Round(time.Millisecond), b.seq)
		}
		if s.Seq > best[s.Router].seq {
			best[s.Router] = high{s.Seq, s.Told}
		}
		for _, e := range acked {
			if e.Seq > s.Seq && !s.Stale && s.At.Sub(e.Told) > late {
				say("layout-late", "%s obeys sequence %d, %s after %d was acknowledged", s.Router, s.Seq, s.At.Sub(e.Told).Round(time.Millisecond), e.Seq)
				break
			}
		}
	}
	if f := ev.Final; f != nil {
		if e, ok := acked[f.Seq]; f.Seq < newest.Seq || ok && e.Hash != f.Hash || !ok && !doubt[f.Hash] {
			say("read-back", "sequence %d was read back at the end, %d is the newest acknowledged", f.Seq, newest.Seq)
		}
	}
	for _, g := range ev.Gone {
		for _, o := range ev.Outs {
			if o.Tenant != g.Tenant {
				continue
			}
			end := o.Begun.Add(o.Took)
			if fresh := o.Begun.Sub(g.From) > late && o.Begun.Before(g.To) && o.Status == 200; fresh ||
				o.Whole && o.Begun.Before(g.From) && end.Sub(g.From) > late && end.Before(g.To) {
				say("withdrawn", "query %d of %s was answered %s after its key was withdrawn", o.N, g.Tenant, end.Sub(g.From).Round(time.Millisecond))
			}
		}
	}
}

// quotas holds each tenant's queries, as runners saw them, against its quota in every rolling window.
func (ev Evidence) quotas(say sayer) {
	for ten, v := range ev.Mix.Layout["tenants"].(obj) {
		q, ok := v.(obj)["quota"].(obj)
		if !ok {
			continue
		}
		units, window := q["units"].(int), time.Duration(q["window_s"].(int))*time.Second
		var at []time.Time
		for _, s := range ev.Seen {
			if s.Head.Get("X-Yarrowridge-Tenant") == ten {
				at = append(at, s.At)
			}
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		for i, j := 0, 0; i < len(at); i++ {
			for at[i].Sub(at[j]) >= window {
				j++
			}
			if i-j+1 > units {
				say("quota", "%d queries of %s ran within %s, its quota is %d", i-j+1, ten, window, units)
				break
			}
		}
	}
}

// tries holds second tries against first ones in every ten seconds, over the whole fleet.
func (ev Evidence) tries(say sayer) {
	for svc, v := range ev.Mix.Layout["services"].(obj) {
		spare := float64(v.(obj)["second_spare"].(int))
		for i, j := 0, 0; j < len(ev.Counts); j++ {
			for ev.Counts[j].At.Sub(ev.Counts[i].At) > 10*time.Second {
				i++
			}
			a, b := ev.Counts[i], ev.Counts[j]
			if first, again := b.First[svc]-a.First[svc], b.Again[svc]-a.Again[svc]; again > 0.2*first+spare {
				say("second-tries", "%g second tries to %s beside %g first ones within %s", again, svc, first, b.At.Sub(a.At).Round(time.Millisecond))
				break
			}
		}
	}
}

// leavingTime is how long after a runner's word that it leaves routers may still send to it.
const leavingTime = 2 * time.Second

// times holds leaving runners and hard faults against the time that the promises give.
func (ev Evidence) times(say sayer) {
	for _, s := range ev.Seen {
		for _, w := range ev.Words {
			if d := s.At.Sub(w.At); s.Born == w.Born && d > leavingTime+ev.Slack {
				say("leaving", "runner %s got a query %s after its word that it leaves", s.Runner, d.Round(time.Millisecond))
			}
		}
	}
	for _, c := range ev.Cuts {
		// Silent runners are found out after 5 s; from then on both sides serve what needs no core, and
		// the greater part everything.
		got, asked := map[[2]string]int{}, map[[2]string]int{}
		for _, o := range ev.Outs {
			side := "out"
			if ev.Halls[o.Router] == c.Hall {
				side = "in"
			}
			if o.Begun.Sub(c.From) > 6*time.Second && o.Begun.Add(o.Took).Before(c.To) {
				asked[[2]string{side, o.Kind}]++
				if o.served() {
					got[[2]string{side, o.Kind}]++
				}
			}
		}
		for _, k := range ev.Mix.Kinds {
			if got[[2]string{"out", k.Name}] == 0 && asked[[2]string{"out", k.Name}] > 5 {
				say("cut-hall", "no %s was served outside hall %s while its link was cut", k.Name, c.Hall)
			}
			if !k.Once && got[[2]string{"in", k.Name}] == 0 && asked[[2]string{"in", k.Name}] > 5 {
				say("cut-hall", "no %s was served in hall %s while its link was cut", k.Name, c.Hall)
			}
			if k.Once && got[[2]string{"in", k.Name}] > 0 {
				say("cut-hall", "%d %s ran in hall %s, which could not ask the core", got[[2]string{"in", k.Name}], k.Name, c.Hall)
			}
		}
	}
	for _, h := range ev.Hards {
		for _, k := range ev.Mix.Kinds {
			back := time.Duration(-1)
			for _, o := range ev.Outs {
				if d := o.Begun.Add(o.Took).Sub(h.At); o.Kind == k.Name && o.served() && o.Begun.After(h.At) && (back < 0 || d < back) {
					back = d
				}
			}
			if most := 12*time.Second + ev.Slack; back > most || back < 0 && ev.End.Sub(h.At) > most {
				say("service-back", "no %s was served within %s of this fault: %s", k.Name, most, h.Name)
			}
		}
	}
}

// Sum is a load's outcome in figures.
type Sum struct {
	Queries, Done, Bounced, Troubled, Broken int
	Codes                                    map[string]int
	P50, P99                                 time.Duration
}

// Total sums outcomes up.
//
//	sum := drill.Total(load.All())
func Total(outs []Outcome) Sum {
	s := Sum{Codes: map[string]int{}}
	var took []time.Duration
	for _, o := range outs {
		s.Queries++
		switch {
		case o.served():
			s.Done++
			took = append(took, o.Took)
		case o.Err != "":
			s.Broken++
		case o.Run == "not run":
			s.Bounced++
		default:
			s.Troubled++
		}
		if o.Code != "" {
			s.Codes[o.Code]++
		}
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if n := len(took); n > 0 {
		s.P50, s.P99 = took[n/2], took[n*99/100]
	}
	return s
}

// Print writes the figures.
//
//	sum.Print(os.Stdout)
func (s Sum) Print(w io.Writer) {
	fmt.Fprintf(w, "tries %d: done %d, bounced %d, troubled %d, connection lost %d; median %s, 99th of a hundred %s\n",
		s.Queries, s.Done, s.Bounced, s.Troubled, s.Broken, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	var codes []string
	for c := range s.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for _, c := range codes {
		fmt.Fprintf(w, "  %s: %d\n", c, s.Codes[c])
	}
}

// Gap is the longest time between two moments in which no query of a kind came to a whole answer.
//
//	back := drill.Gap(outs, "checks", fault, time.Now())
func Gap(outs []Outcome, kind string, from, to time.Time) time.Duration {
	var ends []time.Time
	for _, o := range outs {
		if o.Kind == kind && o.served() {
			if end := o.Begun.Add(o.Took); end.After(from) && end.Before(to) {
				ends = append(ends, end)
			}
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	long := time.Duration(0)
	for _, e := range append(ends, to) {
		long = max(long, e.Sub(from))
		from = e
	}
	return long
}

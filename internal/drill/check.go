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
	report := func(promise, f string, a ...any) { bad = append(bad, Breach{promise, fmt.Sprintf(f, a...)}) }
	ev.checkRequests(report)
	ev.checkConfigs(report)
	ev.checkQuotas(report)
	ev.checkTries(report)
	ev.checkTimes(report)
	return bad
}

type reporter func(promise, f string, a ...any)

// checkRequests holds the clients' outcomes against the runners' diaries.
func (ev Evidence) checkRequests(report reporter) {
	mix, outcomes, seen := ev.Mix, ev.Outcomes, ev.Seen
	kinds := map[string]Kind{}
	for _, k := range mix.Kinds {
		kinds[k.Name] = k
	}
	asked := map[uint64]Outcome{}
	ids := map[string]bool{}
	for _, o := range outcomes {
		asked[o.Number] = o
	}
	ran, tries := map[uint64]int{}, map[string]int{}
	for _, s := range seen {
		n, _ := strconv.ParseUint(s.Header.Get("X-Drill-N"), 10, 64)
		o, ok := asked[n]
		id := s.Header.Get("X-Yarrowridge-Query")
		ids[id] = true
		ran[n]++
		tries[id]++
		switch {
		case n == 0:
			report("fidelity", "runner %s saw a query that no origin sent", s.Runner)
		case !ok:
			continue // its client has not been answered yet
		case s.Path != o.Path || !bytes.Equal(s.Body, o.Body):
			report("fidelity", "runner %s saw query %d changed", s.Runner, n)
		case s.Header.Get("X-Yarrowridge-Tenant") != o.Tenant:
			report("fidelity", "runner %s saw tenant %q for query %d, %q expected", s.Runner, s.Header.Get("X-Yarrowridge-Tenant"), n, o.Tenant)
		case s.Header.Get("Authorization") != "":
			report("fidelity", "runner %s saw the key of query %d", s.Runner, n)
		}
	}
	for n, times := range ran {
		if o, ok := asked[n]; ok && kinds[o.Kind].Once && times > 1 {
			report("once", "query %d with key %s ran %d times", n, o.Key, times)
		}
	}
	for id, times := range tries {
		if times > 1 {
			report("sent-once", "query %s reached runners %d times", id, times)
		}
	}
	for _, o := range outcomes {
		k := kinds[o.Kind]
		if o.Run == "not run" && ids[o.RequestID] {
			report("not-run", "query %s (%d) was said not to have run, code %s, but a runner saw it", o.RequestID, o.Number, o.Code)
		}
		if o.served() {
			if o.Echo != Echo(o.Body) {
				report("answer", "query %d was answered with another's answer", o.Number)
			}
			if k.Stream && len(o.Pieces) != k.Tokens {
				report("stream", "query %d: a stream of %d pieces claims to be complete, %d expected", o.Number, len(o.Pieces), k.Tokens)
			}
		}
		if len(o.Marks) > 1 {
			report("joined", "query %d: the stream joins runs %v", o.Number, o.Marks)
		}
		for i, p := range o.Pieces {
			if i != p {
				report("stream", "query %d: piece %d came in place %d", o.Number, p, i)
				break
			}
		}
		if (o.Status == 503 || o.Status == 429) && o.Retry == "" {
			report("retry-after", "query %d was bounced with %s and no Retry-After", o.Number, o.Code)
		}
	}
	whole := map[uint64]int{}
	for _, o := range outcomes {
		if o.Whole {
			whole[o.Number]++
		}
	}
	for _, o := range outcomes {
		for _, s := range ev.PlannedStops {
			end := o.Begun.Add(o.Took)
			if o.Err != "" && o.Router == s.Router && o.Begun.Before(s.To) && end.After(s.From) && end.Before(s.To.Add(time.Second)) && ran[o.Number] > whole[o.Number] {
				report("planned-stop", "query %d had been read by %s, which was stopped with a warning, and was dropped: %s", o.Number, o.Router, o.Err)
			}
		}
	}
}

// checkConfigs holds what routers obeyed against what operators were told.
func (ev Evidence) checkConfigs(report reporter) {
	acked, doubt := map[uint64]ConfigWrite{}, map[string]bool{}
	var newest ConfigWrite
	for _, e := range ev.ConfigWrites {
		switch {
		case e.Code == 200:
			if was, twice := acked[e.Version]; twice && was.Hash != e.Hash {
				report("layout", "sequence %d was acknowledged for two layouts", e.Version)
			}
			acked[e.Version] = e
			if e.Version > newest.Version {
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
	for _, s := range ev.ConfigReadings {
		if e, ok := acked[s.Version]; ok && e.Hash != s.Hash || !ok && !doubt[s.Hash] {
			report("losing-layout", "%s obeys a layout at sequence %d that no operator was told to have won", s.Router, s.Version)
		}
		if b := best[s.Router]; s.Version < b.seq && s.AskedAt.Sub(b.at) > 250*time.Millisecond {
			report("slipped-back", "%s obeys sequence %d, %s after it had obeyed %d", s.Router, s.Version, s.AskedAt.Sub(b.at).Round(time.Millisecond), b.seq)
		}
		if s.Version > best[s.Router].seq {
			best[s.Router] = high{s.Version, s.AnsweredAt}
		}
		for _, e := range acked {
			if e.Version > s.Version && !s.Stale && s.AskedAt.Sub(e.AnsweredAt) > late {
				report("layout-late", "%s obeys sequence %d, %s after %d was acknowledged", s.Router, s.Version, s.AskedAt.Sub(e.AnsweredAt).Round(time.Millisecond), e.Version)
				break
			}
		}
	}
	if f := ev.Final; f != nil {
		if e, ok := acked[f.Version]; f.Version < newest.Version || ok && e.Hash != f.Hash || !ok && !doubt[f.Hash] {
			report("read-back", "sequence %d was read back at the end, %d is the newest acknowledged", f.Version, newest.Version)
		}
	}
	for _, g := range ev.KeyWithdrawals {
		for _, o := range ev.Outcomes {
			if o.Tenant != g.Tenant {
				continue
			}
			end := o.Begun.Add(o.Took)
			if fresh := o.Begun.Sub(g.From) > late && o.Begun.Before(g.To) && o.Status == 200; fresh ||
				o.Whole && o.Begun.Before(g.From) && end.Sub(g.From) > late && end.Before(g.To) {
				report("withdrawn", "query %d of %s was answered %s after its key was withdrawn", o.Number, g.Tenant, end.Sub(g.From).Round(time.Millisecond))
			}
		}
	}
}

// checkQuotas holds each tenant's requests, as runners saw them, against its quota in every rolling window.
func (ev Evidence) checkQuotas(report reporter) {
	for tenant, v := range ev.Mix.Config["tenants"].(object) {
		q, ok := v.(object)["quota"].(object)
		if !ok {
			continue
		}
		units, window := q["units"].(int), time.Duration(q["window_s"].(int))*time.Second
		var at []time.Time
		for _, s := range ev.Seen {
			if s.Header.Get("X-Yarrowridge-Tenant") == tenant {
				at = append(at, s.At)
			}
		}
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		for i, j := 0, 0; i < len(at); i++ {
			for at[i].Sub(at[j]) >= window {
				j++
			}
			if i-j+1 > units {
				report("quota", "%d queries of %s ran within %s, its quota is %d", i-j+1, tenant, window, units)
				break
			}
		}
	}
}

// checkTries holds second tries against first ones in every ten seconds, over the whole fleet.
func (ev Evidence) checkTries(report reporter) {
	for service, v := range ev.Mix.Config["services"].(object) {
		spare := float64(v.(object)["second_spare"].(int))
		for i, j := 0, 0; j < len(ev.TryCounts); j++ {
			for ev.TryCounts[j].At.Sub(ev.TryCounts[i].At) > 10*time.Second {
				i++
			}
			a, b := ev.TryCounts[i], ev.TryCounts[j]
			if first, again := b.First[service]-a.First[service], b.Again[service]-a.Again[service]; again > 0.2*first+spare {
				report("second-tries", "%g second tries to %s beside %g first ones within %s", again, service, first, b.At.Sub(a.At).Round(time.Millisecond))
				break
			}
		}
	}
}

// checkTimes holds leaving runners and hard faults against the time that the promises give.
func (ev Evidence) checkTimes(report reporter) {
	for _, s := range ev.Seen {
		for _, w := range ev.Departures {
			if d := s.At.Sub(w.At); s.RunID == w.RunID && d > 2*time.Second+ev.Slack {
				report("leaving", "runner %s got a query %s after its word that it leaves", s.Runner, d.Round(time.Millisecond))
			}
		}
	}
	for _, c := range ev.LinkCuts {
		// Silent runners are found out after 5 s; from then on both sides serve what needs no core, and
		// the greater part everything.
		got, asked := map[[2]string]int{}, map[[2]string]int{}
		for _, o := range ev.Outcomes {
			side := "out"
			if ev.Zones[o.Router] == c.Zone {
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
				report("cut-hall", "no %s was served outside hall %s while its link was cut", k.Name, c.Zone)
			}
			if !k.Once && got[[2]string{"in", k.Name}] == 0 && asked[[2]string{"in", k.Name}] > 5 {
				report("cut-hall", "no %s was served in hall %s while its link was cut", k.Name, c.Zone)
			}
			if k.Once && got[[2]string{"in", k.Name}] > 0 {
				report("cut-hall", "%d %s ran in hall %s, which could not ask the core", got[[2]string{"in", k.Name}], k.Name, c.Zone)
			}
		}
	}
	for _, h := range ev.HardFaults {
		for _, k := range ev.Mix.Kinds {
			back := time.Duration(-1)
			for _, o := range ev.Outcomes {
				if d := o.Begun.Add(o.Took).Sub(h.At); o.Kind == k.Name && o.served() && o.Begun.After(h.At) && (back < 0 || d < back) {
					back = d
				}
			}
			if limit := 12*time.Second + ev.Slack; back > limit || back < 0 && ev.End.Sub(h.At) > limit {
				report("service-back", "no %s was served within %s of this fault: %s", k.Name, limit, h.Name)
			}
		}
	}
}

// Sum is a load's outcome in figures.
type Sum struct {
	Requests, Done, Rejected, Failed, Broken int
	Codes                                    map[string]int
	P50, P99                                 time.Duration
}

// Total sums outcomes up.
//
//	sum := drill.Total(load.All())
func Total(outcomes []Outcome) Sum {
	s := Sum{Codes: map[string]int{}}
	var took []time.Duration
	for _, o := range outcomes {
		s.Requests++
		switch {
		case o.served():
			s.Done++
			took = append(took, o.Took)
		case o.Err != "":
			s.Broken++
		case o.Run == "not run":
			s.Rejected++
		default:
			s.Failed++
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
		s.Requests, s.Done, s.Rejected, s.Failed, s.Broken, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	var codes []string
	for c := range s.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for _, c := range codes {
		fmt.Fprintf(w, "  %s: %d\n", c, s.Codes[c])
	}
}

// Gap is the longest time between two moments in which no request of a kind came to a whole answer.
//
//	back := drill.Gap(outs, "checks", fault, time.Now())
func Gap(outcomes []Outcome, kind string, from, to time.Time) time.Duration {
	var ends []time.Time
	for _, o := range outcomes {
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

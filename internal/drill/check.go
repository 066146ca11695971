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

// Check holds the origins' outcomes against the runners' diaries and names every broken promise.
//
//	for _, b := range drill.Check(mix, load.All(), fleet.Diary.All()) { ... }
func Check(mix Mix, outs []Outcome, seen []Seen) []Breach {
	var bad []Breach
	say := func(promise, f string, a ...any) { bad = append(bad, Breach{promise, fmt.Sprintf(f, a...)}) }
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
		if o.Whole && o.Status == 200 {
			if o.Echo != Echo(o.Body) {
				say("answer", "query %d was answered with another's answer", o.N)
			}
			if k.Stream && len(o.Pieces) != k.Tokens {
				say("stream", "query %d: a stream of %d pieces claims to be complete, %d expected", o.N, len(o.Pieces), k.Tokens)
			}
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
	return bad
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
		case o.Whole && o.Status == 200:
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
		if o.Kind == kind && o.Whole && o.Status == 200 {
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

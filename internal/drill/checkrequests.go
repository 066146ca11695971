package drill

import (
	"bytes"
	"strconv"
	"time"
)

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

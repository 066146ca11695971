package drill

import (
	"bytes"
	"strconv"
	"time"
)

// requestRuns is how often runners saw requests.
type requestRuns struct {
	byNumber map[uint64]int // by the client's number
	byID     map[string]int // by the router's ID, one for each try of the client
}

// checkRequests holds the clients' outcomes against the runners' logs.
func (ev Evidence) checkRequests(report reporter) {
	kinds := map[string]Kind{}
	for _, k := range ev.Mix.Kinds {
		kinds[k.Name] = k
	}
	runs := ev.checkSeen(report, kinds)
	for _, o := range ev.Outcomes {
		o.check(report, kinds[o.Kind], runs)
	}
	ev.checkPlannedStops(report, runs)
}

// checkSeen checks that runners saw the clients' requests unchanged, and none more often than it may run.
func (ev Evidence) checkSeen(report reporter, kinds map[string]Kind) requestRuns {
	asked := map[uint64]Outcome{}
	for _, o := range ev.Outcomes {
		asked[o.Number] = o
	}
	runs := requestRuns{byNumber: map[uint64]int{}, byID: map[string]int{}}
	for _, s := range ev.Seen {
		number, _ := strconv.ParseUint(s.Header.Get("X-Drill-N"), 10, 64)
		runs.byNumber[number]++
		runs.byID[s.Header.Get("X-Yarrowridge-Query")]++
		o, ok := asked[number]
		switch {
		case number == 0:
			report("fidelity", "runner %s saw a query that no origin sent", s.Runner)
		case !ok:
			continue // its client has not been answered yet
		case s.Path != o.Path || !s.hasBody(o.Body):
			report("fidelity", "runner %s saw query %d changed", s.Runner, number)
		case s.Header.Get("X-Yarrowridge-Tenant") != o.Tenant:
			report("fidelity", "runner %s saw tenant %q for query %d, %q expected", s.Runner, s.Header.Get("X-Yarrowridge-Tenant"), number, o.Tenant)
		case s.Header.Get("Authorization") != "":
			report("fidelity", "runner %s saw the key of query %d", s.Runner, number)
		}
	}
	for number, times := range runs.byNumber {
		if o, ok := asked[number]; ok && kinds[o.Kind].Once && times > 1 {
			report("once", "query %d with key %s ran %d times", number, o.Key, times)
		}
	}
	for id, times := range runs.byID {
		if times > 1 {
			report("sent-once", "query %s reached runners %d times", id, times)
		}
	}
	return runs
}

// check holds what one client was answered against the promises.
func (o *Outcome) check(report reporter, k Kind, runs requestRuns) {
	if o.Run == "not run" && runs.byID[o.RequestID] > 0 {
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

// checkPlannedStops checks that no request was dropped which a router had read before it was stopped with a warning.
func (ev Evidence) checkPlannedStops(report reporter, runs requestRuns) {
	whole := map[uint64]int{}
	for _, o := range ev.Outcomes {
		if o.Whole {
			whole[o.Number]++
		}
	}
	for _, o := range ev.Outcomes {
		if o.Err == "" || runs.byNumber[o.Number] <= whole[o.Number] {
			continue
		}
		end := o.Begun.Add(o.Took)
		for _, s := range ev.PlannedStops {
			if o.Router == s.Router && o.Begun.Before(s.To) && end.After(s.From) && end.Before(s.To.Add(time.Second)) {
				report("planned-stop", "query %d had been read by %s, which was stopped with a warning, and was dropped: %s", o.Number, o.Router, o.Err)
			}
		}
	}
}

// hasBody reports whether the runner got the body unchanged: whole, or its beginning where the sender died in the middle of it.
func (s *Seen) hasBody(sent []byte) bool {
	if s.Cut {
		return bytes.HasPrefix(sent, s.Body)
	}
	return bytes.Equal(s.Body, sent)
}

package drill

import (
	"bytes"
	"strconv"
	"time"
)

// runCounts counts how often runners received each request.
type runCounts struct {
	byNumber map[uint64]int // by the number that the client gave it
	byID     map[string]int // by the router's ID, which differs for each attempt of the client
}

// checkRequests compares the clients' outcomes with the runners' request logs.
func (ev Evidence) checkRequests(report reportFunc) {
	kinds := map[string]RequestKind{}
	for _, k := range ev.Mix.Kinds {
		kinds[k.Name] = k
	}
	runs := ev.checkRunnerRequests(report, kinds)
	for _, o := range ev.Outcomes {
		o.checkAnswer(report, kinds[o.Kind], runs)
	}
	ev.checkPlannedStops(report, runs)
}

// checkRunnerRequests checks that the clients' requests reached the runners unchanged, and none more often than allowed.
// It returns how often each request reached a runner.
func (ev Evidence) checkRunnerRequests(report reportFunc, kinds map[string]RequestKind) runCounts {
	outcomes := map[uint64]Outcome{}
	for _, o := range ev.Outcomes {
		outcomes[o.Number] = o
	}
	runs := runCounts{byNumber: map[uint64]int{}, byID: map[string]int{}}
	for _, received := range ev.RunnerRequests {
		number, _ := strconv.ParseUint(received.Header.Get("X-Drill-N"), 10, 64)
		runs.byNumber[number]++
		runs.byID[received.Header.Get("X-Yarrowridge-Query")]++
		o, ok := outcomes[number]
		switch {
		case number == 0:
			report("fidelity", "runner %s saw a query that no origin sent", received.Runner)
		case !ok:
			continue // the client has no outcome yet
		case received.Path != o.Path || !received.matchesBody(o.Body):
			report("fidelity", "runner %s saw query %d changed", received.Runner, number)
		case received.Header.Get("X-Yarrowridge-Tenant") != o.Tenant:
			report("fidelity", "runner %s saw tenant %q for query %d, %q expected", received.Runner, received.Header.Get("X-Yarrowridge-Tenant"), number, o.Tenant)
		case received.Header.Get("Authorization") != "":
			report("fidelity", "runner %s saw the key of query %d", received.Runner, number)
		}
	}
	for number, times := range runs.byNumber {
		if o, ok := outcomes[number]; ok && kinds[o.Kind].Once && times > 1 {
			report("once", "query %d with key %s ran %d times", number, o.IdempotencyKey, times)
		}
	}
	for id, times := range runs.byID {
		if times > 1 {
			report("sent-once", "query %s reached runners %d times", id, times)
		}
	}
	return runs
}

// checkAnswer checks the answer to one attempt: its outcome agrees with what the runners received, and the body or
// stream is complete, in order and of this request.
func (o *Outcome) checkAnswer(report reportFunc, k RequestKind, runs runCounts) {
	if o.Run == "not run" && runs.byID[o.RequestID] > 0 {
		report("not-run", "query %s (%d) was said not to have run, code %s, but a runner saw it", o.RequestID, o.Number, o.Code)
	}
	if o.succeeded() {
		if o.Echo != Echo(o.Body) {
			report("answer", "query %d was answered with another's answer", o.Number)
		}
		if k.Stream && len(o.Chunks) != k.Tokens {
			report("stream", "query %d: a stream of %d pieces claims to be complete, %d expected", o.Number, len(o.Chunks), k.Tokens)
		}
	}
	if len(o.ExecutionIDs) > 1 {
		report("joined", "query %d: the stream joins runs %v", o.Number, o.ExecutionIDs)
	}
	for position, chunk := range o.Chunks {
		if position != chunk {
			report("stream", "query %d: piece %d came in place %d", o.Number, chunk, position)
			break
		}
	}
	if (o.Status == 503 || o.Status == 429) && o.RetryAfter == "" {
		report("retry-after", "query %d was bounced with %s and no Retry-After", o.Number, o.Code)
	}
}

// checkPlannedStops checks that a router that is stopped with SIGTERM drops no request that it has read.
func (ev Evidence) checkPlannedStops(report reportFunc, runs runCounts) {
	complete := map[uint64]int{}
	for _, o := range ev.Outcomes {
		if o.Complete {
			complete[o.Number]++
		}
	}
	for _, o := range ev.Outcomes {
		if o.Err == "" || runs.byNumber[o.Number] <= complete[o.Number] {
			continue
		}
		end := o.StartedAt.Add(o.Duration)
		for _, stop := range ev.PlannedStops {
			if o.Router == stop.Router && o.StartedAt.Before(stop.To) && end.After(stop.From) && end.Before(stop.To.Add(time.Second)) {
				report("planned-stop", "query %d had been read by %s, which was stopped with a warning, and was dropped: %s", o.Number, o.Router, o.Err)
			}
		}
	}
}

// matchesBody reports whether the runner received the body unchanged. Of a truncated request, whose sender died in the
// middle of the body, it may have received only the beginning.
func (s *RunnerRequest) matchesBody(sent []byte) bool {
	if s.Truncated {
		return bytes.HasPrefix(sent, s.Body)
	}
	return bytes.Equal(s.Body, sent)
}

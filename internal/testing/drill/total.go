package drill

import (
	"io"
	"sort"
	"time"
)

// Summary counts the outcomes of a load and gives the response times of successful attempts.
type Summary struct {
	Attempts, Done, Rejected, Failed, Disconnected int
	Codes                                          map[string]int
	P50, P99                                       time.Duration
}

// Summarize counts outcomes.
func Summarize(outcomes []Outcome) Summary {
	summary := Summary{Codes: map[string]int{}}
	var durations []time.Duration
	for _, o := range outcomes {
		summary.Attempts++
		switch {
		case o.succeeded():
			summary.Done++
			durations = append(durations, o.Duration)
		case o.Err != "":
			summary.Disconnected++
		case o.Run == "not run":
			summary.Rejected++
		default:
			summary.Failed++
		}
		if o.Code != "" {
			summary.Codes[o.Code]++
		}
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	if n := len(durations); n > 0 {
		summary.P50, summary.P99 = durations[n/2], durations[n*99/100]
	}
	return summary
}

// Print prints the summary, then the number of outcomes for each error code.
func (s Summary) Print(w io.Writer) {
	printf(w, "tries %d: done %d, rejected %d, troubled %d, connection lost %d; median %s, 99th of a hundred %s\n",
		s.Attempts, s.Done, s.Rejected, s.Failed, s.Disconnected, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	var codes []string
	for code := range s.Codes {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		printf(w, "  %s: %d\n", code, s.Codes[code])
	}
}

// LongestOutage returns the longest time within from and to in which no request of a kind got a complete answer.
func LongestOutage(outcomes []Outcome, kind string, from, to time.Time) time.Duration {
	var ends []time.Time
	for _, o := range outcomes {
		if o.Kind == kind && o.succeeded() {
			if end := o.StartedAt.Add(o.Duration); end.After(from) && end.Before(to) {
				ends = append(ends, end)
			}
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	longest := time.Duration(0)
	for _, end := range append(ends, to) {
		longest = max(longest, end.Sub(from))
		from = end
	}
	return longest
}

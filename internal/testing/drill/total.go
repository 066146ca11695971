package drill

import (
	"io"
	"sort"
	"time"
)

// Sum is a load's outcome in figures.
type Sum struct {
	Requests, Done, Rejected, Failed, Broken int
	Codes                                    map[string]int
	P50, P99                                 time.Duration
}

// Total sums outcomes up.
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
func (s Sum) Print(w io.Writer) {
	printf(w, "tries %d: done %d, rejected %d, troubled %d, connection lost %d; median %s, 99th of a hundred %s\n",
		s.Requests, s.Done, s.Rejected, s.Failed, s.Broken, s.P50.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	var codes []string
	for c := range s.Codes {
		codes = append(codes, c)
	}
	sort.Strings(codes)
	for _, c := range codes {
		printf(w, "  %s: %d\n", c, s.Codes[c])
	}
}

// Gap is the longest time between two moments in which no request of a kind came to a whole answer.
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

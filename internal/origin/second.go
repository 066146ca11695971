package origin

import (
	"sync"
	"time"

	"yarrowridge/internal/layout"
	"yarrowridge/internal/metrics"
	"yarrowridge/internal/strike"
)

// Second bounds second tries. Each first try to a service earns a share of a second one; what is
// earned is kept up to this router's part of the fleet's small allowance and no further. So in any
// span of time the second tries of all routers are at most that share of the first ones within it,
// and the allowance, also when traffic has just fallen away.
type Second struct {
	mu      sync.Mutex
	by      map[string]*tries
	metrics *metrics.Metrics
}

type tries struct {
	have         float64 // second tries that may be made
	first, again []time.Time
}

// NewSecond makes the budget.
//
//	s := origin.NewSecond(m)
func NewSecond(m *metrics.Metrics) *Second { return &Second{by: map[string]*tries{}, metrics: m} }

// countSpan is the span that Counts looks back.
const countSpan = 10 * time.Second

func (s *Second) of(svc string) *tries {
	t := s.by[svc]
	if t == nil {
		t = &tries{}
		s.by[svc] = t
	}
	old := time.Now().Add(-countSpan)
	for len(t.first) > 0 && !t.first[0].After(old) {
		t.first = t.first[1:]
	}
	for len(t.again) > 0 && !t.again[0].After(old) {
		t.again = t.again[1:]
	}
	return t
}

// First counts a first try. part is what this router has of the fleet's spare tries.
//
//	s.First(svc, hub.Part(svc.Spare))
func (s *Second) First(svc layout.Service, part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(svc.Name)
	t.first = append(t.first, time.Now())
	s.metrics.FirstTries.WithLabelValues(svc.Name).Inc()
	t.have = min(float64(part), t.have+svc.Share)
}

// Counts is how many first and second tries the last ten seconds saw.
//
//	first, again := s.Counts("model")
func (s *Second) Counts(svc string) (first, again int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(svc)
	return len(t.first), len(t.again)
}

// May tells whether a second try may be made now, and counts it.
//
//	if s.May(svc) { ... }
func (s *Second) May(svc layout.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(svc.Name)
	let := "no"
	if t.have >= 1-1e-9 || strike.Out("second") {
		t.have--
		t.again = append(t.again, time.Now())
		let = "yes"
	}
	s.metrics.SecondTries.WithLabelValues(svc.Name, let).Inc()
	return let == "yes"
}

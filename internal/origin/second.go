package origin

import (
	"sync"
	"time"

	"yarrowridge/internal/layout"
	"yarrowridge/internal/meter"
)

// Second bounds second tries: for each service a share of the first tries of the last ten
// seconds, and this router's part of the fleet's small allowance.
type Second struct {
	mu    sync.Mutex
	by    map[string]*tries
	meter *meter.Meter
}

type tries struct {
	first, again []time.Time
}

// NewSecond makes the budget.
//
//	s := origin.NewSecond(m)
func NewSecond(m *meter.Meter) *Second { return &Second{by: map[string]*tries{}, meter: m} }

// tenSeconds is the span in which second tries are held against first ones.
const tenSeconds = 10 * time.Second

func (s *Second) of(svc string) *tries {
	t := s.by[svc]
	if t == nil {
		t = &tries{}
		s.by[svc] = t
	}
	old := time.Now().Add(-tenSeconds)
	for len(t.first) > 0 && !t.first[0].After(old) {
		t.first = t.first[1:]
	}
	for len(t.again) > 0 && !t.again[0].After(old) {
		t.again = t.again[1:]
	}
	return t
}

// First counts a first try.
//
//	s.First("model")
func (s *Second) First(svc string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(svc)
	t.first = append(t.first, time.Now())
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

// May tells whether a second try may be made now, and counts it. part is what this router has of
// the fleet's spare tries.
//
//	if s.May(svc, hub.Part(svc.Spare)) { ... }
func (s *Second) May(svc layout.Service, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(svc.Name)
	ok := len(t.again) < int(svc.Share*float64(len(t.first)))+part
	if ok {
		t.again = append(t.again, time.Now())
	}
	let := "no"
	if ok {
		let = "yes"
	}
	s.meter.Seconds.WithLabelValues(svc.Name, let).Inc()
	return ok
}

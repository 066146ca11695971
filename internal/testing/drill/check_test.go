package drill

import (
	"net/http"
	"testing"
)

// Every check of the drill sees the breach it is there for, and none where there is none.
func TestCheckSeesBreaches(t *testing.T) {
	mix := Trentvale()
	order := []byte(`{"order":"1"}`)
	good := func() ([]Outcome, []Seen) {
		head := http.Header{"X-Drill-N": {"1"}, "X-Yarrowridge-Query": {"q1"}, "X-Yarrowridge-Tenant": {"casual"}}
		return []Outcome{{Kind: "confirmations", Number: 1, Key: "key-1", Tenant: "casual", Path: "/v1/confirmations", Body: order, Status: 200, Whole: true, Echo: Echo(order), RequestID: "q1"}},
			[]Seen{{Runner: "orders1", Path: "/v1/confirmations", Header: head, Body: order, Finished: true}}
	}
	for name, spoil := range map[string]func(*[]Outcome, *[]Seen){
		"": func(*[]Outcome, *[]Seen) {},
		"once": func(_ *[]Outcome, s *[]Seen) {
			again := (*s)[0]
			again.Header = again.Header.Clone()
			again.Header.Set("X-Yarrowridge-Query", "q2")
			*s = append(*s, again)
		},
		"sent-once": func(o *[]Outcome, s *[]Seen) { (*o)[0].Kind = "checks"; *s = append(*s, (*s)[0]) },
		"not-run":   func(o *[]Outcome, _ *[]Seen) { (*o)[0].Status, (*o)[0].Whole, (*o)[0].Run = 502, false, "not run" },
		"answer":    func(o *[]Outcome, _ *[]Seen) { (*o)[0].Echo = "another's" },
		"fidelity":  func(_ *[]Outcome, s *[]Seen) { (*s)[0].Body = []byte("changed") },
		"stream": func(o *[]Outcome, _ *[]Seen) {
			(*o)[0].Kind, (*o)[0].Pieces = "writeups", []int{0, 1, 3}
		},
		"retry-after": func(o *[]Outcome, s *[]Seen) {
			(*o)[0].Status, (*o)[0].Whole, (*o)[0].Code, (*o)[0].Run = 503, false, "queue-full", "not run"
			*s = nil
		},
	} {
		outcomes, seen := good()
		spoil(&outcomes, &seen)
		bad := Check(Evidence{Mix: mix, Outcomes: outcomes, Seen: seen})
		found := name == "" && len(bad) == 0
		for _, b := range bad {
			found = found || b.Promise == name
		}
		if !found {
			t.Errorf("breach %q: found %v", name, bad)
		}
	}
	for name, spoil := range map[string]func(h http.Header){
		"tenant":  func(h http.Header) { h.Set("X-Yarrowridge-Tenant", "yard-a") },
		"key":     func(h http.Header) { h.Set("Authorization", "Bearer demo-casual") },
		"nowhere": func(h http.Header) { h.Del("X-Drill-N") },
	} {
		outcomes, seen := good()
		spoil(seen[0].Header)
		if bad := Check(Evidence{Mix: mix, Outcomes: outcomes, Seen: seen}); len(bad) == 0 || bad[0].Promise != "fidelity" {
			t.Errorf("%s: found %v", name, bad)
		}
	}
}

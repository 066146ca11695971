package drill

import (
	"net/http"
	"testing"
)

// Each check finds the breach that it is meant to find, and no check finds one in correct evidence.
func TestCheckFindsBreaches(t *testing.T) {
	mix := Trentvale()
	order := []byte(`{"order":"1"}`)
	good := func() ([]Outcome, []RunnerRequest) {
		header := http.Header{"X-Drill-N": {"1"}, "X-Yarrowridge-Query": {"q1"}, "X-Yarrowridge-Tenant": {"casual"}}
		return []Outcome{{Kind: "confirmations", Number: 1, IdempotencyKey: "key-1", Tenant: "casual", Path: "/v1/confirmations", Body: order, Status: 200, Complete: true, Echo: Echo(order), RequestID: "q1"}},
			[]RunnerRequest{{Runner: "orders1", Path: "/v1/confirmations", Header: header, Body: order, Finished: true}}
	}
	for name, corrupt := range map[string]func(*[]Outcome, *[]RunnerRequest){
		"": func(*[]Outcome, *[]RunnerRequest) {},
		"once": func(_ *[]Outcome, r *[]RunnerRequest) {
			again := (*r)[0]
			again.Header = again.Header.Clone()
			again.Header.Set("X-Yarrowridge-Query", "q2")
			*r = append(*r, again)
		},
		"sent-once": func(o *[]Outcome, r *[]RunnerRequest) { (*o)[0].Kind = "checks"; *r = append(*r, (*r)[0]) },
		"not-run": func(o *[]Outcome, _ *[]RunnerRequest) {
			(*o)[0].Status, (*o)[0].Complete, (*o)[0].Run = 502, false, "not run"
		},
		"answer":   func(o *[]Outcome, _ *[]RunnerRequest) { (*o)[0].Echo = "another's" },
		"fidelity": func(_ *[]Outcome, r *[]RunnerRequest) { (*r)[0].Body = []byte("changed") },
		"stream": func(o *[]Outcome, _ *[]RunnerRequest) {
			(*o)[0].Kind, (*o)[0].Chunks = "writeups", []int{0, 1, 3}
		},
		"retry-after": func(o *[]Outcome, r *[]RunnerRequest) {
			(*o)[0].Status, (*o)[0].Complete, (*o)[0].Code, (*o)[0].Run = 503, false, "queue-full", "not run"
			*r = nil
		},
	} {
		outcomes, received := good()
		corrupt(&outcomes, &received)
		breaches := Check(Evidence{Mix: mix, Outcomes: outcomes, RunnerRequests: received})
		found := name == "" && len(breaches) == 0
		for _, breach := range breaches {
			found = found || breach.Promise == name
		}
		if !found {
			t.Errorf("got breaches %v, want %q", breaches, name)
		}
	}
	for name, corrupt := range map[string]func(h http.Header){
		"tenant":  func(h http.Header) { h.Set("X-Yarrowridge-Tenant", "yard-a") },
		"key":     func(h http.Header) { h.Set("Authorization", "Bearer demo-casual") },
		"nowhere": func(h http.Header) { h.Del("X-Drill-N") },
	} {
		outcomes, received := good()
		corrupt(received[0].Header)
		if breaches := Check(Evidence{Mix: mix, Outcomes: outcomes, RunnerRequests: received}); len(breaches) == 0 || breaches[0].Promise != "fidelity" {
			t.Errorf("%s: got breaches %v, want fidelity", name, breaches)
		}
	}
}

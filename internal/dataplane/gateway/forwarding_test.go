package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// An error response from a runner is forwarded with its status, seal, other headers and body unchanged.
func TestFailureIsForwardedUnchanged(t *testing.T) {
	for _, status := range []int{400, 404, 409, 422, 429, 499, 500, 501, 507} {
		f := newFleet(t, route(routing.Unsafe, 3, false))
		f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Test-Id", r.Header.Get("Test-Id"))
			w.Header().Set("Test-Seal", "s")
			w.Header().Set("X-Reason", "as given")
			w.WriteHeader(status)
			writeText(w, "why it failed")
		})
		response, text, err := f.send("1", "/a/x", "k1", "asked")
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != status || response.Header.Get("Test-Seal") != "s" || response.Header.Get("X-Reason") != "as given" || text != "why it failed" {
			t.Errorf("got status %d, headers %v and %q, want the runner's %d unchanged", response.StatusCode, response.Header, text, status)
		}
	}
}

// The urgency sent to a runner ranks requests by their tenant's priority first and by their route's second; 0 is the most
// urgent.
func TestUrgencyByTenantAndRoute(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	var urgency string
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
		urgency = r.Header.Get("Test-Urgency")
		respondWith("text")(w, r)
	})
	for _, c := range []struct{ tenant, route, want int }{{0, 0, 0}, {0, 2, 2}, {1, 0, 3}, {1, 2, 5}, {2, 2, 8}, {3, 3, 9}, {0, -1, 0}} {
		spec := route(routing.Unsafe, 1, false)
		spec.Priority = c.route
		table, fieldErrors := routing.Build(routing.Spec{Revision: 1, Routes: []routing.RouteSpec{spec}, Services: []routing.Service{{Name: "desk"}},
			Tenants: []routing.TenantSpec{{Name: "yard", Keys: []string{"k1"}, Rate: 100, Priority: c.tenant}}, Limits: routing.Limits{BodyBytes: 1000}})
		if len(fieldErrors) > 0 {
			t.Fatal(fieldErrors)
		}
		f.table.Store(table)
		if response, _, err := f.send("1", "/a/x", "k1", ""); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, want status 200", response, err)
		}
		if urgency != fmt.Sprint(c.want) {
			t.Errorf("tenant of priority %d, route of %d: urgency got %q, want %d", c.tenant, c.route, urgency, c.want)
		}
	}
}

// A request whose client has waited for longer than the route's target latency has the lowest urgency, unless little time is
// left or it resumes a stream.
func TestUrgencyOfLateRequests(t *testing.T) {
	timed := route(routing.Safe, 1, true)
	timed.Priority, timed.Timeout, timed.TargetLatency = 2, 5*time.Second, 500*time.Millisecond
	for _, c := range []struct {
		name     string
		earlier  string // deadline of an earlier client, in milliseconds; "": no earlier client
		deadline string
		lastID   string
		target   time.Duration
		startsIn time.Duration // time until the router is ready
		want     string
	}{
		{"first attempt", "3000", "3000", "", timed.TargetLatency, 0, "2"},
		{"nobody else is known", "", "1000", "", timed.TargetLatency, 0, "2"},
		{"soon after the first", "3000", "2600", "", timed.TargetLatency, 0, "2"},
		{"late", "3000", "2400", "", timed.TargetLatency, 0, "9"},
		{"late, with little time left", "3000", "1400", "", timed.TargetLatency, 0, "2"},
		{"a longer time than the route's is not the measure", "5600", "4800", "", timed.TargetLatency, 0, "2"},
		{"no deadline given", "3000", "", "", timed.TargetLatency, 0, "2"},
		{"a resumed stream", "3000", "2400", "7", timed.TargetLatency, 0, "2"},
		{"no target latency", "3000", "2400", "", 0, 0, "2"},
		{"waited for the router's start", "3000", "3000", "", 100 * time.Millisecond, 200 * time.Millisecond, "9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			timed.TargetLatency = c.target
			f := newFleet(t, timed)
			var urgency string
			f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
				urgency = r.Header.Get("Test-Urgency")
				respondWith("text")(w, r)
			})
			if c.earlier != "" {
				if _, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", c.earlier); err != nil {
					t.Fatal(err)
				}
			}
			start := time.Now()
			f.gateway.NotReadyReason = func() string {
				if time.Since(start) < c.startsIn {
					return "starting"
				}
				return ""
			}
			response, _, err := f.send("2", "/a/x", "k1", "", "Test-Deadline", c.deadline, "Last-Event-Id", c.lastID)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("got %v, error %v, want status 200", response, err)
			}
			if urgency != c.want {
				t.Errorf("urgency: got %q, want %s", urgency, c.want)
			}
		})
	}
}

// Guards against a client that keeps the system's own headers from the runner: fields that the client's Connection header lists are
// removed before the system sets its own, and in a response all fields are that a runner's Connection header lists.
func TestConnectionOptionsRemoveNoHeaderOfTheSystem(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	var got http.Header
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Connection", "X-Hop, X-Other-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Other-Hop", "1")
		respondWith("text")(w, r)
	})
	response, _, err := f.send("1", "/a/x", "k1", "", "Connection", "Test-Tenant, Test-Runner,X-Hop", "X-Hop", "1", "Test-Tenant", "other")
	if err != nil {
		t.Fatal(err)
	}
	if got.Get("Test-Tenant") != "yard" || got.Get("Test-Runner") != "one" || got.Get("X-Hop") != "" {
		t.Errorf("the runner got headers %v, want the system's tenant and runner, and no X-Hop", got)
	}
	if response.Header.Get("X-Hop") != "" || response.Header.Get("X-Other-Hop") != "" {
		t.Errorf("the client got headers %v, want none that the runner's Connection header lists", response.Header)
	}
}

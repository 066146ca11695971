package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// A response that is not a success is forwarded unchanged: status, seal, other headers and body.
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
		answer, text, err := f.send("1", "/a/x", "k1", "asked")
		if err != nil {
			t.Fatal(err)
		}
		if answer.StatusCode != status || answer.Header.Get("Test-Seal") != "s" || answer.Header.Get("X-Reason") != "as given" || text != "why it failed" {
			t.Errorf("got status %d, headers %v and %q, want the runner's %d unchanged", answer.StatusCode, answer.Header, text, status)
		}
	}
}

// Runners are sent how urgent a request is: by its tenant's priority first, then by its route's, 0 the most urgent.
func TestUrgencyByTenantAndRoute(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	var seen string
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Get("Test-Urgency")
		respondWith("text")(w, r)
	})
	for _, c := range []struct{ tenant, route, want int }{{0, 0, 0}, {0, 2, 2}, {1, 0, 3}, {1, 2, 5}, {2, 2, 8}, {3, 3, 9}, {0, -1, 0}} {
		asked := route(routing.Unsafe, 1, false)
		asked.Priority = c.route
		table, flaws := routing.Build(routing.Spec{Revision: 1, Routes: []routing.RouteSpec{asked}, Services: []routing.Service{{Name: "desk"}},
			Tenants: []routing.TenantSpec{{Name: "yard", Keys: []string{"k1"}, Rate: 100, Priority: c.tenant}}, Limits: routing.Limits{BodyBytes: 1000}})
		if len(flaws) > 0 {
			t.Fatal(flaws)
		}
		f.table.Store(table)
		if answer, _, err := f.send("1", "/a/x", "k1", ""); err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, want status 200", answer, err)
		}
		if seen != fmt.Sprint(c.want) {
			t.Errorf("tenant of priority %d, route of %d: urgency got %q, want %d", c.tenant, c.route, seen, c.want)
		}
	}
}

// A request whose client has waited for longer than the route's target latency is the least urgent, unless its time is
// short or it resumes a stream.
func TestUrgencyOfLateRequests(t *testing.T) {
	timed := route(routing.Safe, 1, true)
	timed.Priority, timed.Timeout, timed.TargetLatency = 2, 5*time.Second, 500*time.Millisecond
	for _, c := range []struct {
		name     string
		longest  string // milliseconds that another client said before; "": none
		deadline string
		lastID   string
		target   time.Duration
		startsIn time.Duration // the router is not ready for so long
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
			var seen string
			f.addRunner("one", func(w http.ResponseWriter, r *http.Request) {
				seen = r.Header.Get("Test-Urgency")
				respondWith("text")(w, r)
			})
			if c.longest != "" {
				if _, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", c.longest); err != nil {
					t.Fatal(err)
				}
			}
			begun := time.Now()
			f.gateway.NotReadyReason = func() string {
				if time.Since(begun) < c.startsIn {
					return "starting"
				}
				return ""
			}
			answer, _, err := f.send("2", "/a/x", "k1", "", "Test-Deadline", c.deadline, "Last-Event-Id", c.lastID)
			if err != nil || answer.StatusCode != http.StatusOK {
				t.Fatalf("got %v, error %v, want status 200", answer, err)
			}
			if seen != c.want {
				t.Errorf("urgency: got %q, want %s", seen, c.want)
			}
		})
	}
}

package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// timingTolerance is how long after its bound an event may still happen in these tests.
const timingTolerance = 500 * time.Millisecond

// A request gets 504 when its route's time-out passes without a response, even if its client sent a longer deadline.
func TestRouteTimeout(t *testing.T) {
	bounded := route(routing.Unsafe, 1, false)
	bounded.Timeout = 150 * time.Millisecond
	f := newFleet(t, bounded)
	f.addRunner("silent", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		<-r.Context().Done()
	})
	start := time.Now()
	response, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "30000")
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, error %v, want status 504", response, err)
	}
	if took := time.Since(start); took < bounded.Timeout || took > bounded.Timeout+timingTolerance {
		t.Errorf("got a response after %s, want one after the route's time-out of %s", took, bounded.Timeout)
	}
}

// A request is sent to at most as many runners as its route's MaxAttempts, however many of them fail.
func TestMaxAttempts(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	f.addRunner("good", respondWith("text"))
	for range 8 { // earn retries for the budget
		if response, _, err := f.send("1", "/a/x", "k1", ""); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, want status 200", response, err)
		}
	}
	f.runners = nil
	var sent atomic.Int64
	for _, id := range []string{"one", "two", "three", "four"} {
		f.addRawRunner(id, func(conn net.Conn, _ *http.Request) {
			sent.Add(1)
			closeQuietly(conn)
		})
	}
	response, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != http.StatusBadGateway || sent.Load() != 2 {
		t.Errorf("sent to %d runners, got %v, error %v, want status 502 after 2 runners", sent.Load(), response, err)
	}
}

// Each attempt forwards the time that remains until the deadline, not the client's original one.
func TestRemainingTimeIsForwarded(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	const pause = 120 * time.Millisecond
	forwarded := make(chan time.Duration, 2)
	for _, id := range []string{"one", "two"} {
		f.addRawRunner(id, func(conn net.Conn, request *http.Request) {
			remaining, _ := strconv.Atoi(request.Header.Get("Test-Left"))
			forwarded <- time.Duration(remaining) * time.Millisecond
			time.Sleep(pause)
			closeQuietly(conn)
		})
	}
	if _, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "2000"); err != nil {
		t.Fatal(err)
	}
	first, second := <-forwarded, <-forwarded
	if first <= 0 || first > 2*time.Second || second <= 0 || second > first-pause {
		t.Errorf("remaining time forwarded: got %s first and %s a pause of %s later, want at most 2s and that less the pause", first, second, pause)
	}
}

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

// timingTolerance is how much later than its bound an answer may come here.
const timingTolerance = 500 * time.Millisecond

// A request without a response by its route's time-out gets 504 then, however long its client would wait.
func TestRouteTimeout(t *testing.T) {
	bounded := route(routing.Unsafe, 1, false)
	bounded.Timeout = 150 * time.Millisecond
	f := newFleet(t, bounded)
	f.addRunner("silent", func(_ http.ResponseWriter, r *http.Request) {
		drainBody(r.Body)
		<-r.Context().Done()
	})
	begun := time.Now()
	answer, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "30000")
	if err != nil || answer.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, error %v, want status 504", answer, err)
	}
	if took := time.Since(begun); took < bounded.Timeout || took > bounded.Timeout+timingTolerance {
		t.Errorf("got a response after %s, want one after the route's time-out of %s", took, bounded.Timeout)
	}
}

// However many runners fail, a request is sent to no more of them than its route allows.
func TestMaxAttempts(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	f.addRunner("good", respondWith("text"))
	for range 8 { // earn retries
		if answer, _, err := f.send("1", "/a/x", "k1", ""); err != nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, want status 200", answer, err)
		}
	}
	f.runners = nil
	var sent atomic.Int64
	for _, id := range []string{"one", "two", "three", "four"} {
		f.addRawRunner(id, func(con net.Conn, _ *http.Request) {
			sent.Add(1)
			closeQuietly(con)
		})
	}
	answer, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != http.StatusBadGateway || sent.Load() != 2 {
		t.Errorf("sent to %d runners, got %v, error %v, want status 502 after 2 runners", sent.Load(), answer, err)
	}
}

// A runner is sent the time that is left, also on a further attempt.
func TestRemainingTimeIsForwarded(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	const pause = 120 * time.Millisecond
	handed := make(chan time.Duration, 2)
	for _, id := range []string{"one", "two"} {
		f.addRawRunner(id, func(con net.Conn, request *http.Request) {
			left, _ := strconv.Atoi(request.Header.Get("Test-Left"))
			handed <- time.Duration(left) * time.Millisecond
			time.Sleep(pause)
			closeQuietly(con)
		})
	}
	if _, _, err := f.send("1", "/a/x", "k1", "", "Test-Deadline", "2000"); err != nil {
		t.Fatal(err)
	}
	first, second := <-handed, <-handed
	if first <= 0 || first > 2*time.Second || second <= 0 || second > first-pause {
		t.Errorf("remaining time forwarded: got %s first and %s a pause of %s later, want at most 2s and that less the pause", first, second, pause)
	}
}

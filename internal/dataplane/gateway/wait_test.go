package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// A request waits for a router that has just started; it is rejected as not executed where that takes too long.
func TestRequestWaitsForConfiguration(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("one", respondWith("text"))
	var ready atomic.Bool
	f.gateway.NotReadyReason = func() string {
		if ready.Load() {
			return ""
		}
		return "no configuration yet"
	}
	begun := time.Now()
	answer, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, error %v, want 503 with Retry-After", answer, err)
	}
	if took := time.Since(begun); took < maxReadyWait {
		t.Errorf("rejected after %s, want at least %s", took, maxReadyWait)
	}
	time.AfterFunc(maxReadyWait/4, func() { ready.Store(true) })
	if answer, text, err := f.send("2", "/a/x", "k1", ""); err != nil || text != "text" {
		t.Fatalf("got %v %q, error %v, want the runner's response", answer, text, err)
	}
}

// A draining router keeps no request waiting for a configuration, and asks for each connection to be closed.
func TestDrainAsksToClose(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("one", respondWith("text"))
	f.gateway.Drain()
	if answer, text, err := f.send("1", "/a/x", "k1", ""); err != nil || text != "text" || !answer.Close {
		t.Errorf("got %v %q, error %v, want the runner's response and a closed connection", answer, text, err)
	}
	f.gateway.NotReadyReason = func() string { return "no configuration yet" }
	begun := time.Now()
	if answer, _, err := f.send("2", "/a/x", "k1", ""); err != nil || answer.StatusCode != http.StatusServiceUnavailable || time.Since(begun) > maxReadyWait/2 {
		t.Errorf("got %v, error %v after %s, want 503 at once", answer, err, time.Since(begun))
	}
}

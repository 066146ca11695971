package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// A request waits until a router that has just started is ready. After maxReadyWait it is rejected as not executed.
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
	start := time.Now()
	response, _, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, error %v, want 503 with Retry-After", response, err)
	}
	if took := time.Since(start); took < maxReadyWait {
		t.Errorf("rejected after %s, want at least %s", took, maxReadyWait)
	}
	time.AfterFunc(maxReadyWait/4, func() { ready.Store(true) })
	if response, text, err := f.send("2", "/a/x", "k1", ""); err != nil || text != "text" {
		t.Fatalf("got %v %q, error %v, want the runner's response", response, text, err)
	}
}

// A draining router asks clients to close their connections, and rejects requests without waiting for a configuration.
func TestDrainAsksToClose(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 1, false))
	f.addRunner("one", respondWith("text"))
	f.gateway.Drain()
	if response, text, err := f.send("1", "/a/x", "k1", ""); err != nil || text != "text" || !response.Close {
		t.Errorf("got %v %q, error %v, want the runner's response and a closed connection", response, text, err)
	}
	f.gateway.NotReadyReason = func() string { return "no configuration yet" }
	start := time.Now()
	if response, _, err := f.send("2", "/a/x", "k1", ""); err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(start) > maxReadyWait/2 {
		t.Errorf("got %v, error %v after %s, want 503 at once", response, err, time.Since(start))
	}
}

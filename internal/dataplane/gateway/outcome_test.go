package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"yarrowridge/internal/model/routing"
)

// rejectNotExecuted rejects a request and promises that it has not run.
func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Test-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// If one runner may have run a request and the next one rejects it, the request is not reported as not executed.
func TestLostThenRejectedByRunner(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	aborted := make(chan bool, 1)
	f.addRawRunner("cuts", func(conn net.Conn, _ *http.Request) {
		aborted <- true
		closeQuietly(conn)
	})
	f.addRunner("full", rejectNotExecuted)
	for i := range 20 {
		response, _, err := f.send(fmt.Sprint(i), "/a/x", "k1", "")
		if err != nil {
			t.Fatal(err)
		}
		select {
		case <-aborted:
			if response.StatusCode != http.StatusBadGateway {
				t.Fatalf("request that may have run: got status %d, want 502", response.StatusCode)
			}
			return
		default:
		}
	}
	t.Error("the runner that closes its connection got no request, want one")
}

// Guards against a status that says that a request may have run where it has not: if one runner promises not to have run it, and no
// other can be reached, the request has not run.
func TestRejectedThenUnreachable(t *testing.T) {
	f := newFleet(t, route(routing.Unsafe, 2, false))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addRunner("full", rejectNotExecuted)
	f.addRunnerAt("down", closed.Addr().String())
	closeQuietly(closed)
	for i := range 10 {
		response, _, err := f.send(fmt.Sprint(i), "/a/x", "k1", "")
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Fatalf("request %d: got %v, error %v, want status 503 with Retry-After", i, response, err)
		}
	}
}

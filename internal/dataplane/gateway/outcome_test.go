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

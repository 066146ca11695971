package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"yarrowridge/internal/model/routing"
)

// rejectNotExecuted answers that it has no room.
func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Test-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A request that one runner may have run is not reported as not executed since the next one rejected it.
func TestLostThenRejectedByRunner(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 2, false))
	cut := make(chan bool, 1)
	f.addRawRunner("cuts", func(con net.Conn, _ *http.Request) {
		cut <- true
		closeQuietly(con)
	})
	f.addRunner("full", rejectNotExecuted)
	for i := range 20 {
		answer, _, err := f.send(fmt.Sprint(i), "/a/x", "k1", "")
		if err != nil {
			t.Fatal(err)
		}
		select {
		case <-cut:
			if answer.StatusCode != http.StatusBadGateway {
				t.Fatalf("request that may have run: got status %d, want 502", answer.StatusCode)
			}
			return
		default:
		}
	}
	t.Error("the runner that breaks off got no request, want one")
}

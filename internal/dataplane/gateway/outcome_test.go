package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"yarrowridge/internal/model/routing"
)

// turnsAway answers that it has no room.
func rejectNotExecuted(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Test-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A request that one runner may have run is not called unrun since the next one turned it away.
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
				t.Fatalf("status %d for a request that may have run", answer.StatusCode)
			}
			return
		default:
		}
	}
	t.Error("the runner that cuts was never asked")
}

package gateway

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"yarrowridge/internal/model/routing"
)

// A response that breaks off is logged with the client's ID, the cause and the runner.
func TestInterruptionIsLogged(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 1, true))
	var log bytes.Buffer
	f.gateway.Log = slog.New(slog.NewTextHandler(&log, nil))
	var lastEventIDs []string
	serve := streamUpTo(3, 9, &lastEventIDs)
	f.addRawRunner("cuts", func(conn net.Conn, r *http.Request) { serve(conn, r) })
	if _, text, err := f.send("id-7", "/a/x", "k1", ""); err == nil {
		t.Fatalf("got the complete response %q, want a truncated one", text)
	}
	f.server.Close() // waits for the handler
	for _, want := range []string{"request_id=id-7", "cause=runner-broke-off", "peer=cuts", "attempts=1", "draining=0s"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got log %q, want it to contain %s", log.String(), want)
		}
	}
}

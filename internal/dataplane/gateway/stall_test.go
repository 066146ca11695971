package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// longStall is more than the stall time-out of a runner with a short prompt, also before any history of its service.
const longStall = 1500 * time.Millisecond

// A stream whose first runner broke off has one attempt left. However long its second runner stalls, before the first event
// or between two, the attempt is not ended: no other could follow.
func TestLastAttemptHasNoStallTimeout(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 2, true))
	var sent atomic.Int64
	f.addRawRunner("breaks", func(con net.Conn, _ *http.Request) {
		sent.Add(1)
		closeQuietly(con)
	})
	slow := func(con net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			closeQuietly(con) // whichever comes first breaks off
			return
		}
		time.Sleep(longStall)
		writeText(con, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id")))
		for i := 1; i <= 2; i++ {
			text := events(i, i)
			writeText(con, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
			time.Sleep(longStall)
		}
		writeText(con, "0\r\n\r\n")
	}
	f.addRawRunner("slow", slow)
	f.addRawRunner("slow too", slow)
	answer, text, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != http.StatusOK || strings.Count(text, "id:") != 2 {
		t.Fatalf("got %v %q, error %v after %d attempts, want 200 with two events", answer, text, err, sent.Load())
	}
}

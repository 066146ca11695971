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

// longStall exceeds the stall time-out of a runner with a short prompt, even if no gaps of its service have been measured yet.
const longStall = 1500 * time.Millisecond

// The last attempt of a stream is not ended for a stall, because no other could follow. Here the first runner closes the
// connection, and the second one stalls before the first event and between events.
func TestLastAttemptHasNoStallTimeout(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 2, true))
	var sent atomic.Int64
	f.addRawRunner("breaks", func(conn net.Conn, _ *http.Request) {
		sent.Add(1)
		closeQuietly(conn)
	})
	slow := func(conn net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			closeQuietly(conn) // the runner of the first attempt closes the connection
			return
		}
		time.Sleep(longStall)
		writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id")))
		for i := 1; i <= 2; i++ {
			text := events(i, i)
			writeText(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
			time.Sleep(longStall)
		}
		writeText(conn, "0\r\n\r\n")
	}
	f.addRawRunner("slow", slow)
	f.addRawRunner("slow too", slow)
	response, text, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != http.StatusOK || strings.Count(text, "id:") != 2 {
		t.Fatalf("got %v %q, error %v after %d attempts, want 200 with two events", response, text, err, sent.Load())
	}
}

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// longSilence is more than a runner with a short prompt is usually given.
const longSilence = 1200 * time.Millisecond

// A stream whose first runner broke off has one attempt left. However long its second runner says nothing, before the first
// event or between two, it is not ended: there is nothing else that could be done for it.
func TestSilenceOfTheLastRunner(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 2, true))
	var sent atomic.Int64
	f.raw("breaks", func(con net.Conn, r *http.Request) {
		sent.Add(1)
		con.Close()
	})
	slow := func(con net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			con.Close() // whichever comes first breaks off
			return
		}
		time.Sleep(longSilence)
		fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
		for i := 1; i <= 2; i++ {
			text := events(i, i)
			fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
			time.Sleep(longSilence)
		}
		io.WriteString(con, "0\r\n\r\n")
	}
	f.raw("slow", slow)
	f.raw("slow too", slow)
	answer, text, err := f.send("1", "/a/x", "k1", "")
	if err != nil || answer.StatusCode != http.StatusOK || strings.Count(text, "id:") != 2 {
		t.Fatalf("%v %q after %d sends: %v", answer, text, sent.Load(), err)
	}
}

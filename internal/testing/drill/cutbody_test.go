package drill

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// If a router dies in the middle of a body, the stand-in runner receives its beginning. That does not count as a changed
// request. A body with a different byte does, truncated or not, and so does a shorter body that appears complete.
func TestTruncatedRequestBody(t *testing.T) {
	log := &RequestLog{}
	server := httptest.NewServer(&Standin{Name: "one", RequestLog: log, Plain: true})
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: x\r\nX-Drill-N: 7\r\nContent-Length: 10\r\n\r\nhello"); err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); len(log.All()) == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	received := log.All()
	if len(received) != 1 || !received[0].Truncated {
		t.Fatalf("the runner received %+v, want one truncated request", received)
	}
	for _, c := range []struct {
		cut       bool
		body      string
		unchanged bool
	}{{true, "hello", true}, {true, "hellx", false}, {false, "hello", false}, {false, "helloworld", true}} {
		request := RunnerRequest{Runner: "one", Path: "/a", Header: received[0].Header, Body: []byte(c.body), Truncated: c.cut}
		var reports []string
		evidence := Evidence{RunnerRequests: []RunnerRequest{request}, Outcomes: []Outcome{{Number: 7, Path: "/a", Body: []byte("helloworld")}}}
		evidence.checkRunnerRequests(func(promise, _ string, _ ...any) { reports = append(reports, promise) }, nil)
		if changed := strings.Contains(strings.Join(reports, " "), "fidelity"); changed == c.unchanged {
			t.Errorf("%+v: got breaches %v", c, reports)
		}
	}
}

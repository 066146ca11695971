package drill

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A router dies in the middle of a body: the stand-in runner has its beginning, which is no changed request. A body of which
// a byte differs is one, broken off or not, and so is one that ends early and looks whole.
func TestBodyOfADeadSender(t *testing.T) {
	log := &RequestLog{}
	server := httptest.NewServer(&Standin{Name: "one", RequestLog: log, Plain: true})
	defer server.Close()
	con, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(con, "POST /a HTTP/1.1\r\nHost: x\r\nX-Drill-N: 7\r\nContent-Length: 10\r\n\r\nhello"); err != nil {
		t.Fatal(err)
	}
	if err := con.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); len(log.All()) == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	seen := log.All()
	if len(seen) != 1 || !seen[0].Cut {
		t.Fatalf("the runner saw %+v", seen)
	}
	for _, c := range []struct {
		cut       bool
		body      string
		unchanged bool
	}{{true, "hello", true}, {true, "hellx", false}, {false, "hello", false}, {false, "helloworld", true}} {
		one := Seen{Runner: "one", Path: "/a", Header: seen[0].Header, Body: []byte(c.body), Cut: c.cut}
		var reports []string
		evidence := Evidence{Seen: []Seen{one}, Outcomes: []Outcome{{Number: 7, Path: "/a", Body: []byte("helloworld")}}}
		evidence.checkSeen(func(promise, _ string, _ ...any) { reports = append(reports, promise) }, nil)
		if changed := strings.Contains(strings.Join(reports, " "), "fidelity"); changed == c.unchanged {
			t.Errorf("%+v: %v", c, reports)
		}
	}
}

package drill

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// dribble opens a connection, sends headers that promise a body, and nothing of the body.
func dribble(t *testing.T, at, key string) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	if _, err := fmt.Fprintf(con, "POST /v1/checks HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 900\r\n\r\n", key); err != nil {
		t.Fatal(err)
	}
	return con
}

// Strangers that send slowly take no place from a known tenant and hold up no planned stop; a known
// tenant's body has its time and no more.
func TestSlowSenders(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	mix.Config["limits"] = object{"open": 4, "body_ms": 1000}
	f := up(t, mix)
	l := NewLoad(f, 1, 1)
	r := f.Routers[0]
	var strange []net.Conn
	for range 40 {
		strange = append(strange, dribble(t, r.Client, "nobody"))
	}
	k := mix.Kinds[0]
	for n := range uint64(8) {
		if o := l.Ask(k, n+1, k.body(mix.Model, n+1, newRand(n)), "yard-a", r); o.Status != 200 {
			t.Errorf("beside forty slow strangers a known tenant was answered %d %s", o.Status, o.Code)
		}
	}
	for i, con := range strange {
		if err := con.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil || response.StatusCode != 401 {
			t.Fatalf("stranger %d: %v %v", i, response, err)
		}
	}
	slow := dribble(t, r.Client, Key("yard-a"))
	if err := slow.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatalf("a known tenant that sends slowly: %v", err)
	}
	raw, _ := io.ReadAll(response.Body)
	if response.StatusCode != 408 || !strings.Contains(string(raw), `"not run"`) {
		t.Errorf("a known tenant that sends slowly was answered %d %s", response.StatusCode, raw)
	}
	// An client that stops reading in the middle of a stream that no socket's buffers hold.
	body := fmt.Sprintf(`{"model":%q,"prompt":"a","max_tokens":400,"stream":true,"pad":16384}`, mix.Model)
	deaf, err := net.Dial("tcp", r.Client)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = deaf.Close() }()
	if err := deaf.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(deaf, "POST /v1/writeups HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", Key("yard-a"), len(body), body); err != nil {
		t.Fatal(err)
	}
	head, err := http.ReadResponse(bufio.NewReaderSize(deaf, 512), nil)
	if err != nil || head.StatusCode != 200 {
		t.Fatal(head, err)
	}
	if got, why := l.rest(t, f.Routers[2], "yard-a", head.Header.Get("X-Yarrowridge-Query"), 0); why != "done" || len(got) != 400 || !follows(got, 0) {
		t.Errorf("beside an origin that does not read, the stream resumed elsewhere has %d pieces and ended %q", len(got), why)
	}
	// A fresh flood while the router is told to stop.
	for range 40 {
		dribble(t, r.Client, "nobody")
	}
	at := time.Now()
	r.Signal(syscall.SIGTERM)
	if !r.Wait(20 * time.Second) {
		t.Error("slow strangers hold up a planned stop")
	}
	t.Logf("stopped after %s", time.Since(at).Round(10*time.Millisecond))
}

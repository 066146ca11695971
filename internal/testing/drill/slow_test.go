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

// sendHeadersOnly opens a connection, sends headers that promise a body, and nothing of the body.
func sendHeadersOnly(t *testing.T, addr, key string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "POST /v1/checks HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 900\r\n\r\n", key); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Strangers that send slowly take no place from a known tenant and hold up no planned stop; a known
// tenant's body has its time and no more.
func TestSlowSenders(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	mix.Config["limits"] = object{"open": 4, "body_ms": 1000}
	f := startTestFleet(t, mix)
	l := NewLoad(f, 1, 1)
	r := f.Routers[0]
	var unauthenticated []net.Conn
	for range 40 {
		unauthenticated = append(unauthenticated, sendHeadersOnly(t, r.ClientAddr, "nobody"))
	}
	k := mix.Kinds[0]
	for n := range uint64(8) {
		if o := l.Send(k, n+1, k.body(mix.Model, n+1, requestRand(n)), "yard-a", r); o.Status != 200 {
			t.Errorf("beside forty slow strangers a known tenant was answered %d %s", o.Status, o.Code)
		}
	}
	for i, conn := range unauthenticated {
		if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != 401 {
			t.Fatalf("stranger %d: %v %v", i, response, err)
		}
	}
	slow := sendHeadersOnly(t, r.ClientAddr, TenantKey("yard-a"))
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
	stalled, err := net.Dial("tcp", r.ClientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	if err := stalled.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(stalled, "POST /v1/writeups HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", TenantKey("yard-a"), len(body), body); err != nil {
		t.Fatal(err)
	}
	head, err := http.ReadResponse(bufio.NewReaderSize(stalled, 512), nil)
	if err != nil || head.StatusCode != 200 {
		t.Fatal(head, err)
	}
	if got, end := l.resumeStream(t, f.Routers[2], "yard-a", head.Header.Get("X-Yarrowridge-Query"), 0); end != "done" || len(got) != 400 || !isSequence(got, 0) {
		t.Errorf("beside an origin that does not read, the stream resumed elsewhere has %d pieces and ended %q", len(got), end)
	}
	// A fresh flood while the router is told to stop.
	for range 40 {
		sendHeadersOnly(t, r.ClientAddr, "nobody")
	}
	at := time.Now()
	r.Signal(syscall.SIGTERM)
	if !r.Wait(20 * time.Second) {
		t.Error("slow strangers hold up a planned stop")
	}
	t.Logf("stopped after %s", time.Since(at).Round(10*time.Millisecond))
}

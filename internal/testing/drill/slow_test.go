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

// sendHeadersOnly opens a connection and sends headers that announce a body, but no body.
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

// Clients without a valid key that send slowly neither use up the open requests of an authenticated tenant nor delay a
// planned stop. The body of an authenticated tenant times out after body_ms.
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
			t.Errorf("with 40 slow unauthenticated clients a tenant got status %d, code %q", o.Status, o.Code)
		}
	}
	for i, conn := range unauthenticated {
		if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != 401 {
			t.Fatalf("unauthenticated client %d: got %v, %v; want status 401", i, response, err)
		}
	}
	slow := sendHeadersOnly(t, r.ClientAddr, TenantKey("yard-a"))
	if err := slow.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatalf("reading the answer to a tenant that sends slowly: %v", err)
	}
	raw, _ := io.ReadAll(response.Body)
	if response.StatusCode != 408 || !strings.Contains(string(raw), `"not run"`) {
		t.Errorf("a tenant that sends slowly got status %d, body %s; want 408 and not run", response.StatusCode, raw)
	}
	// A client that stops reading in the middle of a stream that exceeds the socket buffers.
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
		t.Errorf("with a client that does not read, the stream resumed at another router has %d chunks and ended with %q", len(got), end)
	}
	// More slow clients are connected when the router is stopped.
	for range 40 {
		sendHeadersOnly(t, r.ClientAddr, "nobody")
	}
	stoppedAt := time.Now()
	r.Signal(syscall.SIGTERM)
	if !r.Wait(20 * time.Second) {
		t.Error("slow unauthenticated clients delay a planned stop")
	}
	t.Logf("stopped after %s", time.Since(stoppedAt).Round(10*time.Millisecond))
}

package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// Guards against requests that are taken after the listener has closed and cut at the end of the grace period: a connection on
// which a client has sent nothing yet is closed by Drain, like one that is idle after a request.
func TestDrainClosesUnusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
	server := NewServer(listener, handler, routing.Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	go func() { _ = server.Run() }()
	unused, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(unused)
	used, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(used)
	const request = "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n"
	writeText(used, request)
	if _, err := http.ReadResponse(bufio.NewReader(used), nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(ctx) }()
	time.Sleep(100 * time.Millisecond)
	for name, conn := range map[string]net.Conn{"unused": unused, "used": used} {
		writeText(conn, request)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			t.Errorf("a request on the %s connection during the drain was answered with %d, want the connection closed", name, response.StatusCode)
		}
	}
	if err := <-drained; err != nil || served.Load() != 1 {
		t.Errorf("drained with error %v after %d requests, want none after 1", err, served.Load())
	}
}

// Guards against requests that end without an answer when their router's grace period does: a request whose response has not begun is
// answered, with a status that tells whether it may have run, and a stream that has begun breaks off.
func TestEndOfShutdownAnswersRequests(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 1, true))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, f.gateway, routing.Limits{HeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	go func() { _ = server.Run() }()
	f.url = "http://" + listener.Addr().String()
	arrived := make(chan bool, 2)
	f.addRawRunner("silent", func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Test-Id") == "streaming" {
			writeStreamHead(conn, r)
			writeEvents(conn, 1, 2)
		}
		arrived <- true
		drainBody(conn)
	})
	type result struct {
		status int
		text   string
		err    error
	}
	send := func(id string) chan result {
		results := make(chan result, 1)
		go func() {
			response, text, err := f.send(id, "/a/x", "k1", "")
			if response == nil {
				response = &http.Response{}
			}
			results <- result{response.StatusCode, text, err}
		}()
		<-arrived
		return results
	}
	waiting, streaming := send("waiting"), send("streaming")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := server.Drain(ctx); err == nil {
		t.Fatal("drained although two requests are in flight")
	}
	ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := server.EndRequests(ctx); err != nil {
		t.Errorf("requests did not end: %v", err)
	}
	if got := <-waiting; got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("request without a response: got %+v, want status 502", got)
	}
	if got := <-streaming; got.err == nil || got.status != http.StatusOK || got.text != events(1, 2) {
		t.Errorf("stream: got %+v, want two events and a closed connection", got)
	}
}

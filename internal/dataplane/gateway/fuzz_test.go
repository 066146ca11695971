package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/dataplane/balance"
	"yarrowridge/internal/dataplane/upstream"
	"yarrowridge/internal/model/routing"
)

// gatewayWithRunner is a gateway with one runner, which answers every request with these bytes and closes.
func gatewayWithRunner(t *testing.T, answer []byte) *Gateway {
	balancer := balance.New("north")
	balancer.Update([]routing.Runner{{ID: "one", Service: "desk", Address: "10.0.0.1:1", Zone: "north", State: routing.RunnerReady}})
	pool := upstream.New(upstream.Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer closeQuietly(far)
			if request, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				drainBody(request.Body)
				writeText(far, string(answer))
			}
		}()
		return near, nil
	}})
	t.Cleanup(pool.Close)
	table, flaws := routing.Build(routing.Spec{Revision: 1, Services: []routing.Service{{Name: "desk"}},
		Routes: []routing.RouteSpec{route(routing.Unsafe, 1, false)}})
	if len(flaws) > 0 {
		t.Fatal(flaws)
	}
	return New(Options{Dialect: testDialect{}, Table: func() *routing.Table { return table }, NotReadyReason: func() string { return "" }, Balancer: balancer,
		Pool: pool, Quotas: &fakeQuotas{}, LocalShare: func(n int) int { return n }, Log: slog.New(slog.DiscardHandler)})
}

// sealedResponse tells, by another reader of HTTP, which body a runner's bytes hold as a complete sealed success
// for the request with this id. known is false where they hold none.
func sealedResponse(raw []byte, id string) (body string, known bool) {
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return "", false
		}
		text, err := readBody(answer, reader)
		if answer.StatusCode/100 == 1 {
			continue
		}
		other := answer.Header.Get("Test-Id")
		if other != "" && other != id && err == nil {
			continue // a late response to an earlier request
		}
		return string(text), err == nil && answer.StatusCode/100 == 2 && answer.Header.Get("Test-Seal") != ""
	}
}

// readBody reads a body to its framed end. A body in chunks ends with the last one, whatever trailer follows.
func readBody(answer *http.Response, reader *bufio.Reader) ([]byte, error) {
	if len(answer.TransferEncoding) == 0 {
		return io.ReadAll(answer.Body)
	}
	body, err := io.ReadAll(httputil.NewChunkedReader(reader))
	for err == nil {
		line, failure := reader.ReadString('\n')
		if failure != nil || strings.TrimRight(line, "\r\n") == "" {
			break
		}
	}
	return body, err
}

// Whatever bytes a runner responds with, a client gets a success only where they hold the runner's complete sealed
// response to its request, and then with the body unchanged.
func FuzzRunnerResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: 2\r\nTest-Seal: s\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 500 No\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Seal: s\r\n\r\nunframed",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		gateway := gatewayWithRunner(t, raw)
		request := httptest.NewRequest(http.MethodPost, "/a/x", strings.NewReader("asked"))
		request.Host = testHost
		request.Header.Set("Test-Id", "1")
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		got := httptest.NewRecorder()
		if !servedComplete(gateway, got, request.WithContext(ctx)) || got.Code/100 != 2 {
			return
		}
		body, known := sealedResponse(raw, "1")
		if !known || body != got.Body.String() {
			t.Fatalf("got %d with %q, want the runner's %q (sealed and complete: %v)", got.Code, got.Body, body, known)
		}
	})
}

// servedComplete reports whether the answer was not cut off.
func servedComplete(gateway *Gateway, w http.ResponseWriter, request *http.Request) (complete bool) {
	defer func() {
		if failure := recover(); failure != nil && failure != http.ErrAbortHandler {
			panic(failure)
		}
	}()
	gateway.ServeHTTP(w, request)
	return true
}

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

// gatewayWithRunner returns a gateway with one runner, which answers each request with the given bytes and closes the connection.
func gatewayWithRunner(t *testing.T, response []byte) *Gateway {
	balancer := balance.New("north")
	balancer.Update([]routing.Runner{{ID: "one", Service: "desk", Address: "10.0.0.1:1", Zone: "north", State: routing.RunnerReady}})
	pool := upstream.New(upstream.Options{Dial: func(context.Context, string) (net.Conn, error) {
		gatewaySide, runnerSide := net.Pipe()
		go func() {
			defer closeQuietly(runnerSide)
			if request, err := http.ReadRequest(bufio.NewReader(runnerSide)); err == nil {
				drainBody(request.Body)
				writeText(runnerSide, string(response))
			}
		}()
		return gatewaySide, nil
	}})
	t.Cleanup(pool.Close)
	table, fieldErrors := routing.Build(routing.Spec{Revision: 1, Services: []routing.Service{{Name: "desk"}},
		Routes: []routing.RouteSpec{route(routing.Unsafe, 1, false)}})
	if len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	return New(Options{Dialect: testDialect{}, Table: func() *routing.Table { return table }, NotReadyReason: func() string { return "" }, Balancer: balancer,
		Pool: pool, Quotas: &fakeQuotas{}, LocalShare: func(n int) int { return n }, Log: slog.New(slog.DiscardHandler)})
}

// sealedResponse parses a runner's bytes with net/http, independently of package upstream. If they contain a complete sealed
// success for the request with this ID, it returns its body and true.
func sealedResponse(raw []byte, id string) (body string, complete bool) {
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return "", false
		}
		text, err := readBody(response, reader)
		if response.StatusCode/100 == 1 {
			continue
		}
		other := response.Header.Get("Test-Id")
		if other != "" && other != id && err == nil {
			continue // a late response to an earlier request
		}
		return string(text), err == nil && response.StatusCode/100 == 2 && response.Header.Get("Test-Seal") != ""
	}
}

// readBody reads a body to the end of its framing. A chunked body ends with its last chunk; the trailer is skipped.
func readBody(response *http.Response, reader *bufio.Reader) ([]byte, error) {
	if len(response.TransferEncoding) == 0 {
		return io.ReadAll(response.Body)
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

// For any bytes that a runner sends, the client receives a success only if they contain the runner's complete sealed response
// to its request, and then the body is unchanged.
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
		body, complete := sealedResponse(raw, "1")
		if !complete || body != got.Body.String() {
			t.Fatalf("got %d with %q, want the runner's %q (sealed and complete: %v)", got.Code, got.Body, body, complete)
		}
	})
}

// servedComplete serves a request and reports whether the gateway completed the response rather than aborting the connection.
func servedComplete(gateway *Gateway, w http.ResponseWriter, request *http.Request) (complete bool) {
	defer func() {
		if failure := recover(); failure != nil && failure != http.ErrAbortHandler {
			panic(failure)
		}
	}()
	gateway.ServeHTTP(w, request)
	return true
}

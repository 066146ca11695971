package runner

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// rawRunner is a runner on a plain TCP listener. It records the bytes of each request that it receives.
type rawRunner struct {
	listener net.Listener
	received chan string
}

// startRawRunner starts a runner that sends respond(n) as the response to its n-th request, counted from 1 over all
// connections. "" closes the connection without a response.
func startRawRunner(t *testing.T, respond func(n int) string) *rawRunner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawRunner{listener, make(chan string, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	n := 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for {
				var raw bytes.Buffer
				request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(reader, &raw)))
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, request.Body)
				r.received <- raw.String()
				n++
				response := respond(n)
				if response == "" {
					break
				}
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return r
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A runner that closes a reused connection on the second request receives that request only once. By default, net/http
// would resend a GET request, and any request with an Idempotency-Key.
func TestRequestIsNeverResent(t *testing.T) {
	for _, c := range []Request{
		{Method: "GET", Path: "/v1/status/1", Header: http.Header{}},
		{Method: "POST", Path: "/v1/notes", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{"a":1}`)},
		{Method: "POST", Path: "/v1/notes", Header: http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(fmt.Sprintf("%s-%d", c.Method, len(c.Body)), func(t *testing.T) {
			r := startRawRunner(t, func(n int) string {
				if n == 1 {
					return okResponse
				}
				return ""
			})
			s := NewSender(nil)
			response, sent, err := s.Send(t.Context(), r.listener.Addr().String(), c)
			if err != nil || !sent {
				t.Fatalf("first request: got sent %t, error %v, want it sent", sent, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if _, sent, err := s.Send(t.Context(), r.listener.Addr().String(), c); err == nil || !sent {
				t.Errorf("second request: got sent %t, error %v, want it sent and an error", sent, err)
			}
			s.Close()
			if n := len(r.received); n != 2 {
				t.Errorf("got %d requests at the runner, want 2", n)
			}
		})
	}
}

// The runner receives the client's body byte for byte, the forwarded headers, the router's own two headers, and of those
// that net/http adds only Host and Content-Length.
func TestBytesOnTheWire(t *testing.T) {
	r := startRawRunner(t, func(int) string { return okResponse })
	s := NewSender(nil)
	body := []byte("{ \"model\" : \"m\",\t\"max_tokens\":1e0 }\n")
	header := http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer secret"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"},
		"X-Yarrowridge-Tenant": {"liar"}, "X_yarrowridge_tenant": {"liar"}, "X-Tenant": {"liar"}, "Te": {"trailers"}, "X-Own": {"a", "b"}, "Expect": {"100-continue"}}
	response, _, err := s.Send(t.Context(), r.listener.Addr().String(), Request{Method: "POST", Path: "/v1/a%2Fb?x=1;y=%20", Header: header, Body: body, Tenant: "desk", ID: "q1"})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	got := <-r.received
	want := "POST /v1/a%2Fb?x=1;y=%20 HTTP/1.1\r\nHost: " + r.listener.Addr().String() + "\r\n" +
		fmt.Sprintf("Content-Length: %d\r\nContent-Type: application/json\r\nX-Own: a\r\nX-Own: b\r\nX-Yarrowridge-Query: q1\r\nX-Yarrowridge-Tenant: desk\r\n\r\n", len(body)) + string(body)
	if got != want {
		t.Errorf("got at the runner\n%q\nwant\n%q", got, want)
	}
}

// The sender does not follow redirects, does not decompress responses, and does not use the proxy of the environment.
func TestResponseIsUnmodified(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	t.Setenv("http_proxy", "http://127.0.0.1:1")
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write([]byte("hello"))
	_ = writer.Close()
	r := startRawRunner(t, func(n int) string {
		if n == 1 {
			return "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", compressed.Len(), compressed.String())
	})
	s := NewSender(nil)
	send := func() *http.Response {
		response, _, err := s.Send(t.Context(), r.listener.Addr().String(), Request{Method: "GET", Path: "/", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	if response := send(); response.StatusCode != 302 {
		t.Errorf("got status %d, want 302", response.StatusCode)
	}
	response := send()
	if got, _ := io.ReadAll(response.Body); !bytes.Equal(got, compressed.Bytes()) {
		t.Error("got a modified body of a compressed response, want it unmodified")
	}
	if first := <-r.received; strings.Contains(first, "Accept-Encoding") || strings.Contains(first, "User-Agent") {
		t.Errorf("got request %q, want it without added headers", first)
	}
}

// Send reports whether any byte of a failed request may have been sent: if not, the caller may send it again.
func TestSendReportsWhetherSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	s := NewSender(nil)
	if _, sent, err := s.Send(t.Context(), addr, Request{Method: "GET", Path: "/", Header: http.Header{}}); err == nil || sent {
		t.Errorf("no listener: got sent %t, error %v, want it not sent and an error", sent, err)
	}
	r := startRawRunner(t, func(int) string { return "" })
	if _, sent, err := s.Send(context.Background(), r.listener.Addr().String(), Request{Method: "POST", Path: "/", Header: http.Header{}, Body: []byte("x")}); err == nil || !sent {
		t.Errorf("connection closed on the request: got sent %t, error %v, want it sent and an error", sent, err)
	}
}

// Cancelling a request resets its connection, so that the request is not delivered after a network partition heals.
func TestCancelledRequestResetsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			ended <- err
			return
		}
		cancel()
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	if _, _, err := NewSender(nil).Send(ctx, listener.Addr().String(), Request{Method: "GET", Path: "/", Header: http.Header{}}); err == nil {
		t.Fatal("got a response to a cancelled request")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reading at the runner: got error %v, want %v", err, syscall.ECONNRESET)
	}
}

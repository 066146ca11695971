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

// raw is a runner of bare sockets: it keeps the bytes of each request it reads.
type raw struct {
	l    net.Listener
	seen chan string
}

// listen answers the n-th request with what say gives; "" closes the connection without a word.
func listen(t *testing.T, say func(n int) string) *raw {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &raw{l, make(chan string, 64)}
	t.Cleanup(func() { _ = l.Close() })
	n := 0
	go func() {
		for {
			con, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(con)
			for {
				var b bytes.Buffer
				req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(in, &b)))
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, req.Body)
				r.seen <- b.String()
				n++
				ans := say(n)
				if ans == "" {
					break
				}
				_, _ = io.WriteString(con, ans)
			}
			_ = con.Close()
		}
	}()
	return r
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A runner that closes a kept-alive connection upon our second request sees that request once only:
// net/http would resend a GET, and whatever bears an Idempotency-Key, by itself.
func TestNeverResent(t *testing.T) {
	for _, c := range []Request{
		{Method: "GET", Path: "/v1/status/1", Header: http.Header{}},
		{Method: "POST", Path: "/v1/notes", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{"a":1}`)},
		{Method: "POST", Path: "/v1/notes", Header: http.Header{"Idempotency-Key": {"k"}}},
	} {
		t.Run(fmt.Sprintf("%s-%d", c.Method, len(c.Body)), func(t *testing.T) {
			r := listen(t, func(n int) string {
				if n == 1 {
					return ok
				}
				return ""
			})
			s := NewSender(nil)
			ans, left, err := s.Send(t.Context(), r.l.Addr().String(), c)
			if err != nil || !left {
				t.Fatalf("first: %v", err)
			}
			_, _ = io.Copy(io.Discard, ans.Body)
			_ = ans.Body.Close()
			if _, left, err := s.Send(t.Context(), r.l.Addr().String(), c); err == nil || !left {
				t.Errorf("second: left %v, error %v; a break after leaving expected", left, err)
			}
			s.Close()
			if n := len(r.seen); n != 2 {
				t.Errorf("the runner saw %d queries, 2 expected", n)
			}
		})
	}
}

// The bytes that leave: the body as it came, our two headers, and nothing we can't name.
func TestBytesOnTheWire(t *testing.T) {
	r := listen(t, func(int) string { return ok })
	s := NewSender(nil)
	body := []byte("{ \"model\" : \"m\",\t\"max_tokens\":1e0 }\n")
	head := http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer secret"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"},
		"X-Yarrowridge-Tenant": {"liar"}, "X_yarrowridge_tenant": {"liar"}, "X-Tenant": {"liar"}, "Te": {"trailers"}, "X-Own": {"a", "b"}, "Expect": {"100-continue"}}
	ans, _, err := s.Send(t.Context(), r.l.Addr().String(), Request{Method: "POST", Path: "/v1/a%2Fb?x=1;y=%20", Header: head, Body: body, Tenant: "desk", ID: "q1"})
	if err != nil {
		t.Fatal(err)
	}
	_ = ans.Body.Close()
	got := <-r.seen
	want := "POST /v1/a%2Fb?x=1;y=%20 HTTP/1.1\r\nHost: " + r.l.Addr().String() + "\r\n" +
		fmt.Sprintf("Content-Length: %d\r\nContent-Type: application/json\r\nX-Own: a\r\nX-Own: b\r\nX-Yarrowridge-Query: q1\r\nX-Yarrowridge-Tenant: desk\r\n\r\n", len(body)) + string(body)
	if got != want {
		t.Errorf("the runner read\n%q\nexpected\n%q", got, want)
	}
}

// Redirects are not followed, zipped answers not unzipped, the environment's proxy not asked.
func TestAnswersAsTheyAre(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	t.Setenv("http_proxy", "http://127.0.0.1:1")
	var zip bytes.Buffer
	z := gzip.NewWriter(&zip)
	_, _ = z.Write([]byte("hello"))
	_ = z.Close()
	r := listen(t, func(n int) string {
		if n == 1 {
			return "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", zip.Len(), zip.String())
	})
	s := NewSender(nil)
	send := func() *http.Response {
		ans, _, err := s.Send(t.Context(), r.l.Addr().String(), Request{Method: "GET", Path: "/", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		return ans
	}
	if ans := send(); ans.StatusCode != 302 {
		t.Errorf("status %d, 302 expected", ans.StatusCode)
	}
	ans := send()
	if got, _ := io.ReadAll(ans.Body); !bytes.Equal(got, zip.Bytes()) {
		t.Error("a zipped answer was changed")
	}
	if first := <-r.seen; strings.Contains(first, "Accept-Encoding") || strings.Contains(first, "User-Agent") {
		t.Errorf("a header was added: %q", first)
	}
}

// Only a request of which no byte has left may be sent again.
func TestLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s := NewSender(nil)
	if _, left, err := s.Send(t.Context(), addr, Request{Method: "GET", Path: "/", Header: http.Header{}}); err == nil || left {
		t.Errorf("nobody listens: left %v, error %v", left, err)
	}
	r := listen(t, func(int) string { return "" })
	if _, left, err := s.Send(context.Background(), r.l.Addr().String(), Request{Method: "POST", Path: "/", Header: http.Header{}, Body: []byte("x")}); err == nil || !left {
		t.Errorf("closed upon the query: left %v, error %v", left, err)
	}
}

// A request that is given up aborts its connection, so that nothing of it is delivered after a network partition.
func TestGivenUpRequestAbortsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
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
	if _, _, err := NewSender(nil).Send(ctx, l.Addr().String(), Request{Method: "GET", Path: "/", Header: http.Header{}}); err == nil {
		t.Fatal("got a response to a cancelled request")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v at the runner, want %v", err, syscall.ECONNRESET)
	}
}

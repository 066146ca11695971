package web

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/zeromicro/go-zero/rest"
)

// probe is a handler that records the request bodies it receives and checks that requests have no deadline.
type probe struct {
	t      *testing.T
	bodies chan []byte // the first body that the test has not read yet; others are dropped
}

func (p *probe) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, ok := r.Context().Deadline(); ok {
		p.t.Error("got a request with a deadline, want none")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		p.t.Errorf("read the body: %v", err)
	}
	select {
	case p.bodies <- body:
	default:
	}
	switch r.URL.Path {
	case "/body", "/other/body":
		w.WriteHeader(http.StatusOK)
	case "/abort", "/other/abort":
		if _, err := w.Write([]byte("half")); err != nil {
			p.t.Errorf("write: %v", err)
		}
		p.flush(w)
		panic(http.ErrAbortHandler)
	case "/flush", "/other/flush":
		p.flush(w)
		<-r.Context().Done() // the client reads the header while the handler is still running
	case "/unavailable", "/other/unavailable":
		w.WriteHeader(http.StatusServiceUnavailable)
		if _, err := w.Write([]byte("by the handler")); err != nil {
			p.t.Errorf("write: %v", err)
		}
	}
}

func (p *probe) flush(w http.ResponseWriter) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		p.t.Errorf("flush: %v", err)
	}
}

// serveProbe serves a probe as the handler of the routes and, under "/other", as the fallback handler, and returns the URL.
func serveProbe(t *testing.T) (url string, p *probe) {
	t.Helper()
	p = &probe{t, make(chan []byte, 1)}
	var routes []rest.Route
	for _, path := range []string{"/body", "/abort", "/flush", "/unavailable"} {
		routes = append(routes, rest.Route{Method: http.MethodPost, Path: path, Handler: p.ServeHTTP})
	}
	handler, err := Handler(routes, p)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL, p
}

// post sends a body. It neither follows redirects nor decodes the response.
func post(ctx context.Context, t *testing.T, url string, body []byte, encoding string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if encoding != "" {
		request.Header.Set("Content-Encoding", encoding)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatalf("POST %s: %v", url, err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func gzipped(t *testing.T, text []byte) []byte {
	t.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return compressed.Bytes()
}

// With all middleware disabled, rest does not change requests and responses: no time-out, body limit, gunzip, buffering or
// breaker, and a handler's abort closes the connection.
func TestRestLeavesRequestsAlone(t *testing.T) {
	for _, root := range []string{"", "/other"} {
		t.Run("bodies"+root, func(t *testing.T) {
			url, p := serveProbe(t)
			for _, c := range []struct {
				body     []byte
				encoding string
			}{
				{gzipped(t, bytes.Repeat([]byte("order "), 1000)), "gzip"},
				{bytes.Repeat([]byte("x"), 9<<20), ""},
			} {
				post(t.Context(), t, url+root+"/body", c.body, c.encoding)
				if got := <-p.bodies; !bytes.Equal(got, c.body) {
					t.Errorf("encoding %q: got a body of %d bytes, want the %d bytes that were sent, unchanged", c.encoding, len(got), len(c.body))
				}
			}
		})
		t.Run("abort"+root, func(t *testing.T) {
			url, _ := serveProbe(t)
			response := post(t.Context(), t, url+root+"/abort", nil, "")
			if _, err := io.ReadAll(response.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("aborted response: got error %v, want io.ErrUnexpectedEOF", err)
			}
		})
		t.Run("flush"+root, func(t *testing.T) {
			url, _ := serveProbe(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel() // ends the handler; without a flush the response header would not arrive before
			post(ctx, t, url+root+"/flush", nil, "")
		})
		// This many failures in a row would open rest's breaker, which then responds itself.
		t.Run("no breaker"+root, func(t *testing.T) {
			url, _ := serveProbe(t)
			for i := range 100 {
				response := post(t.Context(), t, url+root+"/unavailable", nil, "")
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusServiceUnavailable || string(body) != "by the handler" {
					t.Fatalf("request %d: got status %d, body %q, error %v, want 503 by the handler", i, response.StatusCode, body, err)
				}
			}
			for i := range 100 {
				if response := post(t.Context(), t, url+root+"/body", nil, ""); response.StatusCode != http.StatusOK {
					t.Fatalf("request %d after the failures: got status %d, want 200", i, response.StatusCode)
				}
			}
		})
	}
}

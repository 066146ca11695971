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

// rest as we set it up touches nothing: no time-out, no body limit, no gunzip, no buffering, and a
// handler's abort breaks the connection.
func TestRestLeavesRequestsAlone(t *testing.T) {
	var zip bytes.Buffer
	z := gzip.NewWriter(&zip)
	if _, err := z.Write(bytes.Repeat([]byte("order "), 1000)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	big := bytes.Repeat([]byte("x"), 9<<20)
	seen := make(chan []byte, 1)
	probe := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := r.Context().Deadline(); ok {
			t.Error("a deadline was set on the query")
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("body: %v", err)
		}
		select {
		case seen <- raw:
		default:
		}
		switch r.URL.Path {
		case "/abort", "/other/abort":
			if _, err := w.Write([]byte("half")); err != nil {
				t.Errorf("write: %v", err)
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("flush: %v", err)
			}
			panic(http.ErrAbortHandler)
		case "/flush", "/other/flush":
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Errorf("flush: %v", err)
			}
			<-r.Context().Done() // the client reads the head while we still stand here
		}
	})
	handler, err := Handler([]rest.Route{
		{Method: "POST", Path: "/body", Handler: probe},
		{Method: "POST", Path: "/abort", Handler: probe},
		{Method: "POST", Path: "/flush", Handler: probe}}, probe)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(handler)
	defer srv.Close()
	post := func(ctx context.Context, path string, body []byte, enc string) (*http.Response, error) {
		req, _ := http.NewRequestWithContext(ctx, "POST", srv.URL+path, bytes.NewReader(body))
		if enc != "" {
			req.Header.Set("Content-Encoding", enc)
		}
		return http.DefaultTransport.RoundTrip(req)
	}
	for _, root := range []string{"", "/other"} {
		for _, c := range []struct {
			body []byte
			enc  string
		}{{zip.Bytes(), "gzip"}, {big, ""}} {
			ans, err := post(t.Context(), root+"/body", c.body, c.enc)
			if err != nil {
				t.Fatal(err)
			}
			_ = ans.Body.Close()
			if got := <-seen; !bytes.Equal(got, c.body) {
				t.Errorf("%s: a body of %d bytes came as %d others", root, len(c.body), len(got))
			}
		}
		ans, err := post(t.Context(), root+"/abort", nil, "")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(ans.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: an aborted answer ended with %v", root, err)
		}
		<-seen
		ctx, end := context.WithCancel(t.Context())
		if _, err := post(ctx, root+"/flush", nil, ""); err != nil {
			t.Errorf("%s: head not flushed: %v", root, err)
		}
		end()
		<-seen
	}
	// A hundred answers of 503 open no breaker.
	for range 100 {
		if ans, err := http.Post(srv.URL+"/body", "text/plain", nil); err != nil || ans.StatusCode != 200 {
			t.Fatalf("%v %v", ans, err)
		}
	}
}

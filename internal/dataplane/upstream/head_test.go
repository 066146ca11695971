package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

func TestBrokenHeads(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		cause    error
	}{
		"nothing":            {"", io.ErrUnexpectedEOF},
		"half a status line": {"HTTP/1.1 20", io.ErrUnexpectedEOF},
		"half a head":        {"HTTP/1.1 200 OK\r\nContent-Le", io.ErrUnexpectedEOF},
		"garbage":            {"220 mail.example ESMTP\r\n\r\n", ErrMalformed},
		"bad field":          {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", ErrMalformed},
		"two lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12", ErrMalformed},
		"bad length":         {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", ErrMalformed},
		"another version":    {"HTTP/2.0 200 OK\r\n\r\n", ErrMalformed},
		"switching":          {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ErrMalformed},
		"informational":      {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInformationalResponses+1), ErrMalformed},
		"too large":          {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", MaxHeadBytes+2*readBufferBytes), ErrHeadTooLarge},
		"endless line":       {strings.Repeat("a", MaxHeadBytes+2*readBufferBytes), ErrHeadTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), getRequest)
			conn := r.accept()
			conn.readRequest()
			conn.writeString(test.response)
			_ = conn.CloseWrite()
			_, err := e.ReadHead(nil)
			wantSendError(t, err, true, StepReadHead, test.cause)
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestLargeHeadIsRead(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), getRequest)
	conn := r.accept()
	conn.readRequest()
	start, end := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: ", "\r\n\r\n"
	conn.writeString(start + strings.Repeat("a", MaxHeadBytes-len(start)-len(end)) + end + "ok")
	if _, body := readResponse(t, e); body != "ok" {
		t.Fatal(body)
	}
}

func TestUnrelatedResponses(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		responses string
		cause     error // nil if the expected response is found
	}{
		"one":             {responseWithID("old", "old") + responseWithID("mine", "mine"), nil},
		"two":             {responseWithID("old", "old") + chunked + responseWithID("mine", "mine"), nil},
		"three":           {responseWithID("old", "") + responseWithID("old", "") + responseWithID("old", "") + responseWithID("mine", "mine"), ErrUnrelatedResponses},
		"large":           {responseWithID("old", strings.Repeat("a", MaxUnrelatedBodyBytes)) + responseWithID("mine", "mine"), nil},
		"too large":       {responseWithID("old", strings.Repeat("a", MaxUnrelatedBodyBytes+1)) + responseWithID("mine", "mine"), ErrUnrelatedResponses},
		"without an end":  {"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\nold", ErrUnrelatedResponses},
		"cut":             {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 9\r\n\r\nold", io.ErrUnexpectedEOF},
		"and nothing":     {responseWithID("old", "old"), io.ErrUnexpectedEOF},
		"malformed chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), getRequest)
			conn := r.accept()
			conn.readRequest()
			go func() {
				_, _ = io.WriteString(conn.TCPConn, test.responses) // fails if the exchange ends before it has read all responses
				_ = conn.CloseWrite()
			}()
			_, err := e.ReadHead(isExpectedResponse)
			if test.cause != nil {
				wantSendError(t, err, true, StepReadHead, test.cause)
			} else if err != nil {
				t.Fatal(err)
			} else if body, err := io.ReadAll(e.Body); err != nil || string(body) != "mine" {
				t.Fatalf("%q, %v", body, err)
			}
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func FuzzReadHead(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + responseWithID("old", "old") + responseWithID("mine", "mine")))
	f.Add([]byte("HTTP/1.0 404\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, response []byte) {
		p := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
			return scriptedConn{response: strings.NewReader(string(response))}, nil
		}})
		defer p.Close()
		e, err := p.Send(context.Background(), "runner", getRequest)
		if err != nil {
			t.Fatal(err)
		}
		head, err := e.ReadHead(isExpectedResponse)
		if err != nil {
			wantSendError(t, err, true, StepReadHead, nil)
		} else {
			if head.Status < 200 || head.Status > 999 {
				t.Fatalf("status %d", head.Status)
			}
			body, err := io.ReadAll(e.Body)
			if err == nil && head.ContentLength > 0 && int64(len(body)) != head.ContentLength {
				t.Fatalf("%d bytes of %d", len(body), head.ContentLength)
			}
			if err != nil && err != io.ErrUnexpectedEOF {
				wantSendError(t, err, true, StepReadBody, nil)
			}
		}
		e.Finish()
	})
}

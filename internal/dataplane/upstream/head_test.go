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
			r, p := newRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), get)
			on := r.accept()
			on.request()
			on.say(test.response)
			_ = on.CloseWrite()
			_, err := e.ReadHead(nil)
			wantFailure(t, err, true, StepReadHead, test.cause)
			e.Finish()
			if openCount(p, r.address()) != 0 {
				t.Fatal("kept")
			}
		})
	}
}

func TestLargeHeadIsRead(t *testing.T) {
	r, p := newRunner(t), newPool(t, Options{})
	e := send(t, p, r.address(), get)
	on := r.accept()
	on.request()
	start, end := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: ", "\r\n\r\n"
	on.say(start + strings.Repeat("a", MaxHeadBytes-len(start)-len(end)) + end + "ok")
	if _, body := readResponse(t, e); body != "ok" {
		t.Fatal(body)
	}
}

func TestUnrelatedResponses(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		responses string
		cause     error // nil: ours is found
	}{
		"one":             {responseOf("old", "old") + responseOf("mine", "mine"), nil},
		"two":             {responseOf("old", "old") + chunked + responseOf("mine", "mine"), nil},
		"three":           {responseOf("old", "") + responseOf("old", "") + responseOf("old", "") + responseOf("mine", "mine"), ErrUnrelatedResponses},
		"large":           {responseOf("old", strings.Repeat("a", MaxUnrelatedBodyBytes)) + responseOf("mine", "mine"), nil},
		"too large":       {responseOf("old", strings.Repeat("a", MaxUnrelatedBodyBytes+1)) + responseOf("mine", "mine"), ErrUnrelatedResponses},
		"without an end":  {"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\nold", ErrUnrelatedResponses},
		"cut":             {"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 9\r\n\r\nold", io.ErrUnexpectedEOF},
		"and nothing":     {responseOf("old", "old"), io.ErrUnexpectedEOF},
		"malformed chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := newRunner(t), newPool(t, Options{})
			e := send(t, p, r.address(), get)
			on := r.accept()
			on.request()
			go func() {
				_, _ = io.WriteString(on.TCPConn, test.responses) // fails where the exchange gives up before its end
				_ = on.CloseWrite()
			}()
			_, err := e.ReadHead(isMine)
			if test.cause != nil {
				wantFailure(t, err, true, StepReadHead, test.cause)
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
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + responseOf("old", "old") + responseOf("mine", "mine")))
	f.Add([]byte("HTTP/1.0 404\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, response []byte) {
		p := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
			return script{response: strings.NewReader(string(response))}, nil
		}})
		defer p.Close()
		e, err := p.Send(context.Background(), "runner", get)
		if err != nil {
			t.Fatal(err)
		}
		head, err := e.ReadHead(isMine)
		if err != nil {
			wantFailure(t, err, true, StepReadHead, nil)
		} else {
			if head.Status < 200 || head.Status > 999 {
				t.Fatalf("status %d", head.Status)
			}
			body, err := io.ReadAll(e.Body)
			if err == nil && head.ContentLength > 0 && int64(len(body)) != head.ContentLength {
				t.Fatalf("%d bytes of %d", len(body), head.ContentLength)
			}
			if err != nil && err != io.ErrUnexpectedEOF {
				wantFailure(t, err, true, StepReadBody, nil)
			}
		}
		e.Finish()
	})
}

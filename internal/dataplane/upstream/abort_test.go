package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
)

// An abandoned request must reset its connection, so that TCP does not deliver it later, for example after a network
// partition. After a complete response, the connection is closed in order instead.
func TestAbandonedExchangeAbortsItsConnection(t *testing.T) {
	const partialResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"
	const lastResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
	tests := []struct {
		name     string
		response string
		end      func(e *Exchange, cancel context.CancelFunc)
		want     error
	}{
		{"client leaves before the response", "", func(_ *Exchange, cancel context.CancelFunc) { cancel() }, syscall.ECONNRESET},
		{"aborted before the response", "", func(e *Exchange, _ context.CancelFunc) { e.Abort() }, syscall.ECONNRESET},
		{"aborted within the body", partialResponse, func(e *Exchange, _ context.CancelFunc) { e.Abort() }, syscall.ECONNRESET},
		{"finished within the body", partialResponse, func(e *Exchange, _ context.CancelFunc) { e.Finish() }, syscall.ECONNRESET},
		{"finished after the body", lastResponse, func(e *Exchange, _ context.CancelFunc) { e.Finish() }, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, p := newFakeRunner(t), newPool(t, Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			e, err := p.Send(ctx, r.address(), getRequest)
			if err != nil {
				t.Fatal(err)
			}
			conn := r.accept()
			conn.readRequest()
			if test.response != "" {
				conn.writeString(test.response)
				if _, err := e.ReadHead(nil); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(e.Body, make([]byte, len("ok"))); err != nil {
					t.Fatal(err)
				}
			}
			test.end(e, cancel)
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("got %v at the runner, want %v", err, test.want)
			}
		})
	}
}

package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
)

// A request that is given up aborts its connection, so that nothing of it is delivered later. Once the response was read to
// its end there is nothing to give up, and the connection closes in order.
func TestGivenUpExchangeAbortsItsConnection(t *testing.T) {
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
			r, p := newRunner(t), newPool(t, Options{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			e, err := p.Send(ctx, r.address(), get)
			if err != nil {
				t.Fatal(err)
			}
			on := r.accept()
			on.request()
			if test.response != "" {
				on.say(test.response)
				if _, err := e.ReadHead(nil); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(e.Body, make([]byte, len("ok"))); err != nil {
					t.Fatal(err)
				}
			}
			test.end(e, cancel)
			if _, err := on.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("got %v at the runner, want %v", err, test.want)
			}
		})
	}
}

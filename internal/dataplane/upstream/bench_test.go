package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

func BenchmarkExchange(b *testing.B) {
	for name, response := range map[string]string{"length": okResponse, "chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go respondAlways(listener, []byte(response))
			p := New(Options{DialTimeout: testTimeout})
			defer p.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request := Request{Method: "POST", Target: "/v1/x?y=z", Host: "example.org", Header: http.Header{"Content-Type": {"application/json"}, "X-Id": {"1"}}, Body: make([]byte, 200)}
			buffer := make([]byte, 512)
			address := listener.Addr().String()
			b.ReportAllocs()
			for b.Loop() {
				e, err := p.Send(ctx, address, request)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := e.ReadHead(nil); err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = e.Body.Read(buffer)
				}
				if err != io.EOF {
					b.Fatal(err)
				}
				e.Finish()
			}
			if p.Stats().Dials != 1 {
				b.Fatalf("%+v", p.Stats())
			}
		})
	}
}

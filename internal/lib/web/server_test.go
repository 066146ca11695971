package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A draining server completes the request in flight and accepts no others, and Run returns no error. A handler behind rest can
// set a deadline through ResponseController.
func TestDrain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started, finish := make(chan struct{}), make(chan struct{})
	handler, err := Handler(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := ResponseController(w, r).SetWriteDeadline(time.Now().Add(time.Minute)); err != nil {
			t.Errorf("set write deadline: %v", err)
		}
		close(started)
		<-finish
		_, _ = io.WriteString(w, "complete")
	}))
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, handler)
	runResult := make(chan error, 1)
	go func() { runResult <- server.Run() }()
	url := "http://" + listener.Addr().String()
	responses := make(chan string, 1)
	go func() {
		response, err := http.Get(url)
		if err != nil {
			responses <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		responses <- string(body)
	}()
	<-started
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := server.Drain(short); err == nil {
		t.Error("drain with a request in flight: got no error, want that of the context")
	}
	if err := <-runResult; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
	if response, err := http.Get(url); err == nil {
		_ = response.Body.Close()
		t.Error("request to a draining server: got a response, want an error")
	}
	close(finish)
	if got := <-responses; got != "complete" {
		t.Errorf("request in flight: got %q, want its complete response", got)
	}
	if err := server.Drain(t.Context()); err != nil {
		t.Errorf("drain: got error %v, want none", err)
	}
}

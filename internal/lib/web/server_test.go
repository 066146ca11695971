package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A server that is drained finishes the request under way, takes no other one, and Run returns no error. A handler behind
// rest can set a deadline by ResponseController.
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
	ran := make(chan error, 1)
	go func() { ran <- server.Run() }()
	url := "http://" + listener.Addr().String()
	answered := make(chan string, 1)
	go func() {
		response, err := http.Get(url)
		if err != nil {
			answered <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answered <- string(body)
	}()
	<-started
	short, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := server.Drain(short); err == nil {
		t.Error("drain with a request under way: got no error, want that of the context")
	}
	if err := <-ran; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
	if response, err := http.Get(url); err == nil {
		_ = response.Body.Close()
		t.Error("request to a draining server: got a response, want an error")
	}
	close(finish)
	if got := <-answered; got != "complete" {
		t.Errorf("request under way: got %q, want its complete response", got)
	}
	if err := server.Drain(t.Context()); err != nil {
		t.Errorf("drain: got error %v, want none", err)
	}
}

package web

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a Server. Bodies and responses are not limited here: each API sets its own limits.
const (
	readHeaderTimeout = 10 * time.Second // to receive the headers of a request
	idleTimeout       = 60 * time.Second // between two requests on a connection
	maxHeaderBytes    = 64 << 10         // of one request
)

// Server serves a handler on one listener. Its methods are safe for concurrent use.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen binds addr and returns a server for handler on it.
func Listen(addr string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "web: listen on %s", addr)
	}
	return NewServer(listener, handler), nil
}

// NewServer returns a server for handler on a listener. Drain closes the listener.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	// A write deadline set by an earlier request on the connection must not apply to this response.
	withoutDeadline := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(time.Time{}) // fails only if the writer does not support deadlines, and then none is set
		handler.ServeHTTP(w, withResponseController(r, controller))
	})
	return &Server{listener, &http.Server{Handler: withoutDeadline, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until the server is drained or the listener fails. It returns an error only in the latter case.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain shuts the server down gracefully: it accepts no new connections and waits for the requests in flight. If ctx ends
// first, it returns ctx's error, and the remaining requests continue.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Start runs the server in a new goroutine until it is drained. If the listener fails, the process continues without this
// server.
func (s *Server) Start() {
	go func() { _ = s.Run() }()
}

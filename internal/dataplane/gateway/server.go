package gateway

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"

	"yarrowridge/internal/model/routing"
)

// Server serves clients' connections. It is built on net/http directly: rest's router and middlewares would
// clean paths and buffer streams, and cost processor time on each request.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// NewServer makes a server on a listener, under the limits of a configuration. Run starts it.
func NewServer(listener net.Listener, handler http.Handler, limits routing.Limits) *Server {
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	return &Server{listener: listener, server: server}
}

// Run serves until Drain. It returns nil once draining has begun, and the listener's error otherwise.
func (s *Server) Run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain takes no new connections and waits for requests in flight until ctx ends, whose error it returns then.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

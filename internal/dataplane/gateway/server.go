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

// Server serves clients' connections. It uses net/http directly because the router and middleware of go-zero's rest package
// would clean paths, buffer streams and add CPU time to each request.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// NewServer creates a server on a listener with the limits of a configuration. Run starts it.
func NewServer(listener net.Listener, handler http.Handler, limits routing.Limits) *Server {
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	return &Server{listener: listener, server: server}
}

// Run serves connections. It returns nil once Drain has been called, or the error of the listener.
func (s *Server) Run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain stops accepting connections and waits for requests in flight. If ctx ends first, it returns the context's error.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

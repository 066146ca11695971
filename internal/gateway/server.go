package gateway

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"yarrowridge/internal/routing"
)

// Server is the clients' listener. It is built on net/http directly: rest's router and middlewares would
// clean paths and buffer streams, and cost processor time on each request.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen binds an address for clients, under the limits of a configuration.
func Listen(address string, handler http.Handler, limits routing.Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "gateway: listen on %s", address)
	}
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	return &Server{listener: listener, server: server}, nil
}

// Run serves until Drain.
func (s *Server) Run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain takes no new connections and waits for requests under way, until ctx ends.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

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
	listener    net.Listener
	server      *http.Server
	endRequests context.CancelCauseFunc // ends the context of all requests
}

// errShutdown is the cause with which the contexts of requests end at the end of a shutdown.
var errShutdown = errors.New("the router shuts down")

// NewServer creates a server on a listener with the limits of a configuration. Run starts it.
func NewServer(listener net.Listener, handler http.Handler, limits routing.Limits) *Server {
	server := &http.Server{Handler: handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	base, endRequests := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return base }
	return &Server{listener: listener, server: server, endRequests: endRequests}
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

// EndRequests ends the requests in flight, after Drain has returned an error. A client whose response has not begun gets an error
// response that tells whether its request may have run; other responses break off. It returns when all requests have ended, or
// with the error of ctx.
func (s *Server) EndRequests(ctx context.Context) error {
	s.endRequests(errShutdown)
	return s.server.Shutdown(ctx)
}

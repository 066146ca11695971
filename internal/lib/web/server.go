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

// What a Server allows a client. Bodies and responses have no limit here: each API sets its own.
const (
	readHeaderTimeout = 10 * time.Second // for a request's headers
	idleTimeout       = 60 * time.Second // between two requests on a connection
	maxHeaderBytes    = 64 << 10         // of one request
)

// Server serves a handler on one listener. Its methods may be called concurrently.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen binds addr and returns a server of handler on it.
func Listen(addr string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "web: listen on %s", addr)
	}
	return NewServer(listener, handler), nil
}

// NewServer returns a server of handler on a listener, which it closes when it is drained.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	// A write deadline that an earlier request on the connection set must not bound this response.
	withoutDeadline := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(time.Time{}) // a writer without deadlines has none to take away
		handler.ServeHTTP(w, withResponseController(r, controller))
	})
	return &Server{listener, &http.Server{Handler: withoutDeadline, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until the server is drained, which is no error, or the listener fails.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain shuts the server down gracefully: it accepts no new connections and waits for the requests under way. It returns
// ctx's error where ctx ends first; those requests go on then.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Start runs the server in a goroutine of its own until it is drained. If its listener fails, the process does the rest of
// its work without it.
func (s *Server) Start() {
	go func() { _ = s.Run() }()
}

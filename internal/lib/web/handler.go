// Package web serves HTTP by go-zero's rest, with everything in rest that would touch a request or
// a response switched off, on listeners that we drain ourselves.
package web

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

var disableLogs sync.Once

// Handler makes a rest router over fixed routes; all else goes to rest's not-found hook.
// Every middleware of rest is off: its time-out and recover buffer streams or turn an abort into
// a response, its gunzip changes bodies, its breaker, shedding and limits reject on their own.
func Handler(routes []rest.Route, other http.Handler) (http.Handler, error) {
	disableLogs.Do(func() {
		logx.Disable()
		logx.DisableStat()
	})
	config := rest.RestConf{Host: "127.0.0.1", Port: 1}
	config.Name = "yarrowridge"
	options := []rest.RunOption{}
	if other != nil {
		options = append(options, rest.WithNotFoundHandler(other), rest.WithNotAllowedHandler(other))
	}
	server, err := rest.NewServer(config, options...)
	if err != nil {
		return nil, eris.Wrap(err, "web: rest")
	}
	server.AddRoutes(routes, rest.WithTimeout(0), rest.WithMaxBytes(0))
	less, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrap(err, "web: rest routes")
	}
	return http.HandlerFunc(less.Serve), nil
}

type responseControllerKey struct{}

// Control gives the controls of a request's connection. rest wraps the writer without a way back to it,
// so a deadline set through rest's would do nothing.
func ResponseController(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	if controller, ok := r.Context().Value(responseControllerKey{}).(*http.ResponseController); ok {
		return controller
	}
	return http.NewResponseController(w)
}

// Server is one listener with its handler.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen binds addr for a handler. head bounds the time a client may take to send its headers.
func Listen(addr string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "web: listen on %s", addr)
	}
	return NewServer(listener, handler), nil
}

// NewServer serves a handler on a listener.
func NewServer(listener net.Listener, handler http.Handler) *Server {
	// Nothing of the request before on the same connection bounds the writing of this response.
	fresh := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(time.Time{}) // a writer without deadlines has none to take away
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), responseControllerKey{}, controller)))
	})
	return &Server{listener, &http.Server{Handler: fresh, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 64 << 10, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until Drain.
func (s *Server) Run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain takes no new connections and waits for requests under way, until ctx ends.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

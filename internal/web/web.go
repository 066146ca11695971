// Package web serves HTTP by go-zero's rest, with everything in rest that would touch a query or
// an answer switched off, on listeners that we drain ourselves.
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

var quiet sync.Once

// Handler makes a rest router over fixed routes; all else goes to rest's not-found hook.
// Every middleware of rest is off: its time-out and recover buffer streams or turn an abort into
// an answer, its gunzip changes bodies, its breaker, shedding and limits bounce on their own.
//
//	h, err := web.Handler([]rest.Route{{Method: "GET", Path: "/alive", Handler: alive}}, front)
func Handler(routes []rest.Route, other http.Handler) (http.Handler, error) {
	quiet.Do(func() {
		logx.Disable()
		logx.DisableStat()
	})
	conf := rest.RestConf{Host: "127.0.0.1", Port: 1}
	conf.Name = "yarrowridge"
	opts := []rest.RunOption{}
	if other != nil {
		opts = append(opts, rest.WithNotFoundHandler(other), rest.WithNotAllowedHandler(other))
	}
	srv, err := rest.NewServer(conf, opts...)
	if err != nil {
		return nil, eris.Wrap(err, "web: rest")
	}
	srv.AddRoutes(routes, rest.WithTimeout(0), rest.WithMaxBytes(0))
	less, err := rest.NewServerless(srv)
	if err != nil {
		return nil, eris.Wrap(err, "web: rest routes")
	}
	return http.HandlerFunc(less.Serve), nil
}

type ctlKey struct{}

// Control gives the controls of a query's connection. rest wraps the writer without a way back to it,
// so a deadline set through rest's would do nothing.
//
//	web.Control(w, r).SetReadDeadline(time.Now().Add(time.Second))
func Control(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	if ctl, ok := r.Context().Value(ctlKey{}).(*http.ResponseController); ok {
		return ctl
	}
	return http.NewResponseController(w)
}

// Server is one listener with its handler.
type Server struct {
	l   net.Listener
	srv *http.Server
}

// Listen binds addr for a handler. head bounds the time an origin may take to send its headers.
//
//	s, err := web.Listen("127.0.0.1:8501", h)
func Listen(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "web: listen on %s", addr)
	}
	return NewServer(l, h), nil
}

// NewServer serves a handler on a listener.
//
//	go web.NewServer(listener, h).Run()
func NewServer(l net.Listener, h http.Handler) *Server {
	// Nothing of the query before on the same connection bounds the writing of this answer.
	fresh := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		ctl.SetWriteDeadline(time.Time{})
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), ctlKey{}, ctl)))
	})
	return &Server{l, &http.Server{Handler: fresh, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second,
		MaxHeaderBytes: 64 << 10, ErrorLog: log.New(io.Discard, "", 0)}}
}

// Run serves until Drain.
//
//	go s.Run()
func (s *Server) Run() error {
	if err := s.srv.Serve(s.l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain takes no new connections and waits for queries under way, until ctx ends.
//
//	err := s.Drain(ctx)
func (s *Server) Drain(ctx context.Context) error { return s.srv.Shutdown(ctx) }

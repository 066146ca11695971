// Package web serves HTTP. It uses the router of go-zero's rest package with all of its middleware disabled, and its own
// listeners, so that a server can be drained for as long as its streams last.
package web

import (
	"context"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

// disableLogs disables the logs of rest, which are global to the process, once. The programs have their own log.
var disableLogs sync.Once

// Handler returns a handler that serves routes, and passes requests that match none by path and method to fallback, which may
// be nil. fallback must send a status; if it sends none, rest responds with 404.
//
// All middleware of rest is disabled: its time-out and recover buffer streams or turn an abort into a response, its gunzip
// changes bodies, and its breaker, load shedding and limits reject requests by rules of their own.
func Handler(routes []rest.Route, fallback http.Handler) (http.Handler, error) {
	disableLogs.Do(func() {
		logx.Disable()
		logx.DisableStat()
	})
	config := rest.RestConf{Host: "127.0.0.1", Port: 1} // rest requires an address, but nothing listens on it
	config.Name = "yarrowridge"
	options := []rest.RunOption{}
	if fallback != nil {
		options = append(options, rest.WithNotFoundHandler(fallback), rest.WithNotAllowedHandler(fallback))
	}
	server, err := rest.NewServer(config, options...)
	if err != nil {
		return nil, eris.Wrap(err, "web: create the rest server")
	}
	server.AddRoutes(routes, rest.WithTimeout(0), rest.WithMaxBytes(0))
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrap(err, "web: create the handler of the rest routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// responseControllerKey is the context key of a request's *http.ResponseController.
type responseControllerKey struct{}

// ResponseController returns the controller of a request's connection. It is needed because rest wraps the writer without an
// Unwrap method, so that a deadline set through the wrapped writer has no effect. Outside a Server it is the controller of w.
func ResponseController(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	if controller, ok := r.Context().Value(responseControllerKey{}).(*http.ResponseController); ok {
		return controller
	}
	return http.NewResponseController(w)
}

// withResponseController stores a connection's controller in the context of a request, for ResponseController.
func withResponseController(r *http.Request, controller *http.ResponseController) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), responseControllerKey{}, controller))
}

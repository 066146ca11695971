// Package web serves HTTP. Routes are those of go-zero's rest, with everything in rest that would touch a request or a
// response switched off; listeners are ours, so that they can be drained for as long as a stream takes.
package web

import (
	"context"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

// disableLogs switches rest's logs off, which are one for the whole process: we log ourselves.
var disableLogs sync.Once

// Handler returns a handler of routes, and of other where none matches by path and method; other may be nil. The
// other handler must send a status: where it sends none, rest answers 404.
//
// Every middleware of rest is off: its time-out and recover buffer streams or turn an abort into a response, its gunzip
// changes bodies, and its breaker, load shedding and limits reject on their own count.
func Handler(routes []rest.Route, other http.Handler) (http.Handler, error) {
	disableLogs.Do(func() {
		logx.Disable()
		logx.DisableStat()
	})
	config := rest.RestConf{Host: "127.0.0.1", Port: 1} // rest wants an address; nothing listens on it
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
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, eris.Wrap(err, "web: rest routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// responseControllerKey is the context key of a request's *http.ResponseController.
type responseControllerKey struct{}

// ResponseController returns the controller of a request's connection. rest wraps the writer without an Unwrap, so that a
// deadline set through what a handler was given would do nothing. Outside a Server it is the controller of w itself.
func ResponseController(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	if controller, ok := r.Context().Value(responseControllerKey{}).(*http.ResponseController); ok {
		return controller
	}
	return http.NewResponseController(w)
}

// withResponseController returns the request with its connection's controller, for ResponseController.
func withResponseController(r *http.Request, controller *http.ResponseController) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), responseControllerKey{}, controller))
}

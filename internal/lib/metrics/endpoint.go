package metrics

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/web"
)

// Endpoint is the address and path at which a process serves its metrics. The zero Endpoint serves none.
type Endpoint struct {
	Address string // ip:port
	Path    string // with its leading slash
}

// ParseEndpoint parses "PORT/PATH", such as "9464/metrics", and returns the endpoint at the IP address ip. The error names
// the expected form.
func ParseEndpoint(ip, text string) (Endpoint, error) {
	port, path, hasPath := strings.Cut(text, "/")
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil || portNumber == 0 || !hasPath || path == "" || strings.ContainsAny(path, " ?#:*") || strings.HasSuffix(path, "/") {
		return Endpoint{}, eris.Errorf("metrics: %q is not PORT/PATH, as in 9464/metrics", text)
	}
	return Endpoint{Address: net.JoinHostPort(ip, port), Path: "/" + path}, nil
}

// Start serves the metrics in the background until ctx ends. A process also works without them: if they cannot be served,
// for example because the address is in use, Start logs a warning and returns.
func (e Endpoint) Start(ctx daemon.Context, handler http.Handler) {
	if e.Address == "" {
		return
	}
	if err := e.start(ctx, handler); err != nil {
		ctx.Log.Warn("Metrics are not served.", "address", e.Address, "error", err.Error())
	}
}

// start binds the address and serves the metrics in the background until ctx ends.
func (e Endpoint) start(ctx daemon.Context, handler http.Handler) error {
	routes, err := web.Handler([]rest.Route{{Method: http.MethodGet, Path: e.Path, Handler: handler.ServeHTTP}}, nil)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return eris.Wrapf(err, "metrics: listen on %s", e.Address)
	}
	server := web.NewServer(listener, routes)
	go func() { _ = server.Run() }() // returns when the listener is closed below
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	return nil
}

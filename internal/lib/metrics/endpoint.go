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

// Endpoint is where a process serves its metrics. The zero Endpoint serves none.
type Endpoint struct {
	Address string // ip:port
	Path    string // with its leading slash
}

// ParseEndpoint parses "PORT/PATH", such as "9464/metrics", for a process with an IP address. The error names the form
// that is expected.
func ParseEndpoint(ip, text string) (Endpoint, error) {
	port, path, hasPath := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !hasPath || path == "" || strings.ContainsAny(path, " ?#:*") || strings.HasSuffix(path, "/") {
		return Endpoint{}, eris.Errorf("metrics: %q is not PORT/PATH, as in 9464/metrics", text)
	}
	return Endpoint{Address: net.JoinHostPort(ip, port), Path: "/" + path}, nil
}

// Start serves the metrics in the background until ctx ends. A process does its work without them: where the address
// cannot be bound, it logs that and nothing else happens.
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
	go func() { _ = server.Run() }() // it ends with the listener, below
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	return nil
}

package router

import (
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/transport/operator"
)

// listen starts the servers of the APIs for clients, runners and operators, except those without an address. If one fails to
// start, those started before it keep running; the process exits with the error.
func (r *Router) listen(process *daemon.Process) ([]*web.Server, error) {
	clients, err := web.Handler([]rest.Route{
		{Method: "GET", Path: "/alive", Handler: writeAlive},
		{Method: "GET", Path: "/ready", Handler: operator.ReadyHandler(r.Cluster.NotReadyReason)},
	}, r.Clients)
	if err != nil {
		return nil, err
	}
	runners, err := (&runner.API{Cluster: r.Cluster, KeyHash: func() string { return process.Setting("runner-key-hash") }}).Handler()
	if err != nil {
		return nil, err
	}
	operators, err := (&operator.API{Ctx: r.ctx.WithComponent("operator"), Core: r.Cluster.Core, KeyHash: func() string { return process.Setting("operator-key-hash") },
		NotReadyReason: r.Cluster.NotReadyReason, Metrics: r.Metrics.Handler(), JSONRoutes: r.views()}).Handler()
	if err != nil {
		return nil, err
	}
	var servers []*web.Server
	for _, api := range []struct {
		addr    string
		handler http.Handler
	}{{process.Settings["origin"], clients}, {process.Settings["runner"], runners}, {process.Settings["operator"], operators}} {
		if api.addr == "" {
			continue
		}
		server, err := web.Listen(api.addr, api.handler)
		if err != nil {
			return nil, err
		}
		server.Start()
		servers = append(servers, server)
	}
	return servers, nil
}

// writeAlive answers the liveness probe.
func writeAlive(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "{\"alive\":true}\n") // a probe that has disconnected needs no response
}

// Package operator implements the operators' HTTP API, which reads and writes the fleet's configuration and reports the
// fleet's state. Cores and routers serve it; they fetch the configuration and the fleet's state from the core.
//
// Each request is parsed, forwarded to the core as a call, and answered with the outcome. Every error response has one of
// the codes of this package.
package operator

import (
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"

	"yarrowridge/internal/controlplane/coreclient"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
)

// WriteIDHeader is the header with a write ID that the operator chooses, so that a repeated write is not applied twice.
const WriteIDHeader = "X-Write-Id"

// API is the operators' API of a router or a core. Its functions are called concurrently.
type API struct {
	Ctx            daemon.Context
	Core           *coreclient.Client
	KeyHash        func() string         // returns the SHA-256 of the operators' key, in hex
	NotReadyReason func() string         // returns why the process is not ready, or "" if it is
	JSONRoutes     map[string]func() any // further GET routes by path; their results are sent as JSON
	Metrics        http.Handler          // serves GET /metrics, unless it is nil
}

// Handler returns the handler of the API's routes. All of them but /alive, /ready and /metrics need the operators' key.
func (api *API) Handler() (http.Handler, error) {
	var routes []rest.Route
	add := func(method, path string, handler http.HandlerFunc) {
		routes = append(routes, rest.Route{Method: method, Path: path, Handler: handler})
	}
	add(http.MethodGet, "/alive", getAlive)
	add(http.MethodGet, "/ready", ReadyHandler(api.NotReadyReason))
	if api.Metrics != nil {
		add(http.MethodGet, "/metrics", api.Metrics.ServeHTTP)
	}
	add(http.MethodGet, "/v1/layout", api.authenticated(api.getConfig))
	add(http.MethodPut, "/v1/layout", api.authenticated(api.putConfig))
	add(http.MethodPatch, "/v1/layout", api.authenticated(api.putConfig))
	add(http.MethodGet, "/v1/fleet", api.authenticated(api.getFleet))
	for path, content := range api.JSONRoutes {
		add(http.MethodGet, path, api.authenticated(func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, content())
		}))
	}
	return web.Handler(routes, api.authenticated(notFound))
}

// notFound answers requests with an unknown path or method.
func notFound(w http.ResponseWriter, r *http.Request) {
	web.WriteError(w, http.StatusNotFound, CodeUnknownPath, "Nothing is served at "+r.Method+" "+r.URL.Path+".")
}

// authenticated returns a handler that passes requests with the operators' key to handler and rejects all others.
func (api *API) authenticated(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || fleetconfig.HashKey(key) != api.KeyHash() {
			web.WriteError(w, http.StatusUnauthorized, CodeUnknownKey, "The operators' key is expected, as Authorization: Bearer KEY.")
			return
		}
		handler(w, r)
	}
}

// Package operator is the operators' HTTP API: to read and write the fleet's configuration and to see the fleet's state.
// A core and every router serve it; what only the core knows is asked of it.
//
// Each request is served in three steps: it is parsed, the core is called, and the outcome is written as a response. An
// error response has one of the codes of this package.
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

// WriteIDHeader is the header with an operator's own ID for a write, so that a repeated one is not applied twice.
const WriteIDHeader = "X-Write-Id"

// API serves the operators of a router or a core. Its functions are called concurrently.
type API struct {
	Ctx            daemon.Context
	Core           *coreclient.Client
	KeyHash        func() string         // the SHA-256 of the operators' key, in hex
	NotReadyReason func() string         // why the process is not ready, or ""
	JSONRoutes     map[string]func() any // what else operators can read, by path; answered as JSON
	Metrics        http.Handler          // GET /metrics; nil: not served
}

// Handler returns the handler of the API's routes. /alive, /ready and /metrics need no key.
func (api *API) Handler() (http.Handler, error) {
	var routes []rest.Route
	add := func(method, path string, handler http.HandlerFunc) {
		routes = append(routes, rest.Route{Method: method, Path: path, Handler: handler})
	}
	add(http.MethodGet, "/alive", alive)
	add(http.MethodGet, "/ready", ReadyHandler(api.NotReadyReason))
	if api.Metrics != nil {
		add(http.MethodGet, "/metrics", api.Metrics.ServeHTTP)
	}
	add(http.MethodGet, "/v1/layout", api.authenticated(api.getConfig))
	add(http.MethodPut, "/v1/layout", api.authenticated(api.putConfig))
	add(http.MethodPatch, "/v1/layout", api.authenticated(api.putConfig))
	add(http.MethodGet, "/v1/fleet", api.authenticated(api.getFleet))
	for path, view := range api.JSONRoutes {
		add(http.MethodGet, path, api.authenticated(func(w http.ResponseWriter, _ *http.Request) {
			web.WriteJSON(w, http.StatusOK, view())
		}))
	}
	return web.Handler(routes, api.authenticated(notFound))
}

// notFound answers requests of all other paths and methods.
func notFound(w http.ResponseWriter, r *http.Request) {
	web.WriteError(w, http.StatusNotFound, CodeUnknownPath, "Nothing is served at "+r.Method+" "+r.URL.Path+".")
}

// authenticated passes on the requests that come with the operators' key.
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

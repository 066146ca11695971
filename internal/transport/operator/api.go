// Package operator is the operators' HTTP API: reading and changing the fleet's config, and seeing how the
// fleet is.
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

// WriteIDHeader is the header with the operator's own id for a write, so that a repeat does not apply twice.
const WriteIDHeader = "X-Write-Id"

// API serves the operators of a router or a core.
type API struct {
	Ctx     daemon.Context
	Core    *coreclient.Client
	KeyHash func() string         // hex SHA-256 of the operators' key
	Ready   func() string         // why not, or ""
	Views   map[string]func() any // further things to read, by path
	Metrics http.Handler
}

// Handler makes the API's routes.
func (api *API) Handler() (http.Handler, error) {
	var routes []rest.Route
	add := func(method, path string, handler http.HandlerFunc) {
		routes = append(routes, rest.Route{Method: method, Path: path, Handler: handler})
	}
	add("GET", "/alive", func(w http.ResponseWriter, _ *http.Request) { web.WriteJSON(w, http.StatusOK, Alive{Alive: true}) })
	add("GET", "/ready", Ready(api.Ready))
	if api.Metrics != nil {
		add("GET", "/metrics", api.Metrics.ServeHTTP)
	}
	add("GET", "/v1/layout", api.keyed(api.getConfig))
	add("PUT", "/v1/layout", api.keyed(api.putConfig))
	add("PATCH", "/v1/layout", api.keyed(api.putConfig))
	add("GET", "/v1/fleet", api.keyed(api.getFleet))
	for path, view := range api.Views {
		add("GET", path, api.keyed(func(w http.ResponseWriter, _ *http.Request) { web.WriteJSON(w, 200, view()) }))
	}
	return web.Handler(routes, api.keyed(func(w http.ResponseWriter, r *http.Request) {
		web.WriteError(w, http.StatusNotFound, "unknown-path", "Nothing is served at "+r.Method+" "+r.URL.Path+".")
	}))
}

// Ready answers 200 where why gives "", else 503 with the reason.
func Ready(why func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if reason := why(); reason != "" {
			w.Header().Set("Retry-After", "1")
			web.WriteJSON(w, http.StatusServiceUnavailable, ReadyState{Why: reason})
			return
		}
		web.WriteJSON(w, http.StatusOK, ReadyState{Ready: true})
	}
}

// keyed lets a request through that comes with the operators' key.
func (api *API) keyed(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || fleetconfig.HashKey(key) != api.KeyHash() {
			web.WriteError(w, http.StatusUnauthorized, "unknown-key", "The operators' key is expected, as Authorization: Bearer KEY.")
			return
		}
		handler(w, r)
	}
}

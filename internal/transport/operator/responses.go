package operator

import (
	"net/http"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
)

// AliveResponse is the body of GET /alive.
type AliveResponse struct {
	Alive bool `json:"alive"`
}

// ReadyResponse is the body of GET /ready.
type ReadyResponse struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"` // why the process is not ready
}

// WriteConfigResponse is the body of PUT and PATCH /v1/layout that says that a configuration is in force.
type WriteConfigResponse struct {
	Repeated bool   `json:"repeated"` // a write with this ID had been applied before
	Version  uint64 `json:"sequence"`
}

// InvalidConfigResponse is the body of PUT and PATCH /v1/layout that says that a configuration has errors.
type InvalidConfigResponse struct {
	Error InvalidConfig `json:"error"`
}

// InvalidConfig is a web.Error that lists all errors of a configuration.
type InvalidConfig struct {
	Code    web.ErrorCode         `json:"code"`
	Message string                `json:"message"`
	Errors  []coreapi.ConfigError `json:"troubles"`
}

// FleetResponse is the body of GET /v1/fleet.
type FleetResponse struct {
	coreapi.State
	Neighbours map[string][]string `json:"relays"` // each router's neighbours in the dissemination tree, by name
}

// errorResponse is a response that says why a request was not served.
type errorResponse struct {
	status    int // of HTTP
	code      web.ErrorCode
	message   string
	retryable bool // the same request may succeed a second later
}

// write sends the response.
func (e *errorResponse) write(w http.ResponseWriter) {
	if e.retryable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	web.WriteError(w, e.status, e.code, e.message)
}

package operator

import (
	"net/http"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/web"
)

// AliveResponse is the response to GET /alive.
type AliveResponse struct {
	Alive bool `json:"alive"`
}

// ReadyResponse is the response to GET /ready.
type ReadyResponse struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"` // why the process is not ready; empty if it is
}

// WriteConfigResponse is the response to PUT and PATCH /v1/layout for a write that was applied.
type WriteConfigResponse struct {
	Repeated bool   `json:"repeated"` // an earlier write with this ID was applied already
	Version  uint64 `json:"sequence"`
}

// InvalidConfigResponse is the response to PUT and PATCH /v1/layout for a configuration with errors.
type InvalidConfigResponse struct {
	Error InvalidConfig `json:"error"`
}

// InvalidConfig is a web.Error with the list of all errors in a configuration.
type InvalidConfig struct {
	Code    web.ErrorCode         `json:"code"`
	Message string                `json:"message"`
	Errors  []coreapi.ConfigError `json:"troubles"`
}

// FleetResponse is the response to GET /v1/fleet.
type FleetResponse struct {
	coreapi.State
	Neighbours map[string][]string `json:"relays"` // by router name: the names of its neighbours in the dissemination tree
}

// errorResponse is the response to a request that failed or was rejected.
type errorResponse struct {
	status    int // the HTTP status code
	code      web.ErrorCode
	message   string
	retryable bool // the same request may succeed after retryAfterSeconds
}

// write sends the response.
func (e *errorResponse) write(w http.ResponseWriter) {
	if e.retryable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	web.WriteError(w, e.status, e.code, e.message)
}

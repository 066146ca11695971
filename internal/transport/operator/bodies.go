package operator

import "yarrowridge/internal/controlplane/coreapi"

// Alive is the body of /alive.
type Alive struct {
	Alive bool `json:"alive"`
}

// ReadyState is the body of /ready.
type ReadyState struct {
	Ready bool   `json:"ready"`
	Why   string `json:"why,omitempty"`
}

// Written tells an operator that a config is in force.
type Written struct {
	Repeated bool   `json:"repeated"` // this write had been taken before
	Version  uint64 `json:"sequence"`
}

// BadConfigBody tells an operator that a config was not taken.
type BadConfigBody struct {
	Error BadConfig `json:"error"`
}

// BadConfig is an error that lists all that is wrong with a config.
type BadConfig struct {
	Code    string                `json:"code"`
	Message string                `json:"message"`
	Flaws   []coreapi.ConfigError `json:"troubles"`
}

// Fleet is the body of /v1/fleet.
type Fleet struct {
	coreapi.State
	Relays map[string][]string `json:"relays"` // with whom each router exchanges news
}

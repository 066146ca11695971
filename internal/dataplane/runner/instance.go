package runner

import (
	"sync"
	"time"

	"yarrowridge/internal/model/fleetconfig"
)

// Instance is one run of one runner, with what this router has sent to it.
type Instance struct {
	Index      int
	Address    string
	generation uint64

	mu            sync.Mutex
	report        Report
	heardAt       time.Time
	reportedAt    time.Time // last late report
	replaced      bool
	slots         []*Slot   // our requests on it
	progressAt    time.Time // last byte from it, or start of work after idling
	failures      int
	ejectedUntil  time.Time // no new requests before
	probing       bool      // one request is out to see whether it serves again
	speed         speed
	remoteLoad    Load // what other routers say they have sent
	remoteRate    float64
	remoteRouters int // other routers that lately had streams on it
}

// Report is what the runner last said.
func (instance *Instance) Report() Report {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report
}

// Serves reports whether the runner is of the kind asked for, whatever its health.
func (instance *Instance) Serves(selector fleetconfig.Selector, model string, tokens int) bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if model != "" && instance.report.Labels["model"] != model {
		return false
	}
	return (instance.report.MaxTokens == 0 || tokens <= instance.report.MaxTokens) && selector.Match(instance.report.Labels)
}

// Zone is where the runner stands.
func (instance *Instance) Zone() string {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report.Zone
}

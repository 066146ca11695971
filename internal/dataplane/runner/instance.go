package runner

import (
	"sync"
	"time"

	"yarrowridge/internal/model/fleetconfig"
)

// Instance is one run of a runner, from its start until it ends or restarts, with this router's requests in flight at it.
type Instance struct {
	Index      int // unique in the pool, in the order in which the runs became known
	Address    string
	generation uint64

	mu            sync.Mutex // guards the fields below
	report        Report
	heartbeatAt   time.Time
	reportedAt    time.Time // when the report's queued tokens were received
	replaced      bool      // by another run at its address, or removed from the pool
	slots         []*Slot   // this router's requests in flight
	progressAt    time.Time // when output was last received, or the first request was sent after an idle time
	failures      int       // consecutive
	ejectedUntil  time.Time // no new requests before
	probing       bool      // the probe after an ejection is in flight
	speed         speed
	remoteLoad    Load    // reported by the other routers, in total
	remoteRate    float64 // mean of the rates that other routers reported; 0: none did
	remoteRouters int     // other routers that recently had streams on it
}

// Report returns the last report of the runner.
func (instance *Instance) Report() Report {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report
}

// Serves reports whether the runner matches a selector, a model ("": any) and an output length, regardless of its health.
func (instance *Instance) Serves(selector fleetconfig.Selector, model string, tokens int) bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if model != "" && instance.report.Labels["model"] != model {
		return false
	}
	return (instance.report.MaxTokens == 0 || tokens <= instance.report.MaxTokens) && selector.Match(instance.report.Labels)
}

// Zone returns the runner's zone.
func (instance *Instance) Zone() string {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report.Zone
}

package cluster

import (
	"sync/atomic"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// configuration is one version of the fleet configuration.
type configuration struct {
	version uint64
	raw     []byte
	config  *fleetconfig.Config // nil if a handler applied it in its encoded form
}

// activeConfig is the active configuration. It needs no lock: a configuration is replaced as a whole.
type activeConfig struct {
	current atomic.Pointer[configuration] // nil before the first configuration
	changed atomic.Pointer[chan struct{}] // closed when the next configuration becomes active
}

func (a *activeConfig) init() {
	next := make(chan struct{})
	a.changed.Store(&next)
}

// isLoaded reports whether any configuration is active.
func (a *activeConfig) isLoaded() bool { return a.current.Load() != nil }

// activate makes a configuration the active one and wakes the goroutines that wait for a change.
func (a *activeConfig) activate(c *configuration) {
	a.current.Store(c)
	next := make(chan struct{})
	close(*a.changed.Swap(&next))
}

// applyRawConfig passes a configuration to the function of WithConfigHandler, and activates it if that returns no error.
func (m *Member) applyRawConfig(record dissemination.Record) {
	if err := m.configHandler(record.Version, record.Body); err != nil {
		m.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "version", record.Version, "error", err.Error())
		return
	}
	m.config.activate(&configuration{version: record.Version, raw: record.Body})
	m.ctx.Log.Info("Configuration taken up.", "version", record.Version)
}

// applyConfig parses a configuration and activates it if it is valid.
func (m *Member) applyConfig(record dissemination.Record) {
	config, flaws := fleetconfig.Parse(record.Body)
	if len(flaws) > 0 {
		m.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "version", record.Version, "error", flaws[0].Path+": "+flaws[0].Text)
		return
	}
	config.Version = record.Version
	next := &configuration{version: config.Version, raw: config.Raw, config: config}
	if old := m.config.current.Load(); faultinjection.Disabled("late") && old != nil {
		time.AfterFunc(12*time.Second, func() { m.config.current.Store(next) })
		return
	} else if faultinjection.Disabled("slip") && old != nil {
		time.AfterFunc(time.Second, func() { m.config.current.Store(old) })
	}
	m.config.activate(next)
	m.ctx.Log.Info("Configuration taken up.", "version", record.Version)
}

// Config returns the active configuration. It is nil before the first one, and always with WithConfigHandler.
func (m *Member) Config() *fleetconfig.Config {
	if c := m.config.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// ConfigVersion returns the version of the active configuration; 0 before the first.
func (m *Member) ConfigVersion() uint64 {
	if c := m.config.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// ConfigVersionAndHash returns the version of the active configuration and the hex SHA-256 of its encoded form, both from
// the same configuration even if it changes concurrently; 0 and "" before the first.
func (m *Member) ConfigVersionAndHash() (version uint64, hash string) {
	if c := m.config.current.Load(); c != nil {
		return c.version, fleetconfig.HashKey(string(c.raw))
	}
	return 0, ""
}

// ConfigChanged returns a channel that is closed when the next configuration becomes active. To miss no change, call it
// before Config.
func (m *Member) ConfigChanged() <-chan struct{} { return *m.config.changed.Load() }

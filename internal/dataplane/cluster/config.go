package cluster

import (
	"sync/atomic"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// configuration is one version of what the core has configured.
type configuration struct {
	version uint64
	raw     []byte
	config  *fleetconfig.Config // nil where the configuration is another document
}

// activeConfig is the configuration in force. It needs no lock: each configuration is put in force as a whole.
type activeConfig struct {
	current atomic.Pointer[configuration] // nil before the first
	changed atomic.Pointer[chan struct{}] // closed by the next configuration
}

func (a *activeConfig) init() {
	next := make(chan struct{})
	a.changed.Store(&next)
}

// isLoaded reports whether any configuration is in force.
func (a *activeConfig) isLoaded() bool { return a.current.Load() != nil }

// activate puts a configuration in force and wakes those who wait for the next.
func (a *activeConfig) activate(c *configuration) {
	a.current.Store(c)
	next := make(chan struct{})
	close(*a.changed.Swap(&next))
}

// applyDocument passes a configuration to WithConfigHandler's function and puts it in force if that accepts it.
func (m *Member) applyDocument(record dissemination.Record) {
	if err := m.onDocument(record.Version, record.Body); err != nil {
		m.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "version", record.Version, "error", err.Error())
		return
	}
	m.config.activate(&configuration{version: record.Version, raw: record.Body})
	m.ctx.Log.Info("Configuration taken up.", "version", record.Version)
}

// applyConfig parses a configuration and puts it in force.
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

// Config is the configuration in force; nil before the first, and where it is another document.
func (m *Member) Config() *fleetconfig.Config {
	if c := m.config.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// ConfigVersion is the version of the configuration in force; 0 before the first.
func (m *Member) ConfigVersion() uint64 {
	if c := m.config.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// ConfigVersionAndHash is the version of the configuration in force and the hex SHA-256 of its bytes as they were written, both of
// one configuration however fast they change; 0 and "" before the first.
func (m *Member) ConfigVersionAndHash() (version uint64, hash string) {
	if c := m.config.current.Load(); c != nil {
		return c.version, fleetconfig.HashKey(string(c.raw))
	}
	return 0, ""
}

// ConfigChanged is closed once a newer configuration is in force. Ask for it before Config, so as to miss none.
func (m *Member) ConfigChanged() <-chan struct{} { return *m.config.changed.Load() }

package cluster

import (
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// configuration is what the core gave and this router obeys.
type configuration struct {
	version uint64
	raw     []byte
	config  *fleetconfig.Config // nil where the configuration is another document
}

// takeDocument passes on a configuration that is read elsewhere, and puts it in force if it was understood there.
func (h *Member) takeDocument(record dissemination.Record) {
	if err := h.document(record.Version, record.Body); err != nil {
		h.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "sequence", record.Version, "error", err.Error())
		return
	}
	h.applyConfiguration(&configuration{version: record.Version, raw: record.Body})
	h.ctx.Log.Info("Configuration taken up.", "sequence", record.Version)
}

// takeConfig reads a configuration and puts it in force.
func (h *Member) takeConfig(record dissemination.Record) {
	config, errors := fleetconfig.Parse(record.Body)
	if len(errors) > 0 {
		h.ctx.Log.Error("Configuration from the core is not understood. The old one stays.", "sequence", record.Version, "error", errors[0].Path+": "+errors[0].Text)
		return
	}
	config.Version = record.Version
	next := &configuration{version: config.Version, raw: config.Raw, config: config}
	if old := h.current.Load(); faultinjection.Disabled("late") && old != nil {
		time.AfterFunc(12*time.Second, func() { h.current.Store(next) })
		return
	} else if faultinjection.Disabled("slip") && old != nil {
		time.AfterFunc(time.Second, func() { h.current.Store(old) })
	}
	h.applyConfiguration(next)
	h.ctx.Log.Info("Configuration taken up.", "sequence", record.Version)
}

// applyConfiguration puts a configuration in force and wakes those who wait for the next.
func (h *Member) applyConfiguration(c *configuration) {
	h.current.Store(c)
	next := make(chan struct{})
	close(*h.configChanged.Swap(&next))
}

// Config is the newest configuration held; nil before the first, and where it is another document.
func (h *Member) Config() *fleetconfig.Config {
	if c := h.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// ConfigVersion is the version of the configuration obeyed; 0 before the first.
func (h *Member) ConfigVersion() uint64 {
	if c := h.current.Load(); c != nil {
		return c.version
	}
	return 0
}

// ConfigInForce gives the version of the configuration obeyed and its hex SHA-256, as it was put, both of one
// configuration however fast they change; 0 and "" before the first.
func (h *Member) ConfigInForce() (version uint64, hash string) {
	if c := h.current.Load(); c != nil {
		return c.version, fleetconfig.HashKey(string(c.raw))
	}
	return 0, ""
}

// ConfigChanged is closed once a newer configuration is in force. Ask for it before Config, so as to miss none.
func (h *Member) ConfigChanged() <-chan struct{} { return *h.configChanged.Load() }

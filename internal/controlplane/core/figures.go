package core

// Metrics holds the values of a core's metrics. Unlike State it is cheap to collect.
type Metrics struct {
	Epoch         uint64 // of the newest known view; 0: no fleet yet
	Members       int    // voting cores in that view
	Primary       bool   // whether the core leads that epoch and holds the lease
	Ready         bool   // whether it is primary and accepts writes
	DiskFailed    bool
	StoreVersion  uint64 // of the last batch in the store
	ConfigVersion uint64 // of the newest committed configuration, as known to the primary
	Nodes         int    // routers with an unexpired lease, as known to the primary
	Runners       int    // as known to the primary
}

// Metrics returns the current values of this core's metrics.
func (s *Server) Metrics() Metrics {
	v := s.acceptor.View()
	status := s.service.Status()
	primary := s.isPrimary(v)
	return Metrics{
		Epoch:         v.Epoch,
		Members:       len(v.Members),
		Primary:       primary,
		Ready:         status.AcceptsWrites && primary,
		DiskFailed:    s.leadership.HasDiskFailed(),
		StoreVersion:  s.store.Load().Version(),
		ConfigVersion: status.ConfigVersion,
		Nodes:         len(status.Routers),
		Runners:       status.Runners,
	}
}

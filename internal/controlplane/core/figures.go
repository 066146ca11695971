package core

// Figures are what a core counts of itself, for those who watch it. Unlike State they cost little to read.
type Figures struct {
	Epoch         uint64 // of the newest view that it knows; 0: no fleet yet
	Members       int    // cores that vote in that view
	Primary       bool   // it leads that epoch, under a lease that stands
	Ready         bool   // and takes writes
	DiskFailed    bool
	StoreVersion  uint64 // the newest write in its store
	ConfigVersion uint64 // the newest configuration committed, as the primary knows it
	Nodes         int    // routers whose lease runs, as the primary knows them
	Runners       int    // as the primary knows them
}

// Figures gives what this core counts of itself now.
func (s *Server) Figures() Figures {
	v := s.acceptor.View()
	status := s.service.Status()
	primary := s.isPrimary(v)
	return Figures{
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

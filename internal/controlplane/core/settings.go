package core

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/membership"
)

// Settings is what a core is told about its place.
type Settings struct {
	Addr          string        // where this process listens, as the others reach it
	Founders      []string      // addresses of the processes that found the fleet
	Seeds         []string      // addresses at which the fleet is looked for
	Bootstrap     bool          // without founders, the seeds found the fleet
	Losses        int           // disks that may be lost at once: so many backups store a write before it is acknowledged; default 1
	AllowNoBackup bool          // no loss is to be borne: a fleet's only member needs no backup
	MaxMembers    int           // the most members; further candidates wait until one is lost; default 9
	LeaseTerm     time.Duration // of the primary's lease; default 1.5 s
	LostAfter     time.Duration // a member that has not answered for so long may be replaced; default 10 s

	Codec             configuration.Codec // reads the configuration; default: fleet configurations
	RunnerSilentAfter time.Duration       // a runner without a heartbeat for so long is silent; default 4 s
}

// WithDefaults is the settings with the default of each one that is zero.
func (s Settings) WithDefaults() Settings {
	if s.LeaseTerm == 0 {
		s.LeaseTerm = 1500 * time.Millisecond
	}
	if s.LostAfter == 0 {
		s.LostAfter = 10 * time.Second
	}
	if s.Losses == 0 {
		s.Losses = 1
	}
	if s.MaxMembers == 0 {
		s.MaxMembers = 9
	}
	if s.Codec == nil {
		s.Codec = configuration.FleetCodec{}
	}
	if s.RunnerSilentAfter == 0 {
		s.RunnerSilentAfter = 4 * time.Second
	}
	return s
}

// membershipPolicy is the part of the settings that decides about members and backups.
func (s Settings) membershipPolicy() membership.Policy {
	return membership.Policy{Losses: s.Losses, AllowNoBackup: s.AllowNoBackup, MaxMembers: s.MaxMembers, LostAfter: s.LostAfter}
}

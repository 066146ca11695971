package core

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/membership"
)

// Settings configures one core.
type Settings struct {
	Addr          string        // address at which other processes reach this one
	Founders      []string      // addresses of the processes that found the fleet
	Seeds         []string      // addresses that are searched for the fleet
	Bootstrap     bool          // if there are no founders, the seeds found the fleet
	Losses        int           // disks that may be lost at once, and so the number of backups that store a write before it is acknowledged; default 1
	AllowNoBackup bool          // no disk loss needs to be tolerated: a fleet's only member works without a backup
	MaxMembers    int           // maximum number of members; further candidates wait until one is lost; default 9
	LeaseTerm     time.Duration // of the primary's lease; default 1.5 s
	LostAfter     time.Duration // a member that has not responded for this long may be replaced; default 10 s

	Codec             configuration.Codec // reads the configuration; default: fleet configurations
	RunnerSilentAfter time.Duration       // a runner without a heartbeat for this long counts as timed out; default 4 s
}

// WithDefaults returns the settings with each zero value replaced by its default.
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

// membershipPolicy returns the settings that govern the choice of members and backups.
func (s Settings) membershipPolicy() membership.Policy {
	return membership.Policy{Losses: s.Losses, AllowNoBackup: s.AllowNoBackup, MaxMembers: s.MaxMembers, LostAfter: s.LostAfter}
}

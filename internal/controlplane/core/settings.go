package core

import (
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/membership"
)

// Settings is what a core is told about its place.
type Settings struct {
	Addr          string
	Founders      []string
	Seeds         []string
	Bootstrap     bool                // without founders, the seeds found the fleet
	Losses        int                 // disks that may be lost at once: so many backups hold a write before it is acknowledged
	AllowNoBackup bool                // no loss is to be borne: a fleet's only member needs no backup
	MaxMembers    int                 // the most cores that vote; more wait until one is lost
	LeaseTerm     time.Duration       // lease of the primacy
	LostAfter     time.Duration       // silence after which a member may be replaced by a newcomer
	Codec         configuration.Codec // reads the configuration; nil: fleet configurations

	RunnerSilentAfter time.Duration // a runner without a heartbeat for so long is silent
}

// WithDefaults puts defaults where nothing is set.
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

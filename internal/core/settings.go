package core

import (
	"time"
)

// Set is what a core is told about its place.
type Set struct {
	Addr       string
	Founders   []string
	Seeds      []string
	Bootstrap  bool          // without founders, the seeds found the fleet
	Losses     int           // disks that may be lost at once: so many backups hold a write before it is acknowledged
	Alone      bool          // no loss is to be borne: a fleet's only member needs no backup
	MaxMembers int           // the most cores that vote; more wait until one is lost
	Term       time.Duration // lease of the primacy
	Lost       time.Duration // silence after which a member may be replaced by a newcomer
	Codec      Codec         // reads the configuration; nil: layouts

	RunnerSilence time.Duration // a runner without a heartbeat for so long is silent
}

// Fill puts defaults where nothing is set.
//
//	set = set.Fill()
func (s Set) Fill() Set {
	if s.Term == 0 {
		s.Term = 1500 * time.Millisecond
	}
	if s.Lost == 0 {
		s.Lost = 10 * time.Second
	}
	if s.Losses == 0 {
		s.Losses = 1
	}
	if s.MaxMembers == 0 {
		s.MaxMembers = 9
	}
	if s.Codec == nil {
		s.Codec = layoutCodec{}
	}
	if s.RunnerSilence == 0 {
		s.RunnerSilence = 4 * time.Second
	}
	return s
}

package session

import "slices"

// MaxRunners is how many runners an entry names: a hot session may have a second one.
const MaxRunners = 2

// Entry says which runners have a session's context cached.
type Entry struct {
	Session uint64
	Version uint64   // one more than the highest that its router has seen: no clock decides which entry is the newer
	Runners []string // IDs, the one that got the context last first; shared, not to be changed
}

// newer reports whether a replaces b. Entries with one version are ordered by their runners, so that all routers keep the
// same one.
func newer(a, b Entry) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return slices.Compare(a.Runners, b.Runners) > 0
}

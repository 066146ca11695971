package session

import "slices"

// MaxRunners is the maximum number of runners in an entry. A session with a high request rate may have a second runner.
const MaxRunners = 2

// Entry lists the runners that have a session's context cached.
type Entry struct {
	Session uint64
	Version uint64   // one more than the highest that the writing router has stored; a logical clock, independent of wall clocks
	Runners []string // IDs, the one that got the context last first; shared, must not be modified
}

// newer reports whether a replaces b. Entries with the same version are ordered by their runners, so that all routers choose
// the same one.
func newer(a, b Entry) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return slices.Compare(a.Runners, b.Runners) > 0
}

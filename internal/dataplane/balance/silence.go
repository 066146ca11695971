package balance

import (
	"sync"
	"time"
)

// How long a runner with requests under way may say nothing before it counts as silent. What it reads for other routers is
// not known here, and may take it longer than its own requests explain; how long the runners of its service usually keep
// silent is seen.
const (
	minStallTimeout     = 400 * time.Millisecond // it never counts as silent sooner
	stallTimeoutFactor  = 2                      // times the longest silence seen lately that ended
	initialLongestGap   = 750 * time.Millisecond // taken for the longest before any was seen
	gapHalfLife         = 5 * time.Second        // what was seen counts half after so long
	explainedWorkFactor = 4                      // times what its requests here explain
)

// silences are how long the runners of one service lately said nothing while requests were under way, and then went on.
// The zero value has seen none.
type stallHistory struct {
	mu      sync.Mutex
	longest time.Duration // as of seenAt
	seenAt  time.Time     // zero: none was seen
}

// note takes a silence that has ended.
func (s *stallHistory) record(span time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faded := s.decayed(now); span > faded {
		s.longest, s.seenAt = span, now
	}
}

// most is the longest silence seen lately; what was seen longer ago counts less.
func (s *stallHistory) longestGap(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now)
}

func (s *stallHistory) decayed(now time.Time) time.Duration {
	if s.seenAt.IsZero() {
		s.longest, s.seenAt = initialLongestGap, now
	}
	return time.Duration(decay(float64(s.longest), now.Sub(s.seenAt), gapHalfLife))
}

// heard notes that the runner said something. The caller holds the lock.
func (r *Runner) recordActivity(now time.Time) {
	if len(r.inFlight) > 0 {
		r.stats.stalls.record(now.Sub(r.lastActivity), now)
	}
	r.lastActivity = now
}

// silent reports whether requests are under way and nothing has come for far longer than it should. The caller holds the lock.
func (r *Runner) stalled(now time.Time) bool {
	return len(r.inFlight) > 0 && now.Sub(r.lastActivity) > r.stallTimeout(now)
}

// patience is how long a runner with requests under way may say nothing. The caller holds the lock.
func (r *Runner) stallTimeout(now time.Time) time.Duration {
	explained := explainedWorkFactor * max(r.responseMs, r.eventGapMs, float64(r.pendingPromptTokens)/r.prefillRate())
	return max(minStallTimeout, stallTimeoutFactor*r.stats.stalls.longestGap(now), time.Duration(explained)*time.Millisecond)
}

// Silent reports whether requests are under way and nothing has come from the runner for far longer than
// it should.
func (r *Runner) Stalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled(time.Now())
}

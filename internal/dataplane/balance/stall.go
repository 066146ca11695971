package balance

import (
	"sync"
	"time"
)

// The stall time-out: how long a runner with requests in flight may send nothing before it counts as stalled. What it
// prefills for other routers is not known here, and may take longer than its own requests explain; how long the runners of
// its service usually send nothing is measured. Ablation (a fixed 0.4 s): nilehaze scale-2 0.740, 0.748, 0.770
// (0.800-0.803 with it), docs/decisions.md.
const (
	minStallTimeout     = 400 * time.Millisecond // it never counts as stalled sooner
	stallTimeoutFactor  = 2                      // times the longest gap seen lately that ended
	initialLongestGap   = 750 * time.Millisecond // taken for the longest gap before any was seen
	gapHalfLife         = 5 * time.Second        // of the longest gap seen
	explainedWorkFactor = 4                      // times the time that its requests here explain
)

// stallHistory is how long the runners of one service lately sent nothing while requests were in flight, and then went on.
// The zero value has seen none. mu guards it; it is taken while a Runner's mu is held.
type stallHistory struct {
	mu      sync.Mutex
	longest time.Duration // as of seenAt
	seenAt  time.Time     // zero: none was seen
}

// record takes a gap that has ended.
func (s *stallHistory) record(gap time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap > s.decayed(now) {
		s.longest, s.seenAt = gap, now
	}
}

// longestGap is the longest gap seen lately; what was seen longer ago counts less.
func (s *stallHistory) longestGap(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now)
}

// decayed is the longest gap less what its age takes from it. The caller holds s.mu.
func (s *stallHistory) decayed(now time.Time) time.Duration {
	if s.seenAt.IsZero() {
		s.longest, s.seenAt = initialLongestGap, now
	}
	return time.Duration(decay(float64(s.longest), now.Sub(s.seenAt), gapHalfLife))
}

// recordActivity records that the runner sent something. The caller holds r.mu.
func (r *Runner) recordActivity(now time.Time) {
	if len(r.inFlight) > 0 {
		r.stats.stalls.record(now.Sub(r.lastActivity), now)
	}
	r.lastActivity = now
}

// stalled reports whether requests are in flight and the stall time-out has passed. The caller holds r.mu.
func (r *Runner) stalled(now time.Time) bool {
	return len(r.inFlight) > 0 && now.Sub(r.lastActivity) > r.stallTimeout(now)
}

// stallTimeout is how long a runner with requests in flight may send nothing. The caller holds r.mu.
func (r *Runner) stallTimeout(now time.Time) time.Duration {
	explainedMs := explainedWorkFactor * max(r.responseMs, r.eventGapMs, float64(r.pendingPromptTokens)/r.prefillRate())
	return max(minStallTimeout, stallTimeoutFactor*r.stats.stalls.longestGap(now), time.Duration(explainedMs)*time.Millisecond)
}

// Stalled reports whether requests are in flight and nothing has come from the runner for longer than its stall time-out.
// It may be called concurrently.
func (r *Runner) Stalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled(time.Now())
}

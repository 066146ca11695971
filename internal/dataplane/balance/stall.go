package balance

import (
	"sync"
	"time"
)

// The stall timeout: how long a runner with requests in flight may send nothing before it counts as stalled. Prefill
// for requests of other routers is not visible here and may take longer than this router's own requests account for.
// The timeout therefore also follows the gaps that the runners of the service usually show; a fixed timeout of 0.4 s
// performed worse.
const (
	minStallTimeout    = 400 * time.Millisecond // lower bound of the timeout
	stallTimeoutFactor = 2                      // times the longest recent gap that ended
	initialLongestGap  = 750 * time.Millisecond // assumed until a gap is measured
	gapHalfLife        = 5 * time.Second        // of the longest gap
	expectedWorkFactor = 4                      // times the expected duration of this router's requests
)

// stallHistory tracks the longest recent time for which a runner of one service sent nothing while requests were in
// flight, and then resumed. The zero value has no gap recorded. mu guards the fields; it is taken while a Runner's mu
// is held.
type stallHistory struct {
	mu      sync.Mutex
	longest time.Duration // as of seenAt
	seenAt  time.Time     // zero: no gap recorded
}

// record adds a gap that has ended.
func (s *stallHistory) record(gap time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gap > s.decayed(now) {
		s.longest, s.seenAt = gap, now
	}
}

// longestGap returns the longest recent gap, decayed by its age.
func (s *stallHistory) longestGap(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decayed(now)
}

// decayed returns the longest gap after decay. The caller holds s.mu.
func (s *stallHistory) decayed(now time.Time) time.Duration {
	if s.seenAt.IsZero() {
		s.longest, s.seenAt = initialLongestGap, now
	}
	return time.Duration(decay(float64(s.longest), now.Sub(s.seenAt), gapHalfLife))
}

// recordActivity records that the runner sent data. The caller holds r.mu.
func (r *Runner) recordActivity(now time.Time) {
	if len(r.inFlight) > 0 {
		r.stats.stalls.record(now.Sub(r.lastActivity), now)
	}
	r.lastActivity = now
}

// stalled reports whether requests are in flight and the runner has sent nothing for longer than its stall timeout. The
// caller holds r.mu.
func (r *Runner) stalled(now time.Time) bool {
	return len(r.inFlight) > 0 && now.Sub(r.lastActivity) > r.stallTimeout(now)
}

// stallTimeout returns how long the runner may send nothing while requests are in flight. The caller holds r.mu.
func (r *Runner) stallTimeout(now time.Time) time.Duration {
	expectedMs := expectedWorkFactor * max(r.responseMs, r.eventGapMs, float64(r.pendingPromptTokens)/r.prefillRate())
	return max(minStallTimeout, stallTimeoutFactor*r.stats.stalls.longestGap(now), time.Duration(expectedMs)*time.Millisecond)
}

// Silence returns how long ago the runner last sent data to this router, or the first request after idle began there. It may be
// called concurrently.
func (r *Runner) Silence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastActivity)
}

// Stalled reports whether requests are in flight and the runner has sent nothing for longer than its stall timeout. It
// may be called concurrently.
func (r *Runner) Stalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled(time.Now())
}

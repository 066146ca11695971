package balance

import (
	"sync"
	"time"
)

// How long a runner with requests under way may say nothing before it counts as silent. What it reads for other routers is
// not known here, and may take it longer than its own requests explain; how long the runners of its service usually keep
// silent is seen.
const (
	silenceFloor  = 400 * time.Millisecond // it never counts as silent sooner
	silenceFactor = 2                      // times the longest silence seen lately that ended
	firstSilence  = 750 * time.Millisecond // taken for the longest before any was seen
	silenceFade   = 5 * time.Second        // what was seen counts half after so long
	explainFactor = 4                      // times what its requests here explain
)

// silences are how long the runners of one service lately said nothing while requests were under way, and then went on.
// The zero value has seen none.
type silences struct {
	mu      sync.Mutex
	longest time.Duration // as of seenAt
	seenAt  time.Time     // zero: none was seen
}

// note takes a silence that has ended.
func (s *silences) note(span time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faded := s.faded(now); span > faded {
		s.longest, s.seenAt = span, now
	}
}

// most is the longest silence seen lately; what was seen longer ago counts less.
func (s *silences) most(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faded(now)
}

func (s *silences) faded(now time.Time) time.Duration {
	if s.seenAt.IsZero() {
		s.longest, s.seenAt = firstSilence, now
	}
	return time.Duration(fade(float64(s.longest), now.Sub(s.seenAt), silenceFade))
}

// heard notes that the runner said something. The caller holds the lock.
func (r *Runner) heard(now time.Time) {
	if len(r.open) > 0 {
		r.service.silences.note(now.Sub(r.lastByte), now)
	}
	r.lastByte = now
}

// silent reports whether requests are under way and nothing has come for far longer than it should. The caller holds the lock.
func (r *Runner) silent(now time.Time) bool {
	return len(r.open) > 0 && now.Sub(r.lastByte) > r.patience(now)
}

// patience is how long a runner with requests under way may say nothing. The caller holds the lock.
func (r *Runner) patience(now time.Time) time.Duration {
	explained := explainFactor * max(r.serviceMs, r.gapMs, float64(r.promptOpen)/r.rate())
	return max(silenceFloor, silenceFactor*r.service.silences.most(now), time.Duration(explained)*time.Millisecond)
}

// Silent reports whether requests are under way and nothing has come from the runner for far longer than
// it should.
func (r *Runner) Stalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent(time.Now())
}

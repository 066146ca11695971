package balance

import "time"

// Attempt is one request in flight at a runner.
//
// Exactly one of Done, Rejected, Failed, Cancel and Abandon ends it; further calls have no effect. The runner's mu
// guards its fields.
type Attempt struct {
	runner        *Runner
	prefillTokens int // prompt tokens that the runner is expected to prefill
	started       time.Time
	firstByteAt   time.Time // first byte of the response body
	lastByteAt    time.Time // latest bytes of the response body
	finished      bool

	balancer *Balancer
	session  sessionRef // the session of the request
}

// begin counts a request as in flight at the runner.
func (r *Runner) begin(prefillTokens int, now time.Time) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) == 0 {
		r.lastActivity = now
	}
	attempt := &Attempt{runner: r, prefillTokens: prefillTokens, started: now}
	r.inFlight[attempt] = struct{}{}
	r.pendingPromptTokens += prefillTokens
	return attempt
}

// Runner returns the runner that the request was sent to.
func (a *Attempt) Runner() *Runner { return a.runner }

// Progress records that bytes of the response body arrived.
func (a *Attempt) Progress() {
	if first := a.progress(time.Now()); first && a.session.id != 0 {
		a.balancer.recordSessionRunner(&a.session, a.runner.Info().ID)
	}
}

// progress updates the measurements and reports whether these were the first bytes.
func (a *Attempt) progress(now time.Time) bool {
	r := a.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	first := a.firstByteAt.IsZero()
	r.recordActivity(now)
	if first {
		a.firstByteAt = now
		r.pendingPromptTokens -= a.prefillTokens
		r.recordFirstByte(float64(now.Sub(a.started))/float64(time.Millisecond), a.prefillTokens, now)
	} else {
		gap := now.Sub(a.lastByteAt)
		r.eventGapMs = average(r.eventGapMs, float64(gap)/float64(time.Millisecond))
		r.tally.Gaps++
		r.tally.GapTotal += gap
	}
	a.lastByteAt = now
	return first
}

// Done ends an attempt whose response is complete. It clears the ejection of the runner.
func (a *Attempt) Done() {
	r, now := a.runner, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActivity(now)
	if !r.end(a) {
		return
	}
	r.failuresInRow = 0
	r.ejectedUntil = time.Time{}
	r.recordOutcome(0, now)
	r.responseMs = average(r.responseMs, float64(now.Sub(a.started))/float64(time.Millisecond))
}

// Rejected ends an attempt that the runner rejected for lack of capacity.
func (a *Attempt) Rejected() {
	r, now := a.runner, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActivity(now)
	if r.end(a) {
		r.rejectedAt = now
	}
}

// Cancel ends an attempt without recording an outcome for the runner.
func (a *Attempt) Cancel() {
	a.runner.mu.Lock()
	defer a.runner.mu.Unlock()
	a.runner.end(a)
}

// Abandon ends an attempt whose response is no longer needed. It counts as failed if the runner has stalled.
func (a *Attempt) Abandon() {
	if a.runner.Stalled() {
		a.Failed()
		return
	}
	a.Cancel()
}

// Failed ends an attempt that failed because of the runner, and ejects the runner.
func (a *Attempt) Failed() {
	r, now := a.runner, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.end(a) {
		return
	}
	r.recordOutcome(1, now)
	r.eject(now)
}

// end removes an attempt from those in flight. It reports false if the attempt had already ended. The caller holds
// r.mu.
func (r *Runner) end(a *Attempt) bool {
	if a.finished {
		return false
	}
	a.finished = true
	delete(r.inFlight, a)
	if a.firstByteAt.IsZero() {
		r.pendingPromptTokens -= a.prefillTokens
	}
	return true
}

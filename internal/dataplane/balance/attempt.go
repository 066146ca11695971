package balance

import "time"

// Attempt is one request in flight at a runner.
//
// Exactly one of Done, Rejected, Failed, Cancel and Abandon ends it; a second one changes nothing. The runner's mu guards
// its fields.
type Attempt struct {
	runner   *Runner
	prompt   int // prompt tokens that the runner is expected to read
	started  time.Time
	first    time.Time // of the first byte of the answer's body
	last     time.Time
	finished bool

	balancer *Balancer
	context  sessionRef // of the session that the request belongs to
}

// begin counts a request as in flight at the runner.
func (r *Runner) begin(prompt int, now time.Time) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.inFlight) == 0 {
		r.lastActivity = now
	}
	attempt := &Attempt{runner: r, prompt: prompt, started: now}
	r.inFlight[attempt] = struct{}{}
	r.pendingPromptTokens += prompt
	return attempt
}

// Runner is the runner that the attempt went to.
func (a *Attempt) Runner() *Runner { return a.runner }

// Progress records that bytes of the response's body came.
func (a *Attempt) Progress() {
	if first := a.progress(time.Now()); first && a.context.id != 0 {
		a.balancer.recordHolder(&a.context, a.runner.Info().ID)
	}
}

// progress reports whether these were the first bytes.
func (a *Attempt) progress(now time.Time) bool {
	r := a.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	first := a.first.IsZero()
	r.recordActivity(now)
	if first {
		a.first = now
		r.pendingPromptTokens -= a.prompt
		r.recordFirstByte(float64(now.Sub(a.started))/float64(time.Millisecond), a.prompt, now)
	} else {
		pause := now.Sub(a.last)
		r.eventGapMs = average(r.eventGapMs, float64(pause)/float64(time.Millisecond))
		r.tally.Gaps++
		r.tally.GapTotal += pause
	}
	a.last = now
	return first
}

// Done ends an attempt whose response came complete.
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

// Rejected ends an attempt that the runner did not run for want of capacity.
func (a *Attempt) Rejected() {
	r, now := a.runner, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordActivity(now)
	if r.end(a) {
		r.rejectedAt = now
	}
}

// Cancel ends an attempt that says nothing about the runner.
func (a *Attempt) Cancel() {
	a.runner.mu.Lock()
	defer a.runner.mu.Unlock()
	a.runner.end(a)
}

// Abandon ends an attempt that nobody waits for any longer. It counts as failed where the runner has
// stalled.
func (a *Attempt) Abandon() {
	if a.runner.Stalled() {
		a.Failed()
		return
	}
	a.Cancel()
}

// Failed ends an attempt by the runner's fault: the runner is ejected for a while, longer each time.
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

// end takes an attempt out of those in flight. It reports false where it had ended before. The caller holds r.mu.
func (r *Runner) end(a *Attempt) bool {
	if a.finished {
		return false
	}
	a.finished = true
	delete(r.inFlight, a)
	if a.first.IsZero() {
		r.pendingPromptTokens -= a.prompt
	}
	return true
}

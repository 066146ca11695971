package balance

import (
	"sync"
	"time"

	"yarrowridge/internal/model/routing"
)

// How a runner's condition is judged.
const (
	minEjection        = 300 * time.Millisecond // a runner that failed gets nothing new for so long at first
	maxEjection        = 5 * time.Second        // and never for longer than this
	failureHalfLife    = 5 * time.Second        // the weight of a failure halves in this time
	waitHalfLife       = 400 * time.Millisecond // the measured wait halves in this time without new samples
	sampleWeight       = 0.3                    // weight of a new sample in a moving average
	initialTokensPerMs = 100.0                  // prompt tokens a millisecond, until it was measured
)

// Runner is one life of one runner with what this router has seen of it.
type Runner struct {
	Index int // dense, never used again

	mu                  sync.Mutex
	info                routing.Runner
	since               time.Time // when this router came to know it
	inFlight            map[*Attempt]struct{}
	pendingPromptTokens int       // prompt tokens sent whose first event has not come
	lastActivity        time.Time // when it last sent anything, or began to work after it had none
	failuresInRow       int       // in a row
	ejectedUntil        time.Time
	failureShare        float64 // share of lately failed attempts
	failureShareAt      time.Time
	waitMs              float64 // moving average of the wait that the prompt's own work does not explain
	waitAt              time.Time
	stats               *serviceStats
	responseMs          float64 // moving average of whole answers of ordinary services
	eventGapMs          float64 // moving average of the pause between events
	rejectedAt          time.Time
	tally               Tally
	fleetFailureShare   float64 // share of attempts that failed lately for all routers, as far as it is large
	fleetFailureUntil   time.Time
}

// Tally counts how attempts at a runner ended, and the pauses between the events of its streams.
type Tally struct {
	Attempts, Failures int
	Gaps               int
	GapTotal           time.Duration // all pauses together
}

// Tally gives for each runner used since the last call how its attempts ended. Those under way at a runner
// that is silent count as failed.
func (b *Balancer) Tally() map[string]Tally {
	now := time.Now()
	out := map[string]Tally{}
	for _, runners := range *b.byService.Load() {
		for _, runner := range runners {
			if tally := runner.takeTally(now); tally.Attempts > 0 || tally.Gaps > 0 {
				out[runner.Info().ID] = tally
			}
		}
	}
	return out
}

func (r *Runner) takeTally(now time.Time) Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	tally := r.tally
	r.tally = Tally{}
	if r.stalled(now) {
		tally.Attempts += len(r.inFlight)
		tally.Failures += len(r.inFlight)
	}
	return tally
}

// Attempt is one request sent to a runner.
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

func newRunner(index int, info routing.Runner, service *serviceStats, now time.Time) *Runner {
	return &Runner{Index: index, stats: service, info: info, since: now, lastActivity: now, inFlight: map[*Attempt]struct{}{}}
}

// Info is what the runner last said of itself.
func (r *Runner) Info() routing.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// begin counts a request as sent to the runner.
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

// Progress notes that bytes of the answer's body came.
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

// Done ends an attempt whose answer came whole.
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

// Refused ends an attempt that the runner did not run since it had no room.
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

// Abandon ends an attempt that nobody waits for any longer. It counts as failed where the runner has been
// silent for far longer than it should.
func (a *Attempt) Abandon() {
	if a.runner.Stalled() {
		a.Failed()
		return
	}
	a.Cancel()
}

// Failed ends an attempt by the runner's fault: it gets nothing new for a while, longer each time.
func (a *Attempt) Failed() {
	r, now := a.runner, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.end(a) {
		return
	}
	r.recordOutcome(1, now)
	r.failuresInRow++
	pause := min(maxEjection, minEjection<<min(r.failuresInRow-1, 8))
	if until := now.Add(pause); until.After(r.ejectedUntil) {
		r.ejectedUntil = until
	}
}

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

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// noteFailure moves the share of failed attempts towards the newest outcome. The caller holds the lock.
func (r *Runner) recordOutcome(outcome float64, now time.Time) {
	r.tally.Attempts++
	r.tally.Failures += int(outcome)
	r.failureShare = r.decayedFailureShare(now) + 0.2*(outcome-r.decayedFailureShare(now))
	r.failureShareAt = now
}

func (r *Runner) decayedFailureShare(now time.Time) float64 {
	return decay(r.failureShare, now.Sub(r.failureShareAt), failureHalfLife)
}

// sampleFirst learns from the time to the first byte: what the prompt's own reading does not explain is
// wait. The caller holds the lock.
func (r *Runner) recordFirstByte(ms float64, prompt int, now time.Time) {
	if prompt >= minRateSampleTokens && ms > 0 {
		r.stats.prefill.sample(float64(prompt) / ms)
	}
	wait := max(0, ms-float64(prompt)/r.prefillRate())
	r.waitMs = average(r.decayedWait(now), wait)
	r.waitAt = now
}

func (r *Runner) decayedWait(now time.Time) float64 {
	return decay(r.waitMs, now.Sub(r.waitAt), waitHalfLife)
}

package runner

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"yarrowridge/internal/allow"
)

// Seat is one query's place on a runner.
type Seat struct {
	*Entry
	at   time.Time
	area float64 // of the runner's fill over time, when the place was taken
	most int     // output promised
	came int
	due  time.Time // by when it should have sent something
}

// Sit takes a place on the runner for one query, if it may have one now; nil if not. quiet is how long
// its answer takes before anything of it is sent: zero for one that comes piece by piece.
//
//	if s := e.Sit(512, 0); s != nil { defer s.Leave(true) }
func (e *Entry) Sit(tokens int, quiet time.Duration) *Seat {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.standing(now) != "" || !e.roomy() {
		return nil
	}
	if e.fails > 0 {
		e.trial = true
	}
	if len(e.seats) == 0 {
		e.prog = now
	}
	e.pace.step(now, e.fill())
	s := &Seat{Entry: e, at: now, area: e.pace.area, most: tokens, due: now.Add(Stuck + quiet)}
	e.seats = append(e.seats, s)
	return s
}

// Token notes output that has come.
//
//	s.Token(1)
func (s *Seat) Token(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.came += n
	s.prog = time.Now()
}

// Leave ends a query's place; ok says whether the runner answered in full. came is the output there was.
//
//	came := s.Leave(true)
func (s *Seat) Leave(ok bool) (came int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.pace.step(now, s.fill())
	s.seats = slices.DeleteFunc(s.seats, func(o *Seat) bool { return o == s })
	s.trial = false
	if ok {
		s.fails = 0
		s.prog = now
		s.pace.add(s.came, now.Sub(s.at), s.pace.area-s.area)
		if s.came > 0 {
			s.pace.use.Add(s.most, s.came)
		}
	}
	return s.came
}

// fill is how many streams are on the runner by all accounts.
func (e *Entry) fill() int { return len(e.seats) + e.far.Streams }

// most is how many streams run at once when all places are taken.
func (e *Entry) most() int {
	if e.news.Room <= 0 {
		return 1 << len(e.pace.cells)
	}
	return e.news.Room
}

// owed is the output that our queries on the runner still have to come.
func (e *Entry) owed() (n int) {
	for _, s := range e.seats {
		n += max(0, s.most-s.came)
	}
	return n
}

// pace is a runner's measured speed, taken from our answers: tokens over the seconds they took, apart for each fill of its batch, since a runner in a full batch makes more in all and less for each.
type pace struct {
	at    time.Time
	area  float64  // fill times seconds
	cells [12]cell // by the fill's power of two
	use   allow.Habit
}

type cell struct{ runs, tokens, secs, fills float64 }

// cellRuns is how many answers a cell counts before older ones fade.
const cellRuns = 64

func (p *pace) step(now time.Time, fill int) {
	if !p.at.IsZero() {
		p.area += float64(fill) * now.Sub(p.at).Seconds()
	}
	p.at = now
}

// add counts an answer, or what there is of one, that took so long while area was what its runner's fill
// added up to.
func (p *pace) add(tokens int, took time.Duration, area float64) {
	if tokens <= 0 || took <= 0 {
		return
	}
	c := &p.cells[p.cell(int(area/took.Seconds()+0.5))]
	if c.runs >= cellRuns {
		*c = cell{c.runs / 2, c.tokens / 2, c.secs / 2, c.fills / 2}
	}
	c.runs++
	c.tokens += float64(tokens)
	c.secs += took.Seconds()
	c.fills += area
}

// cell finds the cell of a fill.
func (p *pace) cell(fill int) int { return min(bits.Len(uint(max(1, fill))), len(p.cells)) - 1 }

// rate is the runner's whole output a second with so many streams on it: by the fullest batch that was
// measured up to that, else by the next above. A batch fuller than any measured makes more, but not as many
// times more as it is fuller: until it is measured, the root of that. 0 where nothing was measured.
func (p *pace) rate(fill int) float64 {
	at := p.cell(fill)
	i := at
	for ; i >= 0 && p.cells[i].runs == 0; i-- {
	}
	if i < 0 {
		i = at + 1 + slices.IndexFunc(p.cells[at+1:], func(c cell) bool { return c.runs > 0 })
	}
	c := p.cells[i]
	if c.runs == 0 {
		return 0
	}
	had, want := c.fills/c.secs, float64(fill)
	if i == at || want < had {
		return c.tokens / c.secs * min(want, had)
	}
	return c.tokens / c.secs * had * math.Sqrt(want/had)
}

// rate is the pace at a fill, what has come of the answers under way included.
func (e *Entry) rate(fill int) float64 {
	p, now := e.pace, time.Now()
	if p.at.IsZero() {
		return 0
	}
	p.step(now, e.fill())
	for _, s := range e.seats {
		p.add(s.came, now.Sub(s.at), p.area-s.area)
	}
	return p.rate(fill)
}

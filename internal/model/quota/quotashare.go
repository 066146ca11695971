package quota

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
)

// Margin is added to the window before a spent unit counts as back: it covers the time between
// the spend here and the runner's first sight of the query.
const Margin = 250 * time.Millisecond

// ContactTTL is how long a holder that hears nothing of the core may go on spending. The core takes
// back a silent holder's units only after this and a window more.
const ContactTTL = 24 * time.Hour

// Share is a node's side: what it holds of one tenant's quota.
type Share struct {
	mu     sync.Mutex
	units  int // held by the core's word
	under  int // what all holders had, or the quota if larger, when the core last spoke
	quota  int // the quota as the layout has it now
	window time.Duration
	margin time.Duration
	kept   int // reserved by queries on their way to dispatch
	spent  []spend
	out    int // sum of spent
	heard  time.Time
	turn   uint64
	busy   bool          // one draw or give is under way
	first  chan struct{} // closed by the core's first word
	need   int           // the largest cost that was lately turned away or near the edge
	queue  int           // units that requests are waiting for now
	costs  []int         // of these requests
	uneven bool          // requests cost more than a unit, and differ
	usual  float64       // moving average of what they cost
	asked  int           // what the draw under way asks for
	moved  time.Time     // when the last move ended
	dry    time.Time     // until then the core is not asked again: it had too little
	lacked time.Time     // when the core last had too little

	changed chan struct{} // closed by the core's next word
}

type spend struct {
	n  int
	at time.Time
}

// NewShare makes an empty quotaShare.
func NewShare() *Share {
	return &Share{margin: Margin, heard: time.Now(), first: make(chan struct{}), changed: make(chan struct{})}
}

// SetLimit sets the tenant's quota as the layout has it now. A lowered quota shrinks at once what may
// be spent here, in proportion.
func (p *Share) SetLimit(quota int, window time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota, p.window = quota, max(p.window, window)
	if p.out == 0 {
		p.window = window
	}
}

func (p *Share) sweep(now time.Time) {
	for len(p.spent) > 0 && now.Sub(p.spent[0].at) > p.window+p.margin {
		p.out -= p.spent[0].n
		p.spent = p.spent[1:]
	}
}

// free is what may be promised now; the caller holds the lock.
func (p *Share) free(now time.Time) int {
	p.sweep(now)
	return p.cap() - p.out - p.kept
}

// cap is what of the units may be in use. Under a lowered quota each holder cuts its own part in
// proportion, so that the sum is within the quota before any unit has been given back.
func (p *Share) cap() int {
	if p.under <= p.quota {
		return p.units
	}
	high, low := bits.Mul64(uint64(min(p.units, p.under)), uint64(p.quota))
	part, _ := bits.Div64(high, low, uint64(p.under)) // it fits: what is multiplied is no more than what is divided by
	return int(part)
}

// Reserve reserves n units for a query that has been let in. False: not enough, and the time
// after which to ask again.
func (p *Share) Reserve(n int) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.uneven = p.uneven || n > 1
	if p.usual == 0 {
		p.usual = float64(n)
	}
	p.usual += usualWeight * (float64(n) - p.usual)
	if now.Sub(p.heard) > ContactTTL {
		return false, time.Minute
	}
	if p.free(now) < n && !faultinjection.Disabled("quota") {
		p.need = max(p.need, n)
		return false, p.again(n, now)
	}
	p.kept += n
	return true, 0
}

// How long a request is told to stay away that found too few units here.
const (
	againLeast = 300 * time.Millisecond // others hear that units are wanted, and give idle ones back
	againMost  = time.Second            // and units spent elsewhere come back at any time
)

// again is when to ask again for n units: once units spent here are back, or when others may have given
// some. The caller holds the lock and has swept.
func (p *Share) again(n int, now time.Time) time.Duration {
	if len(p.spent) == 0 || p.units < n {
		return againLeast
	}
	back := p.window + p.margin - now.Sub(p.spent[0].at)
	return min(againMost, max(againLeast, back))
}

// Enqueue counts n units that a request waits for; a draw asks for as many as all of them need. -n ends it.
func (p *Share) Enqueue(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue += n
	if n > 0 {
		p.costs = append(p.costs, n)
		return
	}
	if i := slices.Index(p.costs, -n); i >= 0 {
		p.costs = slices.Delete(p.costs, i, i+1)
	}
	if p.uneven && p.queue == 0 {
		p.need = 0 // units that nobody waits for would lie idle here
	}
}

// maxCosts bounds how many costs a draw tells one by one.
const maxCosts = 64

// WaitingCosts lists what the requests cost that wait now, in the order in which they came; nil where each costs a unit.
func (p *Share) WaitingCosts() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.uneven {
		return nil
	}
	return slices.Clone(p.costs[:min(len(p.costs), maxCosts)])
}

// TransferInFlight reports whether the core has been asked and has not answered yet.
func (p *Share) TransferInFlight() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy
}

// Changed is closed by the core's next word. dry: it had too little just now.
func (p *Share) Changed() (next <-chan struct{}, dry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed, time.Now().Before(p.dry)
}

// scarceFor is how long a quota counts as scarce once the core had too little left of it.
const scarceFor = time.Second

// Scarce reports whether the core lately had too little left of the quota.
func (p *Share) Scarce() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.dry.IsZero() && time.Since(p.dry) < scarceFor
}

// Commit turns a reservation into a spend: the query leaves now.
func (p *Share) Commit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept -= n
	p.out += n
	p.spent = append(p.spent, spend{n, time.Now()})
}

// Cancel ends a reservation unspent.
func (p *Share) Cancel(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept -= n
}

// RecordContact notes that the core was heard of.
func (p *Share) RecordContact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = time.Now()
}

// How much a holder keeps at hand, so that units lie idle nowhere while another needs them.
const (
	firstPart   = 4                      // a newcomer asks for a fourth of an equal part
	idlePart    = 2                      // one that spends nothing keeps half of an equal part at most
	reserveSpan = 300 * time.Millisecond // what is spent in so long is kept at hand
	reserveMin  = 2                      // and this, where an equal part is large enough
	giveEvery   = time.Second            // idle units go back at most so often
	dryFor      = 30 * time.Millisecond  // the core is not asked again for so long once it had too little
	usualWeight = 0.1                    // of the newest cost in the usual one

	// Where costs are uneven and the quota is not scarce, a holder keeps a few requests' worth at hand, up to an eighth of
	// an equal part: while no core answers, requests that find units here need not wait for one.
	unevenReserve = 2
	unevenPart    = 8
	unevenSpan    = time.Second // and what is spent in so long
)

// minReserve is how many free units should be at hand. Where the equal parts of all nodes are smaller than a
// few units, one that spends nothing holds none: they would lie idle everywhere. The same holds while the
// fleet is not known (nodes is 0): after a restart of all, each would ask for units of every tenant. The caller
// holds the lock and has swept.
func (p *Share) minReserve(nodes int) int {
	wanted := max(p.need, p.queue)
	if p.units == 0 && p.out == 0 {
		if nodes == 0 {
			return wanted
		}
		return max(wanted, p.quota/(firstPart*nodes))
	}
	least := reserveMin
	if IsSmall(p.quota, nodes) {
		if least = 0; p.scarce(time.Now()) {
			return wanted // others wait for what would lie idle here
		}
	}
	span := reserveSpan
	if p.uneven && nodes > 0 && !p.scarce(time.Now()) {
		span = unevenSpan
		least = max(least, min(int(unevenReserve*p.usual), p.quota/(unevenPart*nodes)))
	}
	spent := float64(p.out) * float64(span) / float64(max(p.window, span))
	return max(least, wanted, int(spent+0.999))
}

// IsSmall reports whether a quota is too small for each node to keep a unit idle. With an unknown number of
// nodes (0) it counts as small.
func IsSmall(quota, nodes int) bool { return nodes == 0 || quota < idlePart*nodes }

// scarce reports whether the core lately had too little: within a window, where costs are even, since units come back with it.
// Uneven ones come back all the time. The caller holds the lock.
func (p *Share) scarce(now time.Time) bool {
	if p.uneven {
		return now.Sub(p.lacked) < scarceFor
	}
	return now.Sub(p.lacked) < p.window
}

// NextAcquire starts a draw if one is called for: it tells the turn and how much to ask, or ok false.
// Until Got is called no other move starts: a turn whose answer was lost is asked again as it was.
func (p *Share) NextAcquire(nodes int) (turn uint64, n int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.busy || p.quota == 0 || now.Before(p.dry) {
		return 0, 0, false
	}
	free := p.free(now)
	reserve := p.minReserve(nodes)
	if free >= max(p.need, p.queue, (reserve+1)/2) {
		return 0, 0, false
	}
	p.busy = true
	p.turn++
	p.asked = max(1, reserve-max(free, 0))
	return p.turn, p.asked, true
}

// NextReturn starts a give of units that lie idle here: more of them if the fleet is short of this tenant's
// units. They are struck off at once, before the core may hand them on.
func (p *Share) NextReturn(short bool, nodes int) (turn uint64, n int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if short {
		p.lacked = now
	}
	small := IsSmall(p.quota, nodes)
	every := giveEvery
	if small {
		every = max(every, p.window) // until they are wanted back, they save draws here
	}
	if p.busy || !short && now.Sub(p.moved) < every {
		return 0, 0, false
	}
	p.sweep(now)
	idle := p.units - p.out - p.kept
	reserve := p.minReserve(nodes)
	switch {
	case short:
		n = idle / 2
		if small || p.uneven {
			n = idle - max(p.need, p.queue) // a part too small to be kept: all that is idle is wanted elsewhere
		} else if p.out == 0 && p.need == 0 {
			n = (idle + 1) / 2
		}
	case idle > 2*reserve:
		n = idle - reserve
	}
	if over := p.units - p.cap(); over > n {
		n = min(over, idle)
	}
	if n <= 0 {
		return 0, 0, false
	}
	p.busy = true
	p.turn++
	p.units -= n
	return p.turn, n, true
}

// Apply ends a draw or a give with the core's word on what is held now.
func (p *Share) Apply(turn uint64, have, under int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if turn != p.turn || !p.busy {
		return
	}
	p.busy = false
	select {
	case <-p.first:
	default:
		close(p.first)
	}
	now := time.Now()
	if p.asked > 0 && have <= p.units {
		p.dry, p.lacked = now.Add(dryFor), now
	}
	p.asked, p.moved = 0, now
	p.units, p.under = have, under
	p.need = 0
	p.heard = now
	close(p.changed)
	p.changed = make(chan struct{})
}

// Stats tells what is held, what may be spent now, and what was spent in the window.
func (p *Share) Stats() (held, free, out int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.free(time.Now())
	return p.units, f, p.out
}

// Package runner keeps track of the model runners, and of other back ends that send the same
// heartbeats: their last reports, their health and measured speed, and the requests sent to them.
package runner

import (
	"sort"
	"strings"
	"sync"
	"time"

	"yarrowridge/internal/lib/faultinjection"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/dissemination"
)

// What decides a runner's health.
const (
	SilentAfter    = 5 * time.Second  // no heartbeat for so long: silent
	StuckAfter     = 10 * time.Second // requests under way and no byte for so long: stuck
	leastExclusion = time.Second
	mostExclusion  = 16 * time.Second
	busyMemory     = 2 * time.Second // a router that had streams on a runner so lately counts as using it
	workExpiry     = 3 * time.Second // a router's news of its work older than this is left out
)

// Instance is one run of one runner, with what this router has sent to it.
type Instance struct {
	Index int
	Addr  string
	gen   uint64

	mu            sync.Mutex
	report        Report
	heardAt       time.Time
	reportedAt    time.Time // last late report
	gone          bool
	slots         []*Slot   // our requests on it
	progressAt    time.Time // last byte from it, or start of work after idling
	failures      int
	excludedUntil time.Time // no new requests before
	onTrial       bool      // one request is out to see whether it serves again
	speed         speed
	remoteLoad    Load // what other routers say they have sent
	remoteRate    float64
	remoteRouters int // other routers that lately had streams on it
}

// Pool is all runners known to this router.
type Pool struct {
	self     string // this router's name
	mu       sync.RWMutex
	all      []*Instance
	byAddr   map[string]*Instance
	work     map[string]remoteWork
	lastBusy map[[2]string]time.Time // router and runner: when streams were last told of
	wake     func()
}

// remoteWork is what another router last told of its work.
type remoteWork struct {
	work Work
	at   time.Time
}

// NewPool makes the empty pool of a router; wake is called when a runner may have become free.
func NewPool(me string, wake func()) *Pool {
	return &Pool{self: me, byAddr: map[string]*Instance{}, work: map[string]remoteWork{}, lastBusy: map[[2]string]time.Time{}, wake: wake}
}

// The heads of the keys under which runners and routers' work stand in the news store.
const (
	KeyPrefix  = "runner/"
	WorkPrefix = "work/"
)

// Apply takes a record of news.
func (p *Pool) Apply(record dissemination.Record) {
	switch {
	case strings.HasPrefix(record.Key, KeyPrefix):
		var report Report
		if _, err := report.UnmarshalMsg(record.Body); err != nil {
			return
		}
		if faultinjection.Disabled("leaving") && report.State == "leaving" {
			report.State = "ready"
		}
		p.mu.Lock()
		instance := p.byAddr[report.Addr]
		if instance == nil || instance.gen != record.Generation {
			// Another run at a known address is another runner: nothing of the old counts for it.
			if instance != nil {
				instance.mu.Lock()
				instance.gone = true
				instance.mu.Unlock()
			}
			instance = &Instance{Index: len(p.all), Addr: report.Addr, gen: record.Generation}
			p.all = append(p.all, instance)
			p.byAddr[report.Addr] = instance
		}
		p.mu.Unlock()
		instance.mu.Lock()
		instance.report, instance.heardAt, instance.reportedAt = report, time.Now(), time.Now()
		instance.mu.Unlock()
		p.wake()
	case record.Key == WorkPrefix+p.self: // our own word, come round: we know better
	case strings.HasPrefix(record.Key, WorkPrefix):
		var work Work
		if _, err := work.UnmarshalMsg(record.Body); err != nil {
			return
		}
		p.mu.Lock()
		p.work[strings.TrimPrefix(record.Key, WorkPrefix)] = remoteWork{work, time.Now()}
		p.mu.Unlock()
		p.SumRemoteWork()
	}
}

// SumRemoteWork sums up anew what the other routers have sent, leaving out those not heard of lately.
func (p *Pool) SumRemoteWork() {
	p.mu.Lock()
	sum := map[string]Load{}
	rate := map[string]float64{}
	rated, busy := map[string]int{}, map[string]int{}
	for router, remote := range p.work {
		if time.Since(remote.at) > workExpiry {
			delete(p.work, router)
			continue
		}
		for addr, load := range remote.work.Runners {
			total := sum[addr]
			total.Streams += load.Streams
			total.Tokens += load.Tokens
			sum[addr] = total
			if load.Streams > 0 {
				p.lastBusy[[2]string{router, addr}] = remote.at
			}
			if load.Rate > 0 {
				rate[addr] += load.Rate
				rated[addr]++
			}
		}
	}
	for pair, at := range p.lastBusy {
		if time.Since(at) > busyMemory {
			delete(p.lastBusy, pair)
		} else {
			busy[pair[1]]++
		}
	}
	all := make([]*Instance, 0, len(p.byAddr))
	for _, instance := range p.byAddr {
		all = append(all, instance)
	}
	p.mu.Unlock()
	now := time.Now()
	for _, instance := range all {
		instance.mu.Lock()
		instance.speed.advance(now, instance.streams())
		instance.remoteLoad, instance.remoteRouters = sum[instance.Addr], busy[instance.Addr]
		instance.remoteRate = 0
		if rated[instance.Addr] > 0 {
			instance.remoteRate = rate[instance.Addr] / float64(rated[instance.Addr])
		}
		instance.mu.Unlock()
	}
}

// Waiting is what other routers hold in their queues for a kind of work, in output tokens, and how
// many of them hold any.
func (p *Pool) Waiting(kind string) (sum, routers int) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, remote := range p.work {
		if n := remote.work.Queued[kind]; n > 0 && time.Since(remote.at) <= workExpiry {
			sum += n
			routers++
		}
	}
	return sum, routers
}

// OwnWork tells our own work, for the other routers.
func (p *Pool) OwnWork() Work {
	work := Work{Runners: map[string]Load{}, Queued: map[string]int{}}
	for _, instance := range p.List() {
		instance.mu.Lock()
		load := Load{Streams: len(instance.slots), Tokens: instance.ownQueuedTokens(), Rate: instance.rate(instance.capacity())}
		instance.mu.Unlock()
		if load.Streams > 0 || load.Rate > 0 {
			work.Runners[instance.Addr] = load
		}
	}
	return work
}

// List gives all runs that are not known to be gone, in a steady order.
func (p *Pool) List() []*Instance {
	p.mu.RLock()
	out := make([]*Instance, 0, len(p.byAddr))
	for _, instance := range p.byAddr {
		out = append(out, instance)
	}
	p.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Index < out[j].Index })
	return out
}

// Forget drops runners that have been silent for long.
func (p *Pool) Forget(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, instance := range p.byAddr {
		instance.mu.Lock()
		if time.Since(instance.heardAt) > duration && len(instance.slots) == 0 {
			instance.gone = true
			delete(p.byAddr, addr)
		}
		instance.mu.Unlock()
	}
}

// Report is what the runner last said.
func (instance *Instance) Report() Report {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report
}

// Health reports whether the runner may get new requests, and if not why.
func (instance *Instance) Health() string {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.health(time.Now())
}

func (instance *Instance) health(now time.Time) string {
	switch {
	case instance.gone:
		return "replaced"
	case instance.report.State != "ready":
		return instance.report.State
	case now.Sub(instance.heardAt) > SilentAfter:
		return "silent"
	case now.Sub(instance.progressAt) > StuckAfter && instance.overdue(now):
		return "stuck"
	case now.Before(instance.excludedUntil):
		return "failing"
	case instance.failures > 0 && instance.onTrial:
		return "on trial"
	}
	return ""
}

// overdue reports whether a request under way should have sent something by now. A whole response says
// nothing until it is finished, so its time is that of the length asked for.
func (instance *Instance) overdue(now time.Time) bool {
	for _, slot := range instance.slots {
		if now.After(slot.due) {
			return true
		}
	}
	return false
}

// Serves reports whether the runner is of the kind asked for, whatever its health.
func (instance *Instance) Serves(selector fleetconfig.Selector, model string, tokens int) bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if model != "" && instance.report.Labels["model"] != model {
		return false
	}
	return (instance.report.MaxTokens == 0 || tokens <= instance.report.MaxTokens) && selector.Match(instance.report.Labels)
}

// Load is how many streams are on the runner by all accounts, and how many it takes.
func (instance *Instance) Load() (n, room int) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.streams(), instance.report.Room
}

// HasRoom reports whether the runner has room for one more request of ours.
func (instance *Instance) HasRoom() bool {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.hasRoom()
}

// QueuedTokens is the output that the runner still has to give. Each stream counts once: our own by our own
// count, others' by their routers' news. more is what its late report says beyond that, less what it should have
// worked off since.
func (instance *Instance) QueuedTokens() (queued, more float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.queuedTokens(instance.rate(instance.streams()))
}

// queuedTokens is all in the unit of what was asked for; the rate is not.
func (instance *Instance) queuedTokens(rate float64) (queued, more float64) {
	queued = float64(instance.ownQueuedTokens() + instance.remoteLoad.Tokens)
	if report := instance.report; report.Room > 0 && report.MaxTokens > 0 && report.Queued > report.Room*report.MaxTokens {
		return queued, 0 // more than it can hold: not believed
	}
	return queued, max(0, float64(instance.report.Queued)-time.Since(instance.reportedAt).Seconds()*max(rate/instance.speed.lengths.Share(), 1)-queued)
}

// Estimate tells the output ahead of a newcomer on the runner, and its measured rate. A runner that batches
// gives what it owes beside the newcomer, not before it: with a place free nothing is ahead, with none what
// the first place to come free still has to give, which is all of it where one runs at a time. The rate is
// that of as many streams as will run: one more than now, or, where requests wait, all that it takes.
func (instance *Instance) Estimate(wait bool) (ahead, rate float64) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	fill := instance.capacity()
	if !wait {
		fill = min(fill, instance.streams()+1)
	}
	if rate = instance.rate(fill); rate == 0 {
		rate = instance.remoteRate
	}
	queued, more := instance.queuedTokens(rate)
	ahead = more
	if !instance.hasRoom() {
		ahead += queued * 2 / float64(instance.report.Room+1)
	}
	return ahead * instance.speed.lengths.Share(), rate
}

// Zone is where the runner stands.
func (instance *Instance) Zone() string {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.report.Zone
}

// hasRoom reports whether there is room for one more of our streams. News of the others' streams is
// late, so routers that fill a runner together would overfill it: near its limit each keeps to
// an equal part.
func (instance *Instance) hasRoom() bool {
	room, n := instance.report.Room, instance.streams()
	if room <= 0 {
		return true
	}
	part := (room + instance.remoteRouters) / (1 + instance.remoteRouters)
	return n < room && (len(instance.slots) < part || 2*n < room)
}

// MarkFailed notes that a request failed by the runner's fault: it gets no new requests for a while, longer each time.
func (instance *Instance) MarkFailed() {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.failures++
	duration := min(mostExclusion, leastExclusion<<min(instance.failures-1, 10))
	instance.excludedUntil = time.Now().Add(duration)
}

package place

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"yarrowridge/internal/dataplane/allow"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/lib/runloop"
)

// Why a wait ended without a runner.
var (
	ErrPatience = errors.New("place: patience ran out")
	ErrFull     = errors.New("place: queue is full")
	ErrGone     = errors.New("place: the origin left")
)

// Waiter is one request that waits for a runner.
type Waiter struct {
	Kind         string // pool and model
	Lane         string
	Rank         int
	Tenant       int
	Tokens       int
	SilentFor    time.Duration // how long its response takes before anything of it is sent
	PrefixHashes []uint64
	Eligible     func() []*runner.Instance // runners that serve this request
	Excluded     map[int]bool              // runs tried already
	Check        func() error              // asked again before it goes; an error ends the wait

	granted chan *runner.Slot
	done    bool // set under the scheduler's lock: given a runner, or ended
	err     error
}

// queue is one kind's queue in one rank: first in first out for a tenant, in turn between tenants.
type queue struct {
	rank     int
	kind     string
	byTenant map[int][]*Waiter
	turns    []int
}

// Scheduler holds the queues, and gives runners to the requests in them.
type Scheduler struct {
	zone     string
	prefixes *PrefixMemory
	wake     chan struct{}
	mu       sync.Mutex
	queues   []*queue // by rank, then kind
	waiting  int

	// Lengths tells what the requests of a lane come to, of what they ask for.
	Lengths *allow.LaneLengths
}

// NewScheduler makes the scheduler of a router in the zone.
func NewScheduler(zone string, prefixes *PrefixMemory) *Scheduler {
	return &Scheduler{zone: zone, prefixes: prefixes, wake: make(chan struct{}, 1), Lengths: allow.NewLaneLengths()}
}

// Wake has the scheduler look again: a runner may have room.
func (s *Scheduler) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run gives out runners until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	runloop.Run(ctx, s.wake, 50*time.Millisecond, func(struct{}) { s.dispatch() }, s.dispatch)
}

// Waiting tells how many requests wait, and the tokens that those of each kind will come to.
func (s *Scheduler) Waiting() (int, map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, queue := range s.queues {
		for _, waiters := range queue.byTenant {
			for _, waiter := range waiters {
				out[queue.kind] += s.Lengths.Expect(waiter.Lane, waiter.Tokens)
			}
		}
	}
	return s.waiting, out
}

// TokensAhead tells the tokens of those waiting for a kind that would go before a newcomer: all of higher ranks,
// in its own rank all of its tenant's and, since tenants take turns, as many requests of each other
// tenant as it must itself wait turns.
func (s *Scheduler) TokensAhead(kind string, rank, tenant int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, queue := range s.queues {
		if queue.kind != kind || queue.rank > rank {
			continue
		}
		turns := len(queue.byTenant[tenant]) + 1
		for runner, waiters := range queue.byTenant {
			for i, waiter := range waiters {
				if queue.rank < rank || runner == tenant || i < turns {
					sum += s.Lengths.Expect(waiter.Lane, waiter.Tokens)
				}
			}
		}
	}
	return sum
}

// Acquire waits for a runner, for at most patience. most bounds all queues of this router together:
// beyond it the newest of the lowest rank is rejected, be it this one or another.
func (s *Scheduler) Acquire(ctx context.Context, waiter *Waiter, patience time.Duration, most int) (*runner.Slot, error) {
	waiter.granted = make(chan *runner.Slot, 1)
	waiter.done, waiter.err = false, nil
	s.mu.Lock()
	if s.waiting >= most && !s.evict(waiter.Rank) {
		s.mu.Unlock()
		return nil, ErrFull
	}
	s.add(waiter)
	s.mu.Unlock()
	s.Wake()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var err error
	select {
	case slot := <-waiter.granted:
		if slot == nil {
			return nil, waiter.err
		}
		return slot, nil
	case <-timer.C:
		err = ErrPatience
	case <-ctx.Done():
		err = ErrGone
	}
	s.mu.Lock()
	if !waiter.done {
		s.remove(waiter)
		s.mu.Unlock()
		return nil, err
	}
	s.mu.Unlock()
	slot := <-waiter.granted
	if slot == nil {
		return nil, waiter.err
	}
	if err == ErrGone {
		slot.Release(false)
		s.Wake()
		return nil, ErrGone
	}
	return slot, nil
}

func (s *Scheduler) queueFor(rank int, kind string) *queue {
	i := sort.Search(len(s.queues), func(i int) bool {
		queue := s.queues[i]
		return queue.rank > rank || queue.rank == rank && queue.kind >= kind
	})
	if i < len(s.queues) && s.queues[i].rank == rank && s.queues[i].kind == kind {
		return s.queues[i]
	}
	queue := &queue{rank: rank, kind: kind, byTenant: map[int][]*Waiter{}}
	s.queues = append(s.queues, nil)
	copy(s.queues[i+1:], s.queues[i:])
	s.queues[i] = queue
	return queue
}

func (s *Scheduler) add(waiter *Waiter) {
	queue := s.queueFor(waiter.Rank, waiter.Kind)
	if len(queue.byTenant[waiter.Tenant]) == 0 {
		queue.turns = append(queue.turns, waiter.Tenant)
	}
	queue.byTenant[waiter.Tenant] = append(queue.byTenant[waiter.Tenant], waiter)
	s.waiting++
}

// remove takes a waiter out of its queue; the caller holds the lock.
func (s *Scheduler) remove(waiter *Waiter) {
	queue := s.queueFor(waiter.Rank, waiter.Kind)
	waiters := queue.byTenant[waiter.Tenant]
	for i := range waiters {
		if waiters[i] == waiter {
			queue.byTenant[waiter.Tenant] = append(waiters[:i:i], waiters[i+1:]...)
			break
		}
	}
	if len(queue.byTenant[waiter.Tenant]) == 0 {
		delete(queue.byTenant, waiter.Tenant)
		for i, t := range queue.turns {
			if t == waiter.Tenant {
				queue.turns = append(queue.turns[:i:i], queue.turns[i+1:]...)
				break
			}
		}
	}
	if len(queue.turns) == 0 {
		for i, other := range s.queues {
			if other == queue {
				s.queues = append(s.queues[:i:i], s.queues[i+1:]...)
				break
			}
		}
	}
	s.waiting--
	waiter.done = true
}

// evict rejects the newest waiter of the lowest rank below the newcomer's.
func (s *Scheduler) evict(rank int) bool {
	for i := len(s.queues) - 1; i >= 0; i-- {
		queue := s.queues[i]
		if queue.rank <= rank {
			return false
		}
		var longest []*Waiter
		for _, waiters := range queue.byTenant {
			if len(waiters) > len(longest) {
				longest = waiters
			}
		}
		if len(longest) > 0 {
			waiter := longest[len(longest)-1]
			s.remove(waiter)
			waiter.err = ErrFull
			close(waiter.granted)
			return true
		}
	}
	return false
}

// dispatch gives room to those who wait: by rank, and in turn between the tenants of a rank.
func (s *Scheduler) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A runner found without room stays so for the round: were it looked at again, room that has
	// just come free would go to a lower rank than the one that was turned away.
	full := map[int]bool{}
	for _, queue := range append([]*queue(nil), s.queues...) {
		for misses := 0; len(queue.turns) > 0 && misses < len(queue.turns); {
			tenant := queue.turns[0]
			waiter := queue.byTenant[tenant][0]
			if waiter.Check != nil {
				if err := waiter.Check(); err != nil {
					queue.turns = append(queue.turns[1:], tenant)
					s.remove(waiter)
					waiter.err = err
					close(waiter.granted)
					misses = 0
					continue
				}
			}
			slot := s.tryAcquire(waiter, full)
			if slot == nil {
				misses++
				queue.turns = append(queue.turns[1:], tenant)
				continue
			}
			misses = 0
			queue.turns = append(queue.turns[1:], tenant)
			s.remove(waiter)
			waiter.granted <- slot
		}
	}
}

// tryAcquire takes a slot on the runner chosen for a waiter, if any has room. full has those without.
func (s *Scheduler) tryAcquire(waiter *Waiter, full map[int]bool) *runner.Slot {
	var candidates []Candidate
	for _, instance := range waiter.Eligible() {
		if waiter.Excluded[instance.Index] || full[instance.Index] {
			continue
		}
		if instance.Health() != "" || !instance.HasRoom() {
			full[instance.Index] = true
			continue
		}
		n, room := instance.Load()
		candidates = append(candidates, Candidate{Instance: instance, Index: instance.Index, Addr: instance.Addr, SameZone: instance.Zone() == s.zone, Load: n, Room: room})
	}
	depth := s.prefixes.Match(waiter.PrefixHashes)
	for len(candidates) > 0 {
		i := Choose(waiter.PrefixHashes, candidates, depth)
		if i < 0 {
			return nil
		}
		instance := candidates[i].Instance
		if slot := instance.Acquire(waiter.Tokens, waiter.SilentFor); slot != nil {
			s.prefixes.Note(waiter.PrefixHashes, instance.Index)
			return slot
		}
		full[instance.Index] = true
		candidates = append(candidates[:i], candidates[i+1:]...)
	}
	return nil
}

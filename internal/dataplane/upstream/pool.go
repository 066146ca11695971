// Package upstream holds the gateway's connections to runners, and carries one exchange of HTTP/1.1 on one of
// them. It tells exactly whether a byte of a request may have left, and never sends a request twice by itself.
package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// What Options stand for where they are zero.
const (
	DefaultDialTimeout      = 150 * time.Millisecond
	DefaultIdleTimeout      = 10 * time.Second
	DefaultMaxIdlePerRunner = 32
)

// Options are the settings of a Pool. The zero value has the defaults.
type Options struct {
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // a runner's Keep-Alive header shortens it
	MaxIdlePerRunner int
	// Dial opens a connection; nil: TCP to an IPv4 address given by number. It must return when ctx ends.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Stats are the connections taken so far.
type Stats struct {
	Dials  uint64 // connections opened, or tried to
	Reuses uint64 // exchanges begun on a connection that was idle
}

// Pool holds connections to runners. All its methods may be called at once.
type Pool struct {
	options Options
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex    sync.Mutex
	closed   bool
	peers    map[string]*peer
	sweeper  *time.Timer
	sweeping bool // the sweeper is set
}

// peer is what the pool knows of one runner's address.
type peer struct {
	address    string
	idle       []*connection // the most recently used one last
	open       int           // connections open or being opened
	max        int           // 0: not bounded
	generation int           // rises when the runner is forgotten
}

// New makes a pool. Close ends it.
func New(options Options) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxIdlePerRunner <= 0 {
		options.MaxIdlePerRunner = DefaultMaxIdlePerRunner
	}
	if options.Dial == nil {
		options.Dial = dialTCP
	}
	return &Pool{options: options, peers: map[string]*peer{}}
}

// Close closes the idle connections. Exchanges that run go on; their connections are closed after them.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	var all []*connection
	for _, peer := range p.peers {
		all = append(all, peer.takeIdle(0)...)
	}
	p.mutex.Unlock()
	closeAll(all)
}

// Forget closes the idle connections to an address, and lifts its bound. Connections in use are closed after
// their exchange. A later Send to the address begins anew.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	var all []*connection
	if peer := p.peers[address]; peer != nil {
		peer.generation++
		peer.max = 0
		all = peer.takeIdle(0)
		p.dropIfUnused(peer)
	}
	p.mutex.Unlock()
	closeAll(all)
}

// SetMax bounds the connections that this pool has open to an address at once; 0: not bounded.
func (p *Pool) SetMax(address string, max int) {
	p.mutex.Lock()
	peer := p.peer(address)
	peer.max = max
	var all []*connection
	if max > 0 && peer.open > max {
		all = peer.takeIdle(len(peer.idle) - min(len(peer.idle), peer.open-max))
	}
	p.dropIfUnused(peer)
	p.mutex.Unlock()
	closeAll(all)
}

// Stats gives the counts so far.
func (p *Pool) Stats() Stats { return Stats{Dials: p.dials.Load(), Reuses: p.reuses.Load()} }

// peer finds or makes an address's entry. The mutex is held.
func (p *Pool) peer(address string) *peer {
	found := p.peers[address]
	if found == nil {
		found = &peer{address: address}
		p.peers[address] = found
	}
	return found
}

// dropIfUnused deletes an entry that has nothing to remember. The mutex is held.
func (p *Pool) dropIfUnused(peer *peer) {
	if peer.open == 0 && peer.max == 0 {
		delete(p.peers, peer.address)
	}
}

// takeIdle removes the least recently used idle connections until keep of them are left.
func (r *peer) takeIdle(keep int) []*connection {
	count := len(r.idle) - keep
	if count <= 0 {
		return nil
	}
	taken := append([]*connection(nil), r.idle[:count]...)
	left := copy(r.idle, r.idle[count:])
	clear(r.idle[left:])
	r.idle = r.idle[:left]
	return taken
}

// closeAll closes connections. The mutex must not be held.
func closeAll(all []*connection) {
	for _, each := range all {
		each.Close()
	}
}

// take gives the most recently used idle connection that is clean, or a new one.
func (p *Pool) take(ctx context.Context, address string) (found *connection, reused bool, err error) {
	for {
		idle, peer, generation, err := p.reserve(address)
		if err != nil {
			return nil, false, err
		}
		if idle == nil {
			found, err = p.dial(ctx, peer, generation)
			return found, false, err
		}
		if time.Now().Before(idle.expires) && idle.clean() {
			p.reuses.Add(1)
			return idle, true, nil
		}
		idle.Close()
	}
}

// reserve takes an idle connection out, or else counts one that the caller is to dial.
func (p *Pool) reserve(address string) (idle *connection, at *peer, generation int, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, 0, ErrClosed
	}
	at = p.peer(address)
	if last := len(at.idle) - 1; last >= 0 {
		idle = at.idle[last]
		at.idle[last] = nil
		at.idle = at.idle[:last]
		return idle, at, at.generation, nil
	}
	if at.max > 0 && at.open >= at.max {
		return nil, nil, 0, ErrNoConnection
	}
	at.open++
	return nil, at, at.generation, nil
}

// dial opens a connection that reserve has counted.
func (p *Pool) dial(ctx context.Context, peer *peer, generation int) (*connection, error) {
	p.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, peer.address)
	if err != nil {
		p.released(peer)
		return nil, eris.Wrap(err, "dial")
	}
	return newConnection(conn, p, peer, generation), nil
}

// released gives a connection's place free.
func (p *Pool) released(peer *peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer.open--
	p.dropIfUnused(peer)
}

// giveBack makes a connection idle for as long as keep, or closes it where the pool has no use for it.
func (p *Pool) giveBack(used *connection, keep time.Duration) {
	used.expires = time.Now().Add(keep)
	p.mutex.Lock()
	peer := used.peer
	useless := p.closed || used.generation != peer.generation || peer.max > 0 && peer.open > peer.max
	var surplus []*connection
	if !useless {
		peer.idle = append(peer.idle, used)
		surplus = peer.takeIdle(p.options.MaxIdlePerRunner)
		p.planSweep()
	}
	p.mutex.Unlock()
	if useless {
		used.Close()
	}
	closeAll(surplus)
}

// planSweep has idle connections closed in time, also those of a runner that is sent nothing more. The mutex is held.
func (p *Pool) planSweep() {
	if p.sweeping {
		return
	}
	p.sweeping = true
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.options.IdleTimeout, p.sweep)
		return
	}
	p.sweeper.Reset(p.options.IdleTimeout)
}

// sweep closes the idle connections whose time is over.
func (p *Pool) sweep() {
	now := time.Now()
	var expired []*connection
	left := 0
	p.mutex.Lock()
	for _, peer := range p.peers {
		expired = append(expired, peer.takeExpired(now)...)
		left += len(peer.idle)
	}
	p.sweeping = false
	if left > 0 && !p.closed {
		p.planSweep()
	}
	p.mutex.Unlock()
	closeAll(expired)
}

// takeExpired removes the idle connections whose time is over.
func (r *peer) takeExpired(now time.Time) (expired []*connection) {
	kept := r.idle[:0]
	for _, idle := range r.idle {
		if now.Before(idle.expires) {
			kept = append(kept, idle)
		} else {
			expired = append(expired, idle)
		}
	}
	clear(r.idle[len(kept):])
	r.idle = kept
	return expired
}

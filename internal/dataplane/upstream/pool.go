// Package upstream holds the gateway's connections to runners, and carries one exchange of HTTP/1.1 on one of them.
//
// It says exactly whether a byte of a request may have left (SendError.Sent), and sends a request on a second connection
// only where the first one took no byte: what may be sent again beyond that is for its caller to decide. A connection
// carries one exchange at a time and is kept only after the response was read to its marked end with nothing behind it.
//
// Files: pool, idle connections and options; connection, dial, socketprobe; send and request (encoding); exchange, head,
// body, keepalive (decoding); events (text/event-stream).
package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Pool holds connections to runners. All its methods may be called at once.
type Pool struct {
	options Options
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex          sync.Mutex
	closed         bool
	peers          map[string]*peer
	sweeper        *time.Timer
	sweepScheduled bool // the sweeper is set
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
		peer.maxOpen = 0
		all = peer.takeIdle(0)
		p.dropIfUnused(peer)
	}
	p.mutex.Unlock()
	closeAll(all)
}

// SetMaxConnections bounds the connections that this pool has open to an address at once; 0: not bounded.
func (p *Pool) SetMaxConnections(address string, limit int) {
	p.mutex.Lock()
	peer := p.peer(address)
	peer.maxOpen = limit
	var all []*connection
	if limit > 0 && peer.open > limit {
		all = peer.takeIdle(len(peer.idle) - min(len(peer.idle), peer.open-limit))
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
	if peer.open == 0 && peer.maxOpen == 0 {
		delete(p.peers, peer.address)
	}
}

// acquire gives the most recently used idle connection that is clean, or a new one.
func (p *Pool) acquire(ctx context.Context, address string) (found *connection, reused bool, err error) {
	for {
		idle, peer, generation, err := p.reserveSlot(address)
		if err != nil {
			return nil, false, err
		}
		if idle == nil {
			found, err = p.dial(ctx, peer, generation)
			return found, false, err
		}
		if time.Now().Before(idle.expires) && idle.isUsable() {
			p.reuses.Add(1)
			return idle, true, nil
		}
		idle.discard()
	}
}

// reserveSlot takes an idle connection out, or else counts one that the caller is to dial.
func (p *Pool) reserveSlot(address string) (idle *connection, at *peer, generation int, err error) {
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
	if at.maxOpen > 0 && at.open >= at.maxOpen {
		return nil, nil, 0, ErrConnectionLimit
	}
	at.open++
	return nil, at, at.generation, nil
}

// dial opens a connection that reserveSlot has counted.
func (p *Pool) dial(ctx context.Context, peer *peer, generation int) (*connection, error) {
	p.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, peer.address)
	if err != nil {
		p.releaseSlot(peer)
		return nil, eris.Wrap(err, "dial")
	}
	return newConnection(conn, p, peer, generation), nil
}

// releaseSlot counts a connection as closed.
func (p *Pool) releaseSlot(peer *peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer.open--
	p.dropIfUnused(peer)
}

// Package upstream pools the gateway's connections to runners and performs HTTP/1.1 exchanges on them.
//
// SendError.Sent reports whether any byte of a request may have been sent. Send retries a request on another connection
// only if not a single byte was written to the previous one; any other retry is up to the caller. A connection carries one
// exchange at a time. It is reused only if the end of the response body was marked and reached, and no bytes followed it.
//
// Source files: pool, idle, options (connection pool); connection, dial, socketprobe (connections); send, request,
// headerfields (requests); exchange, head, body, keepalive (responses); events (text/event-stream); errors.
package upstream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Pool is a pool of connections to runners. Its methods are safe for concurrent use.
type Pool struct {
	options Options
	dials   atomic.Uint64
	reuses  atomic.Uint64

	mutex          sync.Mutex
	closed         bool
	peers          map[string]*peer
	sweeper        *time.Timer
	sweepScheduled bool // the sweeper timer is running
}

// New creates a pool. Call Close to release it.
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

// Close closes the idle connections. Running exchanges continue; their connections are closed when they end.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	var removed []*connection
	for _, peer := range p.peers {
		removed = append(removed, peer.takeIdle(0)...)
	}
	p.mutex.Unlock()
	closeAll(removed)
}

// Forget closes the idle connections to an address and removes its connection limit. Connections in use are closed when
// their exchange ends. A later Send to the address opens a new connection.
func (p *Pool) Forget(address string) {
	p.mutex.Lock()
	var removed []*connection
	if peer := p.peers[address]; peer != nil {
		peer.generation++
		peer.maxOpen = 0
		removed = peer.takeIdle(0)
		p.deleteIfUnused(peer)
	}
	p.mutex.Unlock()
	closeAll(removed)
}

// SetMaxConnections limits how many connections the pool has open to an address at a time; 0 means no limit. If more are
// open already, idle connections are closed at once and those in use when their exchange ends.
func (p *Pool) SetMaxConnections(address string, limit int) {
	p.mutex.Lock()
	peer := p.peer(address)
	peer.maxOpen = limit
	var removed []*connection
	if limit > 0 && peer.open > limit {
		removed = peer.takeIdle(len(peer.idle) - min(len(peer.idle), peer.open-limit))
	}
	p.deleteIfUnused(peer)
	p.mutex.Unlock()
	closeAll(removed)
}

// Stats returns the counters since the pool was created.
func (p *Pool) Stats() Stats { return Stats{Dials: p.dials.Load(), Reuses: p.reuses.Load()} }

// peer returns the entry of an address and creates it if there is none. The caller holds p.mutex.
func (p *Pool) peer(address string) *peer {
	found := p.peers[address]
	if found == nil {
		found = &peer{address: address}
		p.peers[address] = found
	}
	return found
}

// deleteIfUnused deletes an entry that has neither open connections nor a limit. The caller holds p.mutex.
func (p *Pool) deleteIfUnused(peer *peer) {
	if peer.open == 0 && peer.maxOpen == 0 {
		delete(p.peers, peer.address)
	}
}

// acquire returns the most recently used idle connection that is still usable, or else a new one.
func (p *Pool) acquire(ctx context.Context, address string) (conn *connection, reused bool, err error) {
	for {
		idle, peer, generation, err := p.reserveSlot(address)
		if err != nil {
			return nil, false, err
		}
		if idle == nil {
			conn, err = p.dial(ctx, peer, generation)
			return conn, false, err
		}
		if time.Now().Before(idle.expires) && idle.isUsable() {
			p.reuses.Add(1)
			return idle, true, nil
		}
		idle.discard()
	}
}

// reserveSlot removes an idle connection from the pool and returns it. If there is none, it counts one connection as open,
// which the caller has to dial.
func (p *Pool) reserveSlot(address string) (idle *connection, peer *peer, generation int, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, 0, ErrClosed
	}
	peer = p.peer(address)
	if last := len(peer.idle) - 1; last >= 0 {
		idle = peer.idle[last]
		peer.idle[last] = nil
		peer.idle = peer.idle[:last]
		return idle, peer, peer.generation, nil
	}
	if peer.maxOpen > 0 && peer.open >= peer.maxOpen {
		return nil, nil, 0, ErrConnectionLimit
	}
	peer.open++
	return nil, peer, peer.generation, nil
}

// dial opens a connection that reserveSlot has already counted.
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

// releaseSlot decrements the number of open connections of a peer.
func (p *Pool) releaseSlot(peer *peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer.open--
	p.deleteIfUnused(peer)
}

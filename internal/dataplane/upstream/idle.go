package upstream

import (
	"time"
)

// peer holds the connections to one runner address. Pool.mutex guards all fields except address.
type peer struct {
	address    string
	idle       []*connection // in order of last use, the most recently used one last
	open       int           // connections that are open or being dialled
	maxOpen    int           // limit of open; 0 means no limit
	generation int           // incremented by Forget; connections of an older generation are not reused
}

// takeIdle removes and returns the least recently used idle connections until at most keep are left.
func (p *peer) takeIdle(keep int) []*connection {
	count := len(p.idle) - keep
	if count <= 0 {
		return nil
	}
	removed := append([]*connection(nil), p.idle[:count]...)
	remaining := copy(p.idle, p.idle[count:])
	clear(p.idle[remaining:])
	p.idle = p.idle[:remaining]
	return removed
}

// closeAll closes connections. The caller must not hold Pool.mutex.
func closeAll(connections []*connection) {
	for _, conn := range connections {
		conn.discard()
	}
}

// putIdle adds a connection to the idle ones for the given TTL. It closes the connection instead if the pool is closed, the
// address was forgotten since the dial, or the connection limit is exceeded.
func (p *Pool) putIdle(conn *connection, ttl time.Duration) {
	conn.expires = time.Now().Add(ttl)
	p.mutex.Lock()
	peer := conn.peer
	rejected := p.closed || conn.generation != peer.generation || peer.maxOpen > 0 && peer.open > peer.maxOpen
	var surplus []*connection
	if !rejected {
		peer.idle = append(peer.idle, conn)
		surplus = peer.takeIdle(p.options.MaxIdlePerRunner)
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	if rejected {
		conn.discard()
	}
	closeAll(surplus)
}

// scheduleSweep starts the timer that closes expired idle connections, including those to runners that receive no further
// requests. The caller holds p.mutex.
func (p *Pool) scheduleSweep() {
	if p.sweepScheduled {
		return
	}
	p.sweepScheduled = true
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.options.IdleTimeout, p.closeExpired)
		return
	}
	p.sweeper.Reset(p.options.IdleTimeout)
}

// closeExpired closes the expired idle connections of all peers, and schedules the next sweep if any idle ones are left.
func (p *Pool) closeExpired() {
	now := time.Now()
	var expired []*connection
	remaining := 0
	p.mutex.Lock()
	for _, peer := range p.peers {
		expired = append(expired, peer.takeExpired(now)...)
		remaining += len(peer.idle)
	}
	p.sweepScheduled = false
	if remaining > 0 && !p.closed {
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	closeAll(expired)
}

// takeExpired removes and returns the expired idle connections.
func (p *peer) takeExpired(now time.Time) (expired []*connection) {
	remaining := p.idle[:0]
	for _, idle := range p.idle {
		if now.Before(idle.expires) {
			remaining = append(remaining, idle)
		} else {
			expired = append(expired, idle)
		}
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
	return expired
}

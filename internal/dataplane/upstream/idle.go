package upstream

import (
	"time"
)

// peer is what the pool knows of one runner's address.
type peer struct {
	address    string
	idle       []*connection // the most recently used one last
	open       int           // connections open or being opened
	maxOpen    int           // 0: not bounded
	generation int           // rises when the runner is forgotten
}

// takeIdle removes the least recently used idle connections until some number of them are left.
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
		each.discard()
	}
}

// putIdle makes a connection idle for its TTL, or closes it where the pool has no use for it.
func (p *Pool) putIdle(used *connection, ttl time.Duration) {
	used.expires = time.Now().Add(ttl)
	p.mutex.Lock()
	peer := used.peer
	useless := p.closed || used.generation != peer.generation || peer.maxOpen > 0 && peer.open > peer.maxOpen
	var surplus []*connection
	if !useless {
		peer.idle = append(peer.idle, used)
		surplus = peer.takeIdle(p.options.MaxIdlePerRunner)
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	if useless {
		used.discard()
	}
	closeAll(surplus)
}

// scheduleSweep has idle connections closed in time, also those of a runner that is sent nothing more. The mutex is held.
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

// closeExpired closes the idle connections whose time is over.
func (p *Pool) closeExpired() {
	now := time.Now()
	var expired []*connection
	left := 0
	p.mutex.Lock()
	for _, peer := range p.peers {
		expired = append(expired, peer.takeExpired(now)...)
		left += len(peer.idle)
	}
	p.sweepScheduled = false
	if left > 0 && !p.closed {
		p.scheduleSweep()
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

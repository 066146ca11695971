package drill

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Links carries all that goes between the zones of a rehearsal fleet: each process is known by a
// forwarder's address, and dials from its zone's own, so that the link of one zone can be cut.
type Links struct {
	zones []string
	mu    sync.Mutex
	cut   string        // the zone that is cut off, or ""
	turn  chan struct{} // closed with each change
	doors map[string]*door
	cons  map[net.Conn]bool
}

// door is one forwarder.
type door struct {
	ear      net.Listener // nil while it is shut
	zone, to string
}

// NewLinks makes links between zones.
//
//	f.Links = drill.NewLinks(mix.Zones)
func NewLinks(zones []string) *Links {
	return &Links{zones: zones, turn: make(chan struct{}), doors: map[string]*door{}, cons: map[net.Conn]bool{}}
}

// IP is the loopback address that a zone's processes listen on and dial from.
//
//	l.IP("north")
func (l *Links) IP(zone string) string {
	return fmt.Sprintf("127.0.%d.1", 10+slices.Index(l.zones, zone))
}

// LinkCut cuts a zone off from all others; "" heals. What is under way waits, as on a dark line.
//
//	l.LinkCut("north"); defer l.LinkCut("")
func (l *Links) Cut(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = zone
	close(l.turn)
	l.turn = make(chan struct{})
}

// Dark tells whether nothing gets from one zone to another, and when to ask again.
//
//	dark, turn := l.Dark("north", "east")
func (l *Links) Dark(a, b string) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a != b && l.cut != "" && (a == l.cut || b == l.cut), l.turn
}

// Open forwards a new address to a process of a zone.
//
//	at, err := l.Open("north", "127.0.11.1:7501")
func (l *Links) Open(zone, to string) (string, error) {
	ear, err := freePort("127.0.0.1")
	if err != nil {
		return "", err
	}
	at := ear.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doors[at] = &door{zone: zone, to: to}
	l.serve(l.doors[at], ear)
	return at, nil
}

// Shut refuses connections to a forwarder's address, as a machine does on which nobody listens.
//
//	l.Shut(at)
func (l *Links) Shut(at string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := l.doors[at]; d.ear != nil {
		d.ear.Close()
		d.ear = nil
	}
}

// Again ends Shut.
//
//	err := l.Again(at)
func (l *Links) Again(at string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.doors[at]
	if d.ear != nil {
		return nil
	}
	ear, err := net.Listen("tcp", at)
	if err == nil {
		l.serve(d, ear)
	}
	return err
}

// serve begins to forward; the caller holds the lock.
func (l *Links) serve(d *door, ear net.Listener) {
	d.ear = ear
	go func() {
		for {
			con, err := ear.Accept()
			if err != nil {
				return
			}
			go l.carry(con, d.zone, d.to)
		}
	}()
}

func (l *Links) carry(in net.Conn, zone, to string) {
	from := zone // the drill's own calls are never cut
	ip, _, _ := strings.Cut(in.RemoteAddr().String(), ":")
	for _, h := range l.zones {
		if l.IP(h) == ip {
			from = h
		}
	}
	out, err := net.DialTimeout("tcp", to, 2*time.Second)
	if err != nil {
		in.Close()
		return
	}
	l.mu.Lock()
	l.cons[in], l.cons[out] = true, true
	l.mu.Unlock()
	var all sync.WaitGroup
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			for dark, turn := l.Dark(from, zone); dark; dark, turn = l.Dark(from, zone) {
				<-turn
			}
			if _, e := dst.Write(buf[:n]); e != nil || err != nil {
				break
			}
		}
		dst.(*net.TCPConn).CloseWrite()
	}
	all.Go(func() { pass(out, in) })
	pass(in, out)
	all.Wait()
	l.mu.Lock()
	delete(l.cons, in)
	delete(l.cons, out)
	l.mu.Unlock()
	in.Close()
	out.Close()
}

// Close ends all forwarding.
//
//	defer l.Close()
func (l *Links) Close() {
	l.Cut("")
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.doors {
		if d.ear != nil {
			d.ear.Close()
		}
	}
	for c := range l.cons {
		c.Close()
	}
}

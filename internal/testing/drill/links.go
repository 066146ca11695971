package drill

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Links carries all connections between the processes of a fleet, so that a zone can be isolated. Each process is
// reached through a forwarder and dials from an address of its zone, which identifies the zone of the caller.
type Links struct {
	zones       []string
	mu          sync.Mutex
	isolated    string        // the isolated zone, or ""
	changed     chan struct{} // closed and replaced at each change of isolated
	forwarders  map[string]*forwarder
	connections map[net.Conn]bool
}

// forwarder accepts connections on behalf of one process.
type forwarder struct {
	listener     net.Listener // nil while connections are refused
	zone, target string
}

// NewLinks returns links between the given zones, none of them isolated.
func NewLinks(zones []string) *Links {
	return &Links{zones: zones, changed: make(chan struct{}), forwarders: map[string]*forwarder{}, connections: map[net.Conn]bool{}}
}

// IP returns the loopback address that a zone's processes listen on and dial from.
func (l *Links) IP(zone string) string {
	return fmt.Sprintf("127.0.%d.1", 10+slices.Index(l.zones, zone))
}

// Isolate separates a zone from all others; "" ends that. Open connections stay open and their data waits, as on a
// network link that is down.
func (l *Links) Isolate(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated = zone
	close(l.changed)
	l.changed = make(chan struct{})
}

// Blocked reports whether two zones are separated. The channel is closed when that may have changed.
func (l *Links) Blocked(a, b string) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a != b && l.isolated != "" && (a == l.isolated || b == l.isolated), l.changed
}

// Open starts a forwarder to the address of a process in a zone, and returns its own address.
func (l *Links) Open(zone, target string) (string, error) {
	listener, err := freePort("127.0.0.1")
	if err != nil {
		return "", err
	}
	addr := listener.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forwarders[addr] = &forwarder{zone: zone, target: target}
	l.serve(l.forwarders[addr], listener)
	return addr, nil
}

// Refuse closes a forwarder's listener, so that connections are refused as on a port without a listener.
func (l *Links) Refuse(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.forwarders[addr]; f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
	}
}

// Accept listens again after Refuse.
func (l *Links) Accept(addr string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.forwarders[addr]
	if f.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", addr)
	if err == nil {
		l.serve(f, listener)
	}
	return err
}

// serve starts to accept and forward connections. The caller holds the lock.
func (l *Links) serve(f *forwarder, listener net.Listener) {
	f.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, f.zone, f.target)
		}
	}()
}

func (l *Links) forward(in net.Conn, zone, target string) {
	from := zone // the drill's own calls count as calls from within the zone, and are never blocked
	ip, _, _ := strings.Cut(in.RemoteAddr().String(), ":")
	for _, z := range l.zones {
		if l.IP(z) == ip {
			from = z
		}
	}
	out, err := net.DialTimeout("tcp", target, 2*time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	l.mu.Lock()
	l.connections[in], l.connections[out] = true, true
	l.mu.Unlock()
	var relays sync.WaitGroup
	relay := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			for blocked, changed := l.Blocked(from, zone); blocked; blocked, changed = l.Blocked(from, zone) {
				<-changed
			}
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil || err != nil {
				break
			}
		}
		_ = dst.(*net.TCPConn).CloseWrite() // fails if the peer has closed first
	}
	relays.Go(func() { relay(out, in) })
	relay(in, out)
	relays.Wait()
	l.mu.Lock()
	delete(l.connections, in)
	delete(l.connections, out)
	l.mu.Unlock()
	_ = in.Close()
	_ = out.Close()
}

// Close ends all forwarders and their connections.
func (l *Links) Close() {
	l.Isolate("")
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.forwarders {
		if f.listener != nil {
			_ = f.listener.Close()
		}
	}
	for c := range l.connections {
		_ = c.Close()
	}
}

package drill

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Links carries all that goes between the halls of a rehearsal fleet: each process is known by a
// forwarder's address, and dials from its hall's own, so that the link of one hall can be cut.
type Links struct {
	halls []string
	mu    sync.Mutex
	cut   string        // the hall that is cut off, or ""
	turn  chan struct{} // closed with each change
	ears  []net.Listener
	cons  map[net.Conn]bool
}

// NewLinks makes links between halls.
//
//	f.Links = drill.NewLinks(mix.Halls)
func NewLinks(halls []string) *Links {
	return &Links{halls: halls, turn: make(chan struct{}), cons: map[net.Conn]bool{}}
}

// IP is the loopback address that a hall's processes listen on and dial from.
//
//	l.IP("north")
func (l *Links) IP(hall string) string {
	return fmt.Sprintf("127.0.%d.1", 10+slices.Index(l.halls, hall))
}

// Cut cuts a hall off from all others; "" heals. What is under way waits, as on a dark line.
//
//	l.Cut("north"); defer l.Cut("")
func (l *Links) Cut(hall string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = hall
	close(l.turn)
	l.turn = make(chan struct{})
}

// Dark tells whether nothing gets from one hall to another, and when to ask again.
//
//	dark, turn := l.Dark("north", "east")
func (l *Links) Dark(a, b string) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a != b && l.cut != "" && (a == l.cut || b == l.cut), l.turn
}

// Open forwards a new address to a process of a hall.
//
//	at, err := l.Open("north", "127.0.11.1:7501")
func (l *Links) Open(hall, to string) (string, error) {
	ear, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.ears = append(l.ears, ear)
	l.mu.Unlock()
	go func() {
		for {
			con, err := ear.Accept()
			if err != nil {
				return
			}
			go l.carry(con, hall, to)
		}
	}()
	return ear.Addr().String(), nil
}

func (l *Links) carry(in net.Conn, hall, to string) {
	from := hall // the drill's own calls are never cut
	ip, _, _ := strings.Cut(in.RemoteAddr().String(), ":")
	for _, h := range l.halls {
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
			for dark, turn := l.Dark(from, hall); dark; dark, turn = l.Dark(from, hall) {
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
	for _, c := range l.ears {
		c.Close()
	}
	for c := range l.cons {
		c.Close()
	}
}

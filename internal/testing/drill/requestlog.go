package drill

import (
	"net/http"
	"sync"
	"time"
)

// Seen is one request as a stand-in runner received it, byte for byte.
type Seen struct {
	Runner   string
	RunID    string
	At       time.Time
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	Cut      bool // the body broke off: its sender died, and the runner did nothing with it
	Finished bool // answered to the last byte
}

// RequestLog is what all stand-in runners received, in order.
type RequestLog struct {
	mu  sync.Mutex
	all []*Seen
}

func (d *RequestLog) add(s *Seen) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, s)
}

func (d *RequestLog) end(s *Seen) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Finished = true
}

// All copies the log.
func (d *RequestLog) All() []Seen {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Seen, len(d.all))
	for i, s := range d.all {
		out[i] = *s
	}
	return out
}

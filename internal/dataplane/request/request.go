// Package request holds the states that every request goes through, and a log of the requests that did
// not end well.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// State is how far a request has come.
type State string

// The states of a request. Their texts are read by operators and stay as they are.
const (
	Read       State = "read"
	Identified State = "known"
	Routed     State = "mapped"
	Admitted   State = "allowed"
	Queued     State = "queued"
	Chosen     State = "nominated"
	Sent       State = "sent"
	Responding State = "answering"
	Done       State = "done"
	Rejected   State = "bounced"
	Failed     State = "troubled"
)

// transitions lists where each state may lead. Nothing leads from sent back to queued: once a byte may
// have left, a request is never sent again.
var transitions = map[State][]State{
	Read:       {Identified, Rejected},
	Identified: {Routed, Rejected},
	Routed:     {Admitted, Rejected},
	Admitted:   {Queued, Rejected},
	Queued:     {Chosen, Rejected},
	Chosen:     {Sent, Queued, Rejected},
	Sent:       {Responding, Failed},
	Responding: {Done, Failed},
}

// Step is one entry of a request's record.
type Step struct {
	State State         `json:"state"`
	After time.Duration `json:"after_ns"`
	Note  string        `json:"note,omitempty"`
}

// Request is one request on its way.
type Request struct {
	ID      string
	Tenant  string
	Lane    string
	mu      sync.Mutex
	state   State
	started time.Time
	steps   []Step
}

// New begins a request, being read.
func New() *Request {
	var id [12]byte
	rand.Read(id[:])
	r := &Request{ID: hex.EncodeToString(id[:]), state: Read, started: time.Now()}
	r.steps = append(r.steps, Step{State: Read})
	return r
}

// Advance moves the request on, or refuses a step that the chart does not have.
func (r *Request) Advance(to State, note string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, allowed := range transitions[r.state] {
		if allowed == to {
			r.state = to
			r.steps = append(r.steps, Step{to, time.Since(r.started), note})
			return nil
		}
	}
	return eris.Errorf("query %s: no way from %s to %s", r.ID, r.state, to)
}

// State tells where the request stands.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Age is the time since the request began.
func (r *Request) Age() time.Duration { return time.Since(r.started) }

// Record is what is kept of a request.
type Record struct {
	ID     string `json:"query"`
	Tenant string `json:"tenant"`
	Lane   string `json:"lane"`
	Code   string `json:"code"`
	Steps  []Step `json:"steps"`
}

// Record is the request's way so far, with the code it ended in.
func (r *Request) Record(code string) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Record{r.ID, r.Tenant, r.Lane, code, append([]Step(nil), r.steps...)}
}

// Started is when the request began to be read.
func (r *Request) Started() time.Time { return r.started }

// Log keeps the records of the last failed or rejected requests.
type Log struct {
	mu      sync.Mutex
	records []Record
	next    int
}

// NewLog makes a log of n records.
func NewLog(n int) *Log { return &Log{records: make([]Record, 0, n)} }

// Add keeps a request's record.
func (l *Log) Add(r *Request, code string) {
	record := r.Record(code)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) < cap(l.records) {
		l.records = append(l.records, record)
		return
	}
	l.records[l.next] = record
	l.next = (l.next + 1) % len(l.records)
}

// All gives the records, oldest first.
func (l *Log) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]Record{}, l.records[l.next:]...), l.records[:l.next]...)
}

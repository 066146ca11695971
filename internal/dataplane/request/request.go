// Package request tracks the state of each request, and keeps a log of requests that failed or were rejected.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// State is a stage in the life of a request.
type State string

// The states of a request. Operators read their texts: do not change them.
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

// transitions lists the states that may follow each state. Sent never leads back to Queued: once a byte may have left,
// a request is never sent again.
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

// Step is one state transition in the record of a request.
type Step struct {
	State State         `json:"state"`
	After time.Duration `json:"after_ns"`
	Note  string        `json:"note,omitempty"`
}

// Request is a request in progress. mu guards state and steps.
type Request struct {
	ID      string
	Tenant  string
	Lane    string
	mu      sync.Mutex
	state   State
	started time.Time
	steps   []Step
}

// New creates a request in state Read, with a random ID.
func New() *Request {
	var id [12]byte
	rand.Read(id[:])
	r := &Request{ID: hex.EncodeToString(id[:]), state: Read, started: time.Now()}
	r.steps = append(r.steps, Step{State: Read})
	return r
}

// Advance moves the request to a state. It returns an error if the transition is not allowed.
func (r *Request) Advance(to State, note string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, next := range transitions[r.state] {
		if next == to {
			r.state = to
			r.steps = append(r.steps, Step{to, time.Since(r.started), note})
			return nil
		}
	}
	return eris.Errorf("query %s: invalid state transition from %s to %s", r.ID, r.state, to)
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Age returns the time since the request was created.
func (r *Request) Age() time.Duration { return time.Since(r.started) }

// Record is the log entry of a request.
type Record struct {
	ID     string `json:"query"`
	Tenant string `json:"tenant"`
	Lane   string `json:"lane"`
	Code   string `json:"code"`
	Steps  []Step `json:"steps"`
}

// Record returns the state transitions so far, with the result code of the request.
func (r *Request) Record(code string) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Record{r.ID, r.Tenant, r.Lane, code, append([]Step(nil), r.steps...)}
}

// Started returns the time at which the request was created.
func (r *Request) Started() time.Time { return r.started }

// Log is a ring buffer of the records of failed and rejected requests.
type Log struct {
	mu      sync.Mutex
	records []Record
	next    int
}

// NewLog creates a log with a capacity of n records.
func NewLog(n int) *Log { return &Log{records: make([]Record, 0, n)} }

// Add stores the record of a request, and overwrites the oldest one if the log is full.
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

// All returns the records, oldest first.
func (l *Log) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]Record{}, l.records[l.next:]...), l.records[:l.next]...)
}

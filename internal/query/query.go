// Package query is the state chart that every query goes through, with the log of those that
// ended badly.
package query

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// State is where a query stands.
type State string

// The states of a query's way.
const (
	Read      State = "read"
	Known     State = "known"
	Mapped    State = "mapped"
	Allowed   State = "allowed"
	Queued    State = "queued"
	Nominated State = "nominated"
	Sent      State = "sent"
	Answering State = "answering"
	Done      State = "done"
	Bounced   State = "bounced"
	Troubled  State = "troubled"
)

// legal lists where each state may lead. Nothing leads from sent back to queued: once a byte may
// have left, a query is never sent again.
var legal = map[State][]State{
	Read:      {Known, Bounced},
	Known:     {Mapped, Bounced},
	Mapped:    {Allowed, Bounced},
	Allowed:   {Queued, Bounced},
	Queued:    {Nominated, Bounced},
	Nominated: {Sent, Queued, Bounced},
	Sent:      {Answering, Troubled},
	Answering: {Done, Troubled},
}

// Step is one entry of a query's record.
type Step struct {
	State State         `json:"state"`
	After time.Duration `json:"after_ns"`
	Note  string        `json:"note,omitempty"`
}

// Query is one query on its way.
type Query struct {
	Id     string
	Tenant string
	Lane   string
	mu     sync.Mutex
	state  State
	begun  time.Time
	steps  []Step
}

// New begins a query, being read.
//
//	q := query.New()
func New() *Query {
	var b [12]byte
	rand.Read(b[:])
	q := &Query{Id: hex.EncodeToString(b[:]), state: Read, begun: time.Now()}
	q.steps = append(q.steps, Step{State: Read})
	return q
}

// Go moves the query on, or refuses a step that the chart does not have.
//
//	if err := q.Go(query.Sent, "127.0.0.1:9001"); err != nil { ... }
func (q *Query) Go(to State, note string) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range legal[q.state] {
		if s == to {
			q.state = to
			q.steps = append(q.steps, Step{to, time.Since(q.begun), note})
			return nil
		}
	}
	return eris.Errorf("query %s: no way from %s to %s", q.Id, q.state, to)
}

// State tells where the query stands.
//
//	if q.State() == query.Sent { ... }
func (q *Query) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state
}

// Age is the time since the query began.
//
//	wait := q.Age()
func (q *Query) Age() time.Duration { return time.Since(q.begun) }

// Record is what is kept of a query.
type Record struct {
	Id     string `json:"query"`
	Tenant string `json:"tenant"`
	Lane   string `json:"lane"`
	Code   string `json:"code"`
	Steps  []Step `json:"steps"`
}

// Record is the query's way so far, with the code it ended in.
//
//	r := q.Record("patience-out")
func (q *Query) Record(code string) Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Record{q.Id, q.Tenant, q.Lane, code, append([]Step(nil), q.steps...)}
}

// Begun is when the query began to be read.
//
//	at := q.Begun()
func (q *Query) Begun() time.Time { return q.begun }

// Log keeps the records of the last troubled or bounced queries.
type Log struct {
	mu   sync.Mutex
	ring []Record
	next int
}

// NewLog makes a log of n records.
//
//	l := query.NewLog(256)
func NewLog(n int) *Log { return &Log{ring: make([]Record, 0, n)} }

// Add keeps a query's record.
//
//	l.Add(q, "patience-out")
func (l *Log) Add(q *Query, code string) {
	r := q.Record(code)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, r)
		return
	}
	l.ring[l.next] = r
	l.next = (l.next + 1) % len(l.ring)
}

// All gives the records, oldest first.
//
//	for _, r := range l.All() { ... }
func (l *Log) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]Record{}, l.ring[l.next:]...), l.ring[:l.next]...)
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	callTimeout = time.Second            // for the acknowledgement of a beat, as on the users' pages
	eventGap    = 100 * time.Millisecond // between two events of a stream
)

// arrival is one request that a runner has begun to work on.
type arrival struct {
	id     string // of the client's try
	at     time.Time
	events int // sent so far
	whole  bool
	tenant []string
}

// runner is the stand-in of one life of a runner. Its methods may be called concurrently.
type runner struct {
	fleet    *fleet
	id       string
	service  string
	address  string
	zone     string
	slots    int
	queue    int
	work     time.Duration // of a request that is no stream
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once

	mu           sync.Mutex
	state        string
	sequence     int
	cutUntil     time.Time // until then its calls to the cores stay without an answer
	silentUntil  time.Time // until then it sends no event
	busy         int
	waiting      int
	arrivals     []*arrival
	acknowledged map[string]time.Time // when a state was first acknowledged
}

// startRunner starts a runner of a service and its beats.
func (f *fleet) startRunner(service string, slots, queue int, work time.Duration) (*runner, error) {
	number := len(f.runners) + 1
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.9.%d:0", f.network, number))
	if err != nil {
		return nil, err
	}
	r := &runner{fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, address: listener.Addr().String(), zone: zones[number%len(zones)],
		slots: slots, queue: queue, work: work, stop: make(chan struct{}), state: "ready", acknowledged: map[string]time.Time{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	f.runners = append(f.runners, r)
	go r.beatLoop()
	return r, nil
}

// end ends the runner at once.
func (r *runner) end() {
	r.stopOnce.Do(func() {
		close(r.stop)
		_ = r.server.Close()
	})
}

// beatLoop sends a beat about every heartbeatTime, as long as the runner lives.
func (r *runner) beatLoop() {
	for {
		r.beat()
		select {
		case <-time.After(heartbeatTime):
		case <-r.stop:
			return
		}
	}
}

// beat calls one core after the other with the runner's state until one acknowledges it, and reports whether one did.
func (r *runner) beat() bool {
	addresses := r.fleet.controlAddresses()
	for i := range addresses {
		r.mu.Lock()
		r.sequence++
		state, sequence, cut := r.state, r.sequence, time.Until(r.cutUntil)
		r.mu.Unlock()
		if cut > 0 { // the call gets no answer
			time.Sleep(min(cut, callTimeout))
			continue
		}
		status, err := post(addresses[(i+sequence)%len(addresses)], "/Runners.Heartbeat/"+r.id, r.beatBody(state, sequence), nil)
		if err == nil && status/100 == 2 {
			r.acknowledge(state)
			return true
		}
	}
	return false
}

// beatBody returns the body of a beat.
func (r *runner) beatBody(state string, sequence int) []byte {
	raw, err := json.Marshal(map[string]any{"backend": r.service, "address": r.address, "zone": r.zone, "revision": "v1", "capacity": r.slots,
		"runnerState": state, "warmupLeftMs": 0, "phase": "combined", "models": []any{}, "sequence": sequence})
	if err != nil {
		panic(err) // cannot happen: the body holds only strings and numbers
	}
	return raw
}

// acknowledge records the first acknowledgement of a state.
func (r *runner) acknowledge(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.acknowledged[state]; !known {
		r.acknowledged[state] = time.Now()
		r.fleet.record.add(r.id, "%s is acknowledged", state)
	}
}

// acknowledgedAt returns when a state was first acknowledged; the zero time if it was not.
func (r *runner) acknowledgedAt(state string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged[state]
}

// drain makes the runner say that it is leaving, and waits for the acknowledgement.
func (r *runner) drain() bool {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.fleet.record.add(r.id, "says draining")
	return r.beat()
}

// cut cuts the runner off from the cores for a while.
func (r *runner) cut(span time.Duration) {
	r.mu.Lock()
	r.cutUntil = time.Now().Add(span)
	r.mu.Unlock()
	r.fleet.record.add(r.id, "is cut off from the cores for %v", span)
}

// silence makes the runner send no event for a while.
func (r *runner) silence(span time.Duration) {
	r.mu.Lock()
	r.silentUntil = time.Now().Add(span)
	r.mu.Unlock()
	r.fleet.record.add(r.id, "sends nothing for %v", span)
}

// enter takes a slot, after a wait in the queue if all are taken. It reports false if the queue is full too.
func (r *runner) enter(request *http.Request) bool {
	r.mu.Lock()
	if r.busy >= r.slots && r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	for r.busy >= r.slots && request.Context().Err() == nil {
		r.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		r.mu.Lock()
	}
	r.waiting--
	r.busy++
	r.mu.Unlock()
	return true
}

func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
}

// full reports whether the runner turns the next request away.
func (r *runner) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.busy >= r.slots && r.waiting >= r.queue
}

// serve handles a request as the users' pages say.
func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Yarrowridge-Attempt-Id")
	w.Header().Set("Yarrowridge-Attempt-Id", id)
	if expected := request.Header.Get("Yarrowridge-Expect-Runner"); expected != "" && expected != r.id {
		w.Header().Set("Yarrowridge-Runner-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !r.enter(request) {
		r.fleet.record.add(r.id, "%s is turned away: full", id)
		w.Header().Set("Yarrowridge-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if request.Context().Err() != nil {
		return // its connection was closed while it waited
	}
	one := &arrival{id: id, at: time.Now(), tenant: request.Header.Values("Yarrowridge-Tenant")}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, one)
	r.mu.Unlock()
	w.Header().Set("Yarrowridge-Runner-Seal", r.id+"."+id)
	if request.URL.Query().Get("events") != "" {
		r.stream(w, request, one)
		return
	}
	r.fleet.record.add(r.id, "runs %s, tenant %q", id, one.tenant)
	time.Sleep(r.work)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer to %s by %s\n", id, r.id) // an error means that the caller has left
}

// stream sends the events that the request asks for, from the one after Last-Event-Id on.
func (r *runner) stream(w http.ResponseWriter, request *http.Request, one *arrival) {
	events, _ := strconv.Atoi(request.URL.Query().Get("events"))
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.fleet.record.add(r.id, "runs stream %s from event %d to %d", one.id, last+1, events)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for number := last + 1; number <= events; number++ {
		if !r.pause(request) {
			r.fleet.record.add(r.id, "the caller of stream %s left after event %d", one.id, number-1)
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, one.id)
		if err != nil || controller.Flush() != nil {
			return
		}
		r.mu.Lock()
		one.events = number
		r.mu.Unlock()
	}
	r.mu.Lock()
	one.whole = true
	r.mu.Unlock()
	r.fleet.record.add(r.id, "stream %s is whole", one.id)
}

// pause waits until the next event is due. It reports false if the caller has left.
func (r *runner) pause(request *http.Request) bool {
	wait := eventGap
	for {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			return false
		case <-r.stop:
			return false
		}
		r.mu.Lock()
		wait = time.Until(r.silentUntil)
		r.mu.Unlock()
		if wait <= 0 {
			return true
		}
	}
}

// find returns the arrival of a try, if the runner has begun to work on it.
func (r *runner) find(id string) (arrival, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.arrivals {
		if one.id == id {
			return *one, true
		}
	}
	return arrival{}, false
}

// arrivalsAfter returns the requests that the runner began to work on after a time.
func (r *runner) arrivalsAfter(after time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []arrival
	for _, one := range r.arrivals {
		if one.at.After(after) {
			late = append(late, *one)
		}
	}
	return late
}

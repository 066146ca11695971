package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a runner, and what the runner did with it.
type arrival struct {
	runner   *runner
	id       string
	path     string
	tenant   string
	body     int
	at       time.Time
	ran      bool
	answered time.Time // zero: the answer was not written whole
}

// runner is the stand-in of a runner. It follows the pages; answer may replace how it answers a request that it runs.
type runner struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	listener net.Listener
	server   *http.Server
	ended    chan struct{}
	once     sync.Once

	mu       sync.Mutex
	state    string
	sequence int
	arrivals []*arrival
	answer   func(w http.ResponseWriter, r *http.Request, a *arrival) // nil: the usual answer
}

const (
	orderWork = 30 * time.Millisecond
	eventGap  = 50 * time.Millisecond
)

func (f *fleet) startRunner(service string) (*runner, error) {
	number := len(f.runners) + 1
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.9.%d:0", f.network, number))
	if err != nil {
		return nil, err
	}
	r := &runner{fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%len(zones)],
		address: listener.Addr().String(), listener: listener, ended: make(chan struct{}), state: "ready"}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = r.server.Serve(listener) }()
	go r.sendHeartbeats()
	f.runners = append(f.runners, r)
	return r, nil
}

// end ends the runner at once, as a crash does.
func (r *runner) end() {
	r.once.Do(func() {
		close(r.ended)
		_ = r.server.Close()
	})
}

func (r *runner) sendHeartbeats() {
	for {
		r.heartbeat()
		select {
		case <-time.After(heartbeatTime):
		case <-r.ended:
			return
		}
	}
}

func (r *runner) body() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	raw, err := json.Marshal(map[string]any{"backend": r.service, "address": r.address, "zone": r.zone, "revision": "v1", "capacity": 64,
		"runnerState": r.state, "warmupLeftMs": 0, "phase": "combined", "models": []any{}, "sequence": r.sequence})
	if err != nil {
		return nil
	}
	return raw
}

// heartbeat calls one core after the other until one acknowledges it.
func (r *runner) heartbeat() bool {
	for i := range r.fleet.cores {
		core := r.fleet.cores[(i+len(r.id))%len(r.fleet.cores)]
		if status, _ := post(core.controlAddress(), "/Runners.Heartbeat/"+r.id, r.body(), nil); status/100 == 2 {
			return true
		}
	}
	return false
}

func (r *runner) setAnswer(answer func(w http.ResponseWriter, r *http.Request, a *arrival)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = answer
}

func (r *runner) all() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals...)
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Yarrowridge-Attempt-Id")
	w.Header().Set("Yarrowridge-Attempt-Id", id)
	a := &arrival{runner: r, id: id, path: request.URL.Path, tenant: request.Header.Get("Yarrowridge-Tenant"), body: len(body), at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	answer := r.answer
	r.mu.Unlock()
	if expected := request.Header.Get("Yarrowridge-Expect-Runner"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	r.fleet.rec.add("runner %s runs %s %s", r.id, id, a.path)
	w.Header().Set("Yarrowridge-Runner-Seal", r.id+"."+id)
	if answer == nil {
		answer = usualAnswer
	}
	answer(w, request, a)
}

// usualAnswer streams the events that the query asks for, or answers an order.
func usualAnswer(w http.ResponseWriter, r *http.Request, a *arrival) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	if events == 0 {
		time.Sleep(orderWork)
		if _, err := fmt.Fprintf(w, "answer to %s\n", a.id); err == nil {
			a.answered = time.Now()
		}
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, a.id, n); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
	a.answered = time.Now()
}

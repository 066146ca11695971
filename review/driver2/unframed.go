package main

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["nolength"] = noLength }

const (
	shortStream     = 10 // events
	maxClosed       = 3  // connections that may be closed without an answer
	requestsPerPath = 2  // for each router
)

// answerWithoutLength answers as usual, but the answer has no length and ends with its connection, in order.
func answerWithoutLength(w http.ResponseWriter, r *http.Request, a *arrival) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	write := func(format string, args ...any) bool {
		_, err := fmt.Fprintf(buffer, format, args...)
		return err == nil && buffer.Flush() == nil
	}
	kind := "text/event-stream"
	if events == 0 {
		kind = "text/plain"
		time.Sleep(orderWork)
	}
	if !write("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nYarrowridge-Attempt-Id: %s\r\nYarrowridge-Runner-Seal: %s.%s\r\nConnection: close\r\n\r\n", kind, a.id, a.runner.id, a.id) {
		return
	}
	if events == 0 && !write("answer to %s\n", a.id) {
		return
	}
	for n := first + 1; n <= events; n++ {
		if !write("id: %d\ndata: %s %d\n\n", n, a.id, n) {
			return
		}
		time.Sleep(eventGap)
	}
	a.answered = time.Now()
}

// noLength sends streams and orders, on connections that have carried a request before, to sound runners whose answers have no
// length and end with their connection. Half of the routers get a SIGHUP, which is planned work, right before.
func noLength(rec *record, disrupt bool) (verdict, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	if err := f.start(baseConfig(5), map[string]int{modelService: 4, deskService: 2}); err != nil {
		return verdict{}, err
	}
	if err := f.warmUp(2); err != nil {
		return verdict{}, err
	}
	if disrupt {
		for _, r := range f.runners {
			r.setAnswer(answerWithoutLength)
		}
		rec.add("from now on answers of runners have no length and end with their connection")
	}
	closed, planned, lost, sent := 0, 0, 0, 0
	for i, m := range f.routers {
		isPlanned := i%2 == 1
		if isPlanned {
			m.signal(syscall.SIGHUP)
			rec.add("SIGHUP to %s", m.name)
		}
		for _, path := range []string{checkPath, notesPath, orderPath, ackPath} {
			for range requestsPerPath {
				a, err := f.sendOnKept(m, path)
				if err != nil {
					return verdict{}, err
				}
				sent++
				rec.add("%s", a)
				switch {
				case !a.complete:
					closed++
					if isPlanned {
						planned++
					}
				case a.status != http.StatusOK:
					lost++
				}
			}
		}
	}
	return verdict{broken: closed > maxClosed || planned > 0, text: fmt.Sprintf("LOST: of %d requests that sound runners answered whole, %d ended with a closed connection and no complete answer (%d of them around a SIGHUP), and %d with a 502 in place of the runner's answer",
		sent, closed, planned, lost)}, nil
}

// sendOnKept sends a request on a connection that has carried one before, which the router itself answered.
func (f *fleet) sendOnKept(m *machine, path string) (*attempt, error) {
	c, err := connect(m)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if a := c.send("/none/", 0, time.Second, ""); a.status != http.StatusNotFound {
		return nil, fmt.Errorf("a path without a route got %s", a)
	}
	events := 0
	if path == checkPath || path == notesPath {
		events = shortStream
	}
	return c.send(path, events, 20*time.Second, "hello"), nil
}

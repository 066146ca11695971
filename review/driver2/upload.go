package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upload"] = upload }

const (
	uploadTime   = 4 * time.Second         // from the head of a request to the end of its body
	changeAfter  = time.Second             // from the head of the requests to the change
	silence      = 1500 * time.Millisecond // of a runner, once in each stream
	silentAfter  = 10                      // events
	uploadEvents = 40
)

// answerWithSilence answers as usual, but it sends nothing for a while in the middle of a stream, unless it resumes one.
func answerWithSilence(w http.ResponseWriter, r *http.Request, a *arrival) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if events <= silentAfter {
		usualAnswer(w, r, a)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		pause := eventGap
		if n == silentAfter && first == 0 {
			pause = silence
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, a.id, n); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			a.runner.fleet.rec.add("runner %s: the caller of %s left after event %d", a.runner.id, a.id, n)
			return
		}
	}
	a.answered = time.Now()
}

// upload lets clients send the heads of requests on a route that may not be resumed and their bodies 4 s later. Meanwhile the
// operator gives the route streamResume. Each runner is silent for 1.5 s once in each stream, and then goes on.
func upload(rec *record, disrupt bool) (verdict, error) {
	f, err := newFleet(rec, 5, 4)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	if err := f.start(baseConfig(5), map[string]int{modelService: 6, deskService: 2}); err != nil {
		return verdict{}, err
	}
	if err := f.warmUp(20); err != nil {
		return verdict{}, err
	}
	for _, r := range f.runners {
		r.setAnswer(answerWithSilence)
	}
	var streams sync.WaitGroup
	attempts := make([]*attempt, 8)
	for i := range attempts {
		c, err := connect(f.routers[i%len(f.routers)])
		if err != nil {
			return verdict{}, err
		}
		if a := c.send(checkPath, 2, 5*time.Second, "hello"); a.status != http.StatusOK {
			return verdict{}, fmt.Errorf("the first request on the connection got %s", a)
		}
		streams.Go(func() {
			defer c.close()
			attempts[i] = c.sendSlowly(checkPath, uploadEvents, 28*time.Second)
		})
	}
	time.Sleep(changeAfter)
	if disrupt {
		next := map[string]any{"revision": 7, "upsert": map[string]any{"routes": []any{route("check", "/check/", "streaming", modelService, 30000, 2, true)}}}
		if !f.operate("/Config.Update", 5, next, 4*time.Second) {
			return verdict{}, fmt.Errorf("the change was not acknowledged")
		}
		rec.add("acknowledged: route check has streamResume from now on")
	}
	streams.Wait()
	closed := 0
	for _, a := range attempts {
		rec.add("%s", a)
		if !a.complete && !a.gaveUp {
			closed++
		}
	}
	return verdict{broken: closed > maxClosed, text: fmt.Sprintf("LOST: %d of %d streams of sound runners ended with a closed connection and no complete answer", closed, len(attempts))}, nil
}

// sendSlowly sends the head of a request and half of its body at once, and the rest after uploadTime.
func (c *client) sendSlowly(path string, events int, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), path: path, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	head := []string{fmt.Sprintf("POST %s?events=%d HTTP/1.1", path, events), "Host: " + host, "Yarrowridge-Attempt-Id: " + a.id,
		fmt.Sprintf("Yarrowridge-Deadline-Ms: %d", deadline.Milliseconds()), "X-Api-Key: " + tenantKey, "Content-Length: 10", "", "hello"}
	if _, a.err = io.WriteString(c.conn, strings.Join(head, "\r\n")); a.err != nil {
		return a
	}
	time.Sleep(uploadTime)
	if _, a.err = io.WriteString(c.conn, "world"); a.err != nil {
		return a
	}
	_ = c.conn.SetReadDeadline(a.sent.Add(deadline))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err, a.gaveUp = err, errors.Is(err, os.ErrDeadlineExceeded)
		return a
	}
	a.status = response.StatusCode
	for lines := bufio.NewScanner(response.Body); ; {
		if !lines.Scan() {
			a.err = lines.Err()
			break
		}
		if strings.HasPrefix(lines.Text(), "id: ") {
			a.events++
		}
	}
	a.gaveUp = errors.Is(a.err, os.ErrDeadlineExceeded)
	a.complete = a.err == nil && a.events == events
	return a
}

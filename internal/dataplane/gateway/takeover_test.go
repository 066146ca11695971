package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// hushedRunner serves streams and is silent on all of them for a while.
type hushedRunner struct {
	silentFrom, silentUntil time.Time
	runs                    *atomic.Int64
}

// newHushedRunner returns a runner that is silent soon, for a little longer than the stall time-out of a service that has just begun.
func newHushedRunner(seed uint64, runs *atomic.Int64) *hushedRunner {
	random := rand.New(rand.NewPCG(1, seed))
	upTo := func(longest time.Duration) time.Duration { return time.Duration(random.Int64N(int64(longest))) }
	from := time.Now().Add(100*time.Millisecond + upTo(200*time.Millisecond))
	return &hushedRunner{silentFrom: from, silentUntil: from.Add(longStall + upTo(800*time.Millisecond)), runs: runs}
}

// awaitSound waits while the runner is silent.
func (r *hushedRunner) awaitSound() {
	if now := time.Now(); now.After(r.silentFrom) && now.Before(r.silentUntil) {
		time.Sleep(r.silentUntil.Sub(now))
	}
}

// serve sends the events after Last-Event-Id up to the last one.
func (r *hushedRunner) serve(conn net.Conn, request *http.Request) {
	r.runs.Add(1)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // without one the stream begins at its first event
	writeStreamHead(conn, request)
	for i := last + 1; i <= longStream; i++ {
		time.Sleep(10 * time.Millisecond)
		r.awaitSound()
		writeEvents(conn, i, i)
	}
	endStream(conn)
}

const (
	longStream     = 80 // events
	hushedRunners  = 5
	hushedStreams  = 40
	streamAttempts = 3
)

// Guards against events that are lost, repeated or mixed up when runners stall and resume at any moment of a takeover.
func TestTakeoversKeepStreamsWhole(t *testing.T) {
	t.Parallel()
	spec := route(routing.Streaming, streamAttempts, true)
	spec.Timeout = 30 * time.Second
	f := newFleet(t, spec)
	f.gateway.Retries.Allowance = hushedStreams * streamAttempts
	var runs atomic.Int64
	for i := range hushedRunners {
		f.addRawRunner(fmt.Sprintf("runner-%d", i), newHushedRunner(uint64(i), &runs).serve)
	}
	var streams sync.WaitGroup
	for i := range hushedStreams {
		streams.Go(func() {
			if _, text, err := f.send(fmt.Sprint(i), "/a/x", "k1", ""); err != nil || text != events(1, longStream) {
				t.Errorf("stream %d: got %q, error %v, want all %d events once and in order", i, text, err, longStream)
			}
		})
	}
	streams.Wait()
	if runs.Load() <= hushedStreams {
		t.Errorf("got %d runs of %d streams, want some streams taken over", runs.Load(), hushedStreams)
	}
}

// Guards against events that are sent twice: a stream whose events have no IDs cannot be resumed after its last one, so it is not resumed.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const text = "data: one\n\ndata: two\n\n"
	for _, c := range []struct {
		name string
		end  func(conn net.Conn)
		want string
	}{
		{"the runner closes the connection", func(conn net.Conn) { closeQuietly(conn) }, text},
		{"the runner is silent", func(conn net.Conn) {
			time.Sleep(hush)
			endStream(conn)
		}, text},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, route(routing.Streaming, 2, true))
			var runs atomic.Int64
			for i := range 2 {
				f.addRawRunner(fmt.Sprintf("runner-%d", i), func(conn net.Conn, r *http.Request) {
					runs.Add(1)
					writeStreamHead(conn, r)
					writeText(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
					c.end(conn)
				})
			}
			if _, got, _ := f.send("1", "/a/x", "k1", ""); got != c.want || runs.Load() != 1 {
				t.Errorf("got %q after %d runs, want %q after 1", got, runs.Load(), c.want)
			}
		})
	}
}

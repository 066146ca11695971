package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// longStall exceeds the stall time-out of a runner with a short prompt, even if no gaps of its service have been measured yet.
const longStall = 1500 * time.Millisecond

// The last attempt of a stream is not ended for a stall, because no other could follow. Here the first runner closes the
// connection, and the second one stalls before the first event and between events.
func TestLastAttemptHasNoStallTimeout(t *testing.T) {
	f := newFleet(t, route(routing.Streaming, 2, true))
	var sent atomic.Int64
	f.addRawRunner("breaks", func(conn net.Conn, _ *http.Request) {
		sent.Add(1)
		closeQuietly(conn)
	})
	slow := func(conn net.Conn, r *http.Request) {
		if sent.Add(1) == 1 {
			closeQuietly(conn) // the runner of the first attempt closes the connection
			return
		}
		time.Sleep(longStall)
		writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id")))
		for i := 1; i <= 2; i++ {
			text := events(i, i)
			writeText(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
			time.Sleep(longStall)
		}
		writeText(conn, "0\r\n\r\n")
	}
	f.addRawRunner("slow", slow)
	f.addRawRunner("slow too", slow)
	response, text, err := f.send("1", "/a/x", "k1", "")
	if err != nil || response.StatusCode != http.StatusOK || strings.Count(text, "id:") != 2 {
		t.Fatalf("got %v %q, error %v after %d attempts, want 200 with two events", response, text, err, sent.Load())
	}
}

// writeStreamHead writes the head of an event stream in chunks.
func writeStreamHead(conn net.Conn, r *http.Request) {
	writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id")))
}

// writeEvents writes events as one chunk.
func writeEvents(conn net.Conn, from, to int) {
	text := events(from, to)
	writeText(conn, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// endStream writes the last chunk.
func endStream(conn net.Conn) { writeText(conn, "0\r\n\r\n") }

const (
	streamLength     = 9 // events of the streams in the tests below
	eventsBeforeHush = 3

	hush = 2500 * time.Millisecond // of the silent runner, well beyond its stall time-out
)

// silentFirst returns a runner that serves the first stream of all runners that share served: it sends some events, is silent for
// hush, and sends the rest. Later streams are served by other.
func silentFirst(served *atomic.Int64, other func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		if served.Add(1) > 1 {
			other(conn, r)
			return
		}
		writeStreamHead(conn, r)
		writeEvents(conn, 1, eventsBeforeHush)
		time.Sleep(hush)
		writeEvents(conn, eventsBeforeHush+1, streamLength)
		endStream(conn)
	}
}

// Guards against streams that are lost because their runner was silent for a while and no other runner took them.
func TestSilenceEndsNoStreamThatNoOtherRunnerTakes(t *testing.T) {
	neverAnswers := func(conn net.Conn, _ *http.Request) { drainBody(conn) }
	for _, c := range []struct {
		name     string
		runners  int
		attempts int
		retries  RetryBounds
		other    func(net.Conn, *http.Request)
	}{
		{"no other runner", 1, 2, RetryBounds{Ratio: 1, Allowance: 10}, nil},
		{"no retry left in the budget", 2, 2, RetryBounds{}, neverAnswers},
		{"the other runner is full", 2, 2, RetryBounds{Ratio: 1, Allowance: 10}, func(conn net.Conn, _ *http.Request) {
			writeText(conn, "HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}},
		{"the other runner closes the connection", 2, 2, RetryBounds{Ratio: 1, Allowance: 10}, func(conn net.Conn, _ *http.Request) { closeQuietly(conn) }},
		{"the other runner fails", 3, 3, RetryBounds{Ratio: 1, Allowance: 10}, func(conn net.Conn, r *http.Request) {
			writeText(conn, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nTest-Seal: s\r\nTest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id")))
		}},
		{"the other runner breaks off before its first event", 2, 2, RetryBounds{Ratio: 1, Allowance: 10}, func(conn net.Conn, r *http.Request) {
			writeStreamHead(conn, r)
			closeQuietly(conn)
		}},
		{"the other runner never answers", 2, 2, RetryBounds{Ratio: 1, Allowance: 10}, neverAnswers},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, route(routing.Streaming, c.attempts, true))
			f.gateway.Retries = c.retries
			var served atomic.Int64
			for i := range c.runners {
				f.addRawRunner(fmt.Sprintf("runner-%d", i), silentFirst(&served, c.other))
			}
			_, text, err := f.send("1", "/a/x", "k1", "")
			if err != nil || text != events(1, streamLength) {
				t.Errorf("got %q, error %v, want all %d events of the runner that was silent", text, err, streamLength)
			}
		})
	}
}

// A stream is taken over from a runner that stays silent, and each of its events arrives once whichever runner sends it.
func TestSilentRunnersStreamIsTakenOver(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstDelay time.Duration // from the silent runner's last event to its next one
		otherDelay time.Duration // from the request to the other runner's first event
		wantTaken  bool
	}{
		{"the silent runner never resumes", time.Minute, 0, true},
		{"the silent runner resumes first", longStall + 300*time.Millisecond, time.Minute, false},
		{"the silent runner resumes while the other one sends", longStall + 200*time.Millisecond, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, route(routing.Streaming, 2, true))
			var served atomic.Int64
			var otherFinished atomic.Bool
			first := func(conn net.Conn, r *http.Request) {
				writeStreamHead(conn, r)
				writeEvents(conn, 1, eventsBeforeHush)
				sleepOrClosed(conn, c.firstDelay)
				writeEvents(conn, eventsBeforeHush+1, streamLength)
				endStream(conn)
			}
			other := func(conn net.Conn, r *http.Request) {
				if got := r.Header.Get("Last-Event-Id"); got != fmt.Sprint(eventsBeforeHush) {
					t.Errorf("the other runner got Last-Event-Id %q, want %d", got, eventsBeforeHush)
				}
				sleepOrClosed(conn, c.otherDelay)
				writeStreamHead(conn, r)
				for i := eventsBeforeHush + 1; i <= streamLength; i++ {
					writeEvents(conn, i, i)
					time.Sleep(50 * time.Millisecond)
				}
				otherFinished.Store(true)
				endStream(conn)
			}
			for i := range 2 {
				f.addRawRunner(fmt.Sprintf("runner-%d", i), func(conn net.Conn, r *http.Request) {
					if served.Add(1) == 1 {
						first(conn, r)
					} else {
						other(conn, r)
					}
				})
			}
			_, text, err := f.send("1", "/a/x", "k1", "")
			if err != nil || text != events(1, streamLength) {
				t.Errorf("got %q, error %v, want all %d events once", text, err, streamLength)
			}
			if got := otherFinished.Load(); got != c.wantTaken {
				t.Errorf("the other runner sent the rest of the stream: got %v, want %v", got, c.wantTaken)
			}
		})
	}
}

// sleepOrClosed waits for a while, or until the peer closes the connection.
func sleepOrClosed(conn net.Conn, span time.Duration) {
	if conn.SetReadDeadline(time.Now().Add(span)) == nil {
		drainBody(conn)
	}
	_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

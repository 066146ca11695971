package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// try is one try of a client, on a connection of its own.
type try struct {
	id       string
	path     string
	deadline time.Duration
	events   int // of a stream; 0: no stream
}

// answer is what the client has seen of the answer.
type answer struct {
	status int    // 0: none
	body   string // as far as it came
	whole  bool   // the end of the body was marked and reached
	failed error  // how the connection ended otherwise
	took   time.Duration
}

// newID returns an id for a try.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a try to a router and reads the answer to its end.
func (f *fleet) send(to *machine, t try) answer {
	begun := time.Now()
	result := f.exchange(to, t)
	result.took = time.Since(begun)
	f.record.add("client", "%s at %s: status %d, %d bytes, whole %v, error %v, after %v", t.id, to.name, result.status, len(result.body), result.whole, result.failed,
		result.took.Round(time.Millisecond))
	return result
}

func (f *fleet) exchange(to *machine, t try) answer {
	connection, err := net.DialTimeout("tcp", to.dataAddress(), time.Second)
	if err != nil {
		return answer{failed: err}
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(t.deadline)); err != nil {
		return answer{failed: err}
	}
	target := t.path
	if t.events > 0 {
		target += fmt.Sprintf("?events=%d", t.events)
	}
	lines := []string{"POST " + target + " HTTP/1.1", "Host: " + host, "Yarrowridge-Attempt-Id: " + t.id,
		fmt.Sprintf("Yarrowridge-Deadline-Ms: %d", t.deadline.Milliseconds()), "X-Api-Key: " + tenantKey, "Content-Length: 5"}
	lines = append(lines, "", "hello")
	if _, err := io.WriteString(connection, strings.Join(lines, "\r\n")); err != nil {
		return answer{failed: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{failed: err}
	}
	body, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return answer{status: response.StatusCode, body: string(body), whole: err == nil && framed, failed: err}
}

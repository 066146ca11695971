package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	host      = "desk"
	tenantKey = "k0n73hh2b9wu3fexd9dn"
)

// Paths of the routes of baseConfig.
const (
	checkPath = "/check/2f" // a stream that may not be resumed
	notesPath = "/notes/2f" // a stream that may be resumed
	ackPath   = "/ack/2f"   // safe
	orderPath = "/order/2f" // unsafe
)

const (
	modelService = "partsllm"
	deskService  = "orderdesk"
)

func route(name, prefix, kind, backend string, timeout, attempts int, resume bool) map[string]any {
	return map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": 250,
		"priority": 1, "backend": backend, "maxAttempts": attempts, "public": false, "sessionAffinity": false, "streamResume": resume, "targetGapMs": 250}
}

func service(name string, connections int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls" + "Enabled": false}
}

// baseConfig is a whole configuration like that of a small deployment.
func baseConfig(revision int) map[string]any {
	return map[string]any{"revision": revision,
		"routes": []any{route("check", "/check/", "streaming", modelService, 30000, 1, false), route("notes", "/notes/", "streaming", modelService, 30000, 2, true),
			route("ack", "/ack/", "safe", deskService, 2500, 2, false), route("order", "/order/", "unsafe", deskService, 2500, 2, false)},
		"backends": []any{service(modelService, 370), service(deskService, 110)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "apiKeys": []any{tenantKey}, "priority": 1, "ratePerS": 0, "burstSize": 0}}}
}

// attempt is one request of a client and what came of it.
type attempt struct {
	id       string
	path     string
	sent     time.Time
	ended    time.Time
	status   int // 0: no answer
	complete bool
	events   int
	gaveUp   bool
	body     string
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.dataAddress(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send sends a request and reads its answer to the end or to the deadline.
func (c *client) send(path string, events int, deadline time.Duration, body string) *attempt {
	a := &attempt{id: newID(), path: path}
	target := path
	if events > 0 {
		target += fmt.Sprintf("?events=%d", events)
	}
	head := []string{"POST " + target + " HTTP/1.1", "Host: " + host, "Yarrowridge-Attempt-Id: " + a.id,
		fmt.Sprintf("Yarrowridge-Deadline-Ms: %d", deadline.Milliseconds()), "X-Api-Key: " + tenantKey, fmt.Sprintf("Content-Length: %d", len(body)), "", body}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	if _, a.err = io.WriteString(c.conn, strings.Join(head, "\r\n")); a.err != nil {
		return a
	}
	_ = c.conn.SetReadDeadline(a.sent.Add(deadline))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err, a.gaveUp = err, errors.Is(err, os.ErrDeadlineExceeded)
		return a
	}
	a.status = response.StatusCode
	raw, err := io.ReadAll(response.Body)
	a.err, a.gaveUp = err, errors.Is(err, os.ErrDeadlineExceeded)
	a.complete = err == nil
	a.body = string(raw)
	a.events = strings.Count(a.body, "id: ")
	return a
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s %s: status %d, complete %v, %d events, ended after %s, error %v", a.id, a.path, a.status, a.complete, a.events,
		a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
}

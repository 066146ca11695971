package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestMostRecentlyUsedFirst(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	firstExchange, secondExchange := send(t, p, r.address(), getRequest), send(t, p, r.address(), getRequest)
	first, second := r.accept(), r.accept()
	for _, conn := range []*runnerConn{first, second} {
		conn.readRequest()
		conn.writeString(okResponse)
	}
	byPort := map[string]*runnerConn{first.RemoteAddr().String(): first, second.RemoteAddr().String(): second}
	readResponse(t, secondExchange)
	secondExchange.Finish()
	readResponse(t, firstExchange)
	last := firstExchange.connection
	firstExchange.Finish()
	conn := byPort[last.LocalAddr().String()]
	for range 3 {
		runExchange(t, p, r, conn, okResponse)
	}
	wantStats(t, p, 2, 3)
	_ = conn.Close()
	waitUntilUnusable(t, last)
	other := first
	if conn == first {
		other = second
	}
	runExchange(t, p, r, other, okResponse) // skips the stale connection and reuses the older one
	wantStats(t, p, 2, 4)
}

func TestSurplusIdleConnectionsAreClosed(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{MaxIdlePerRunner: 1})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), getRequest))
		conn := r.accept()
		conn.readRequest()
		conn.writeString(okResponse)
	}
	for _, e := range all {
		readResponse(t, e)
		e.Finish()
	}
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d connections open", got)
	}
}

func TestConnectionLimit(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	p.SetMaxConnections(r.address(), 2)
	one, two := send(t, p, r.address(), getRequest), send(t, p, r.address(), getRequest)
	_, err := p.Send(t.Context(), r.address(), getRequest)
	wantSendError(t, err, false, StepConnect, ErrConnectionLimit)
	one.Abort()
	three := send(t, p, r.address(), getRequest)
	p.SetMaxConnections(r.address(), 1)
	two.Abort()
	_, err = p.Send(t.Context(), r.address(), getRequest)
	wantSendError(t, err, false, StepConnect, ErrConnectionLimit)
	p.SetMaxConnections(r.address(), 0)
	send(t, p, r.address(), getRequest).Abort()
	three.Abort()
	if len(p.peers) != 0 {
		t.Fatalf("peers not deleted: %v", p.peers)
	}
}

func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), getRequest))
		conn := r.accept()
		conn.readRequest()
		conn.writeString(okResponse)
	}
	for _, e := range all[:2] {
		readResponse(t, e)
		e.Finish()
	}
	p.SetMaxConnections(r.address(), 2)
	if got := openCount(p, r.address()); got != 2 {
		t.Fatalf("%d connections open with a limit of 2", got)
	}
	p.SetMaxConnections(r.address(), 1)
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d connections open with a limit of 1", got)
	}
	readResponse(t, all[2])
	all[2].Finish()
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d connections open after the last exchange", got)
	}
}

func TestLoweredLimitClosesConnectionsAfterUse(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	var all []*Exchange
	for range 3 {
		all = append(all, send(t, p, r.address(), getRequest))
		conn := r.accept()
		conn.readRequest()
		conn.writeString(okResponse)
	}
	p.SetMaxConnections(r.address(), 2)
	for _, e := range all {
		readResponse(t, e)
		e.Finish()
	}
	if got := openCount(p, r.address()); got != 2 {
		t.Fatalf("%d connections open", got)
	}
}

func TestForget(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	used := send(t, p, r.address(), getRequest)
	busy := r.accept()
	runExchange(t, p, r, nil, okResponse)
	p.Forget(r.address())
	if got := openCount(p, r.address()); got != 1 {
		t.Fatalf("%d connections open", got)
	}
	busy.readRequest()
	busy.writeString(okResponse)
	readResponse(t, used)
	used.Finish()
	if len(p.peers) != 0 {
		t.Fatalf("peers not deleted: %v", p.peers)
	}
	runExchange(t, p, r, nil, okResponse)
	wantStats(t, p, 3, 0)
}

func TestClosedPool(t *testing.T) {
	r, p := newFakeRunner(t), newPool(t, Options{})
	used := send(t, p, r.address(), getRequest)
	busy := r.accept()
	p.Close()
	_, err := p.Send(t.Context(), r.address(), getRequest)
	wantSendError(t, err, false, StepConnect, ErrClosed)
	busy.readRequest()
	busy.writeString(okResponse)
	readResponse(t, used)
	used.Finish()
	if openCount(p, r.address()) != 0 {
		t.Fatal("kept")
	}
}

func TestIdleTimes(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		ttl    time.Duration
	}{
		"ours":             {"", DefaultIdleTimeout},
		"the runner's":     {"Keep-Alive: timeout=5, max=100\r\n", 5*time.Second - keepAliveMargin},
		"ours is shorter":  {"Keep-Alive: max=3, timeout=600\r\n", DefaultIdleTimeout},
		"unreadable":       {"Keep-Alive: timeout=x\r\n", DefaultIdleTimeout},
		"the least we use": {"Keep-Alive: timeout=1\r\n", time.Second - keepAliveMargin},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Options{Dial: pipeRunner("HTTP/1.1 200 OK\r\n" + test.header + "Content-Length: 2\r\n\r\nok")})
				defer p.Close()
				run := func() {
					e := send(t, p, "runner", getRequest)
					readResponse(t, e)
					e.Finish()
				}
				run()
				time.Sleep(test.ttl - 1) // simulated time
				run()
				wantStats(t, p, 1, 1)
				time.Sleep(test.ttl)
				run()
				wantStats(t, p, 2, 1)
				time.Sleep(2*DefaultIdleTimeout + 1)
				synctest.Wait()
				if openCount(p, "runner") != 0 {
					t.Fatal("an idle connection was not closed in time")
				}
			})
		})
	}
}

func TestConcurrentExchanges(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		_, _ = w.Write(append([]byte(q.Header.Get("X-Id")+" "), body...))
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	p := newPool(t, Options{MaxIdlePerRunner: 4})
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
			for i := range 50 {
				id := fmt.Sprint(worker, "-", i)
				ctx, cancel := context.WithCancel(t.Context())
				e, err := p.Send(ctx, listener.Addr().String(), Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, Body: []byte(id)})
				if err != nil {
					t.Error(err)
				} else if i%7 == 0 {
					e.Abort()
				} else if _, err := e.ReadHead(nil); err != nil {
					t.Error(err)
				} else if got, err := io.ReadAll(e.Body); err != nil || string(got) != id+" "+id {
					t.Errorf("%q, %v", got, err)
				} else {
					e.Finish()
				}
				cancel()
			}
		})
	}
	all.Wait()
	if got := openCount(p, listener.Addr().String()); got > 4 {
		t.Fatalf("%d connections open", got)
	}
}

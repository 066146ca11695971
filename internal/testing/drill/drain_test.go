package drill

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A router gets SIGHUP and then SIGTERM while a stream, a plain answer, a request that may run only once and a queued
// request are in flight, each for more than 30 s. It completes all of them before it stops. The drain once ended after
// 30 s.
func TestLongDrain(t *testing.T) {
	takeFleetSlot(t)
	mix := Trentvale()
	mix.Config["pools"].(object)["late"] = object{"select": "app=late", "service": "model"}
	mix.Config["lanes"].(object)["late"] = object{"rank": 5, "patience_ms": 120000, "tenants": []string{"*"}}
	mix.Config["mappings"] = append(mix.Config["mappings"].([]object), object{"method": "POST", "path": "/v1/late", "lane": "late", "pool": "late"},
		object{"method": "POST", "path": "/v1/notes", "lane": "notes", "pool": "fit"})
	mix.Config["lanes"].(object)["notes"] = object{"rank": 5, "tenants": []string{"*"}, "once": true}
	f := startTestFleet(t, mix)
	l := NewLoad(f, 1, 1)
	l.http.Timeout = 2 * time.Minute
	router := f.Routers[0]
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var all sync.WaitGroup
	sendAndCheck := func(number uint64, path string, once bool, tokens int) {
		kind := RequestKind{Name: path, Method: "POST", Path: path, TailBytes: 10, Tokens: tokens, Once: once}
		if o := l.Send(kind, number, kind.body(mix.Model, number, requestRand(number)), "yard-a", router); o.Status != 200 || !o.Complete {
			t.Errorf("%s: got status %d, code %q, error %q after %s", path, o.Status, o.Code, o.Err, o.Duration)
		}
	}
	stream := l.openStream(t, router, "yard-a", 1, 8100)
	all.Go(func() { sendAndCheck(2, "/v1/checks", false, 8100) })
	all.Go(func() { sendAndCheck(3, "/v1/notes", true, 8100) })
	all.Go(func() { sendAndCheck(4, "/v1/late", false, 2) })
	all.Go(func() {
		for next := 0; ; next++ {
			switch i, end := stream.next(); {
			case end != "":
				if end != "done" || next != 8100 {
					t.Errorf("the stream ended with %q after %d chunks", end, next)
				}
				return
			case i != next:
				t.Errorf("got chunk %d at position %d", i, next)
				return
			}
		}
	})
	if err := f.WaitUntil(ctx, "three requests run and one is queued", func() bool {
		_, raw, _ := f.CallOperatorAPI(ctx, "GET", router.OperatorAddr, "/metrics", nil, nil)
		return len(f.RequestLog.All()) == 3 && bytes.Contains(raw, []byte("yarrowridge_queued 1"))
	}); err != nil {
		t.Fatal(err)
	}
	router.Signal(syscall.SIGHUP)
	router.Signal(syscall.SIGTERM)
	stoppedAt := time.Now()
	if err := f.WaitUntil(ctx, "the router refuses new connections", func() bool {
		response, err := http.Get("http://" + router.ClientAddr + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		return err != nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntil(ctx, "more than the former drain limit of 30 s has passed", func() bool { return time.Since(stoppedAt) > 31*time.Second }); err != nil {
		t.Fatal(err)
	}
	lateRunner := &Standin{Name: "late1", Addr: "127.0.0.1:0", Labels: map[string]string{"app": "late", "model": mix.Model, "hall": "west"}, Slots: 4, MaxLength: 8192,
		TokenTime: time.Millisecond, RequestLog: f.RequestLog, HeartbeatAddrs: []string{f.Routers[3].RunnerAddr}}
	if err := lateRunner.Start(); err != nil {
		t.Fatal(err)
	}
	defer lateRunner.Crash()
	all.Wait()
	if !router.Wait(20 * time.Second) {
		t.Error("the router did not stop within 20 s after its last request")
	}
	t.Logf("all requests done and the router stopped after %s", time.Since(stoppedAt).Round(time.Second))
}

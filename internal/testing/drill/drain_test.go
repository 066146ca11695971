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

// A router is told to read its settings anew and then to stop, with a stream, a whole answer, a
// once-only request and a waiting request under way that all take longer than half a minute: none of
// what it has read is dropped.
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
	r := f.Routers[0]
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var all sync.WaitGroup
	sendAndCheck := func(n uint64, path string, once bool, tokens int) {
		k := RequestKind{Name: path, Method: "POST", Path: path, TailBytes: 10, Tokens: tokens, Once: once}
		if o := l.Send(k, n, k.body(mix.Model, n, requestRand(n)), "yard-a", r); o.Status != 200 || !o.Complete {
			t.Errorf("%s: answered %d %s %s after %s", path, o.Status, o.Code, o.Err, o.Duration)
		}
	}
	stream := l.openStream(t, r, "yard-a", 1, 8100)
	all.Go(func() { sendAndCheck(2, "/v1/checks", false, 8100) })
	all.Go(func() { sendAndCheck(3, "/v1/notes", true, 8100) })
	all.Go(func() { sendAndCheck(4, "/v1/late", false, 2) })
	all.Go(func() {
		for n := 0; ; n++ {
			switch i, end := stream.next(); {
			case end != "":
				if end != "done" || n != 8100 {
					t.Errorf("the stream ended %q after %d pieces", end, n)
				}
				return
			case i != n:
				t.Errorf("piece %d in place %d", i, n)
				return
			}
		}
	})
	if err := f.WaitUntil(ctx, "three run and one waits", func() bool {
		_, raw, _ := f.CallOperatorAPI(ctx, "GET", r.OperatorAddr, "/metrics", nil, nil)
		return len(f.RequestLog.All()) == 3 && bytes.Contains(raw, []byte("yarrowridge_queued 1"))
	}); err != nil {
		t.Fatal(err)
	}
	r.Signal(syscall.SIGHUP)
	r.Signal(syscall.SIGTERM)
	at := time.Now()
	if err := f.WaitUntil(ctx, "the router is deaf to new origins", func() bool {
		response, err := http.Get("http://" + r.ClientAddr + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		return err != nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntil(ctx, "more than the old bound of 30 s has passed", func() bool { return time.Since(at) > 31*time.Second }); err != nil {
		t.Fatal(err)
	}
	lateRunner := &Standin{Name: "late1", Addr: "127.0.0.1:0", Labels: map[string]string{"app": "late", "model": mix.Model, "hall": "west"}, Slots: 4, MaxLength: 8192,
		TokenTime: time.Millisecond, RequestLog: f.RequestLog, HeartbeatAddrs: []string{f.Routers[3].RunnerAddr}}
	if err := lateRunner.Start(); err != nil {
		t.Fatal(err)
	}
	defer lateRunner.Crash()
	all.Wait()
	if !r.Wait(20 * time.Second) {
		t.Error("the router does not stop once all is done")
	}
	t.Logf("all done and stopped after %s", time.Since(at).Round(time.Second))
}

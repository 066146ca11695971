package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/core/logx"

	"yarrowridge/internal/model/fleetconfig"
)

var bin string

// buildArgs is how the daemons are built; under the race detector they carry it too.
var buildArgs = []string{"build"}

func TestMain(m *testing.M) {
	logx.Disable()
	dir, err := os.MkdirTemp("", "yarrowridge-test-")
	if err != nil {
		panic(err)
	}
	bin = dir
	out, err := exec.Command("go", append(buildArgs, "-o", dir, "yarrowridge/cmd/router", "yarrowridge/cmd/core")...).CombinedOutput()
	if err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleetSlots bounds how many fleets are up at once: their tests wait for real time most of the while, and hold promises to it.
var fleetSlots = make(chan struct{}, 3)

// takeFleetSlot lets a test run beside others once it may have a fleet. A test that holds a slot takes no second one, and
// begins none of its time limits before.
func takeFleetSlot(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// startTestFleet starts a whole fleet of real processes.
func startTestFleet(t *testing.T, mix Mix) *Fleet {
	t.Helper()
	f, err := NewFleet(mix, bin, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Stop()
		for _, p := range append(append([]*Proc{}, f.Cores...), f.Routers...) {
			raw, err := os.ReadFile(p.logPath)
			if err != nil {
				t.Error(err)
			}
			for _, bad := range []string{"DATA RACE", "panic:"} {
				if i := strings.Index(string(raw), bad); i >= 0 {
					t.Errorf("%s: %.3000s", p.Name, raw[i:])
				}
			}
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	if err := f.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// sendToEachRouter asks n requests of each kind, one after the other at every router in turn.
func sendToEachRouter(l *Load, n int) {
	for _, k := range l.Fleet.Mix.Kinds {
		for i := range n {
			number := l.lastNumber.Add(1)
			r := l.Fleet.Routers[i%len(l.Fleet.Routers)]
			o := l.Send(k, number, k.body(l.Fleet.Mix.Model, number, requestRand(number)), tenantNames(l.Fleet.Mix)[0], r)
			l.mu.Lock()
			l.outcomes = append(l.outcomes, o)
			l.mu.Unlock()
		}
	}
}

// The whole path in separate processes: found, join, heartbeats, configuration, serve, whole and streamed.
func TestEndToEnd(t *testing.T) {
	t.Parallel()
	for _, mix := range []Mix{Trentvale(), Tokachi()} {
		t.Run(mix.Name, func(t *testing.T) {
			takeFleetSlot(t)
			f := startTestFleet(t, mix)
			l := NewLoad(f, 1, 1)
			sendToEachRouter(l, len(f.Routers))
			outcomes := l.Outcomes()
			if s := Summarize(outcomes); s.Done != s.Attempts || s.Attempts != len(mix.Kinds)*len(f.Routers) {
				t.Errorf("%d of %d queries done: %v", s.Done, s.Attempts, s.Codes)
			}
			for _, fromRouter := range Check(Evidence{Mix: mix, Outcomes: outcomes, RunnerRequests: f.RequestLog.All()}) {
				t.Errorf("%s: %s", fromRouter.Promise, fromRouter.Detail)
			}
			// The fleet's state tells with whom each router exchanges news, and the routers say the same.
			_, fleetState, err := f.CallOperatorAPI(t.Context(), "GET", f.Cores[0].OperatorAddr, "/v1/fleet", nil, nil)
			for _, r := range f.Routers {
				_, routerState, e := f.CallOperatorAPI(t.Context(), "GET", r.OperatorAddr, "/v1/relays", nil, nil)
				fromFleet, fromRouter := gjson.GetBytes(fleetState, "relays."+r.Name).Raw, gjson.GetBytes(routerState, "near.#.Name").Raw
				if err != nil || e != nil || fromFleet == "[]" || fromFleet != fromRouter {
					t.Errorf("%s: relays %s by the fleet's state, %s by itself", r.Name, fromFleet, fromRouter)
				}
			}
		})
	}
}

// The shipped examples are the mixes' configs, and hold.
func TestExamples(t *testing.T) {
	for _, mix := range []Mix{Trentvale(), Tokachi()} {
		raw, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", mix.Name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		var a, b any
		if json.Unmarshal(raw, &a) != nil || json.Unmarshal(mix.ConfigJSON(), &b) != nil || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("examples/%s.json differs from the mix: write it anew with drill config", mix.Name)
		}
		if _, bad := fleetconfig.Parse(raw); len(bad) > 0 {
			t.Errorf("examples/%s.json: %v", mix.Name, bad)
		}
	}
}

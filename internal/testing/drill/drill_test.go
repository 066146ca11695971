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

// buildArgs are the arguments of go that build the daemons. Under the race detector they include -race.
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

// fleetSlots limits how many fleets run at once. Their tests mostly wait, so that some can run in parallel, but they
// check time limits in real time, so that too many would slow each other down.
var fleetSlots = make(chan struct{}, 3)

// takeFleetSlot makes a test parallel and waits for a slot, which the test keeps until its end. A test must not take a
// second slot, and must start its time limits only afterwards.
func takeFleetSlot(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// startTestFleet starts a fleet of real processes. At the end of the test it fails if a log shows a data race or a panic.
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
			for _, sign := range []string{"DATA RACE", "panic:"} {
				if i := strings.Index(string(raw), sign); i >= 0 {
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

// sendToEachRouter sends n requests of each kind, one after the other, to the routers in turn.
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

// A fleet of separate processes starts from nothing and serves each kind of request, streamed or not, at every router.
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
				t.Errorf("%d of %d requests succeeded, error codes %v", s.Done, s.Attempts, s.Codes)
			}
			for _, breach := range Check(Evidence{Mix: mix, Outcomes: outcomes, RunnerRequests: f.RequestLog.All()}) {
				t.Errorf("%s: %s", breach.Promise, breach.Detail)
			}
			// The state of the fleet and each router itself report the same relays for the router.
			_, fleetState, err := f.CallOperatorAPI(t.Context(), "GET", f.Cores[0].OperatorAddr, "/v1/fleet", nil, nil)
			for _, r := range f.Routers {
				_, routerState, routerErr := f.CallOperatorAPI(t.Context(), "GET", r.OperatorAddr, "/v1/relays", nil, nil)
				fromFleet, fromRouter := gjson.GetBytes(fleetState, "relays."+r.Name).Raw, gjson.GetBytes(routerState, "near.#.Name").Raw
				if err != nil || routerErr != nil || fromFleet == "[]" || fromFleet != fromRouter {
					t.Errorf("%s: the fleet's state reports the relays %s, the router reports %s", r.Name, fromFleet, fromRouter)
				}
			}
		})
	}
}

// The shipped example configs equal the mixes' configs and are valid.
func TestExamples(t *testing.T) {
	for _, mix := range []Mix{Trentvale(), Tokachi()} {
		raw, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", mix.Name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		var shipped, current any
		if json.Unmarshal(raw, &shipped) != nil || json.Unmarshal(mix.ConfigJSON(), &current) != nil || fmt.Sprint(shipped) != fmt.Sprint(current) {
			t.Errorf("examples/%s.json differs from the mix: regenerate it with drill config", mix.Name)
		}
		if _, problems := fleetconfig.Parse(raw); len(problems) > 0 {
			t.Errorf("examples/%s.json: %v", mix.Name, problems)
		}
	}
}

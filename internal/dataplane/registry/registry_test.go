package registry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
)

func runner(id string, sequence uint64, state routing.RunnerState) routing.Runner {
	return routing.Runner{ID: id, Sequence: sequence, State: state}
}

func record(t *testing.T, r routing.Runner) dissemination.Record {
	body, err := r.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return dissemination.Record{Key: dissemination.RunnerPrefix + r.ID, Version: r.Sequence, Body: body}
}

func states(r *Registry) string {
	out := ""
	for _, one := range r.List() {
		out += fmt.Sprintf("%s:%s ", one.ID, one.State)
	}
	return out
}

// The newest word counts, whichever way it came; silence ends with a later word, leaving never.
func TestNewestWordCounts(t *testing.T) {
	reg := New(nil)
	for _, step := range []struct {
		word routing.Runner
		want string
	}{
		{runner("a", 2, routing.RunnerReady), "a:ready "},
		{runner("a", 1, routing.RunnerDraining), "a:ready "},
		{runner("a", 2, routing.RunnerSilent), "a:silent "},
		{runner("a", 2, routing.RunnerReady), "a:silent "},
		{runner("a", 3, routing.RunnerReady), "a:ready "},
		{runner("a", 3, routing.RunnerDraining), "a:ready "},
		{runner("a", 4, routing.RunnerDraining), "a:draining "},
		{runner("a", 5, routing.RunnerGone), "a:gone "},
		{runner("a", 5, routing.RunnerSilent), "a:gone "},
		{runner("a", 9, routing.RunnerReady), "a:gone "},
	} {
		reg.ApplyRecord(record(t, step.word))
		if got := states(reg); got != step.want {
			t.Errorf("after %s %d: %q, %q expected", step.word.State, step.word.Sequence, got, step.want)
		}
	}
	reg.ApplyRecord(dissemination.Record{Key: dissemination.RunnerPrefix + "b", Body: []byte("no record")})
	wrong := record(t, runner("c", 1, routing.RunnerReady))
	wrong.Key = dissemination.RunnerPrefix + "d"
	reg.ApplyRecord(wrong)
	if got := states(reg); got != "a:gone " {
		t.Errorf("after broken records: %q", got)
	}
}

// The hook gets every change, sorted, and nothing where nothing changed.
func TestHook(t *testing.T) {
	var lists [][]routing.Runner
	reg := New(func(list []routing.Runner) { lists = append(lists, list) })
	told := &coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 3, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady), runner("a", 1, routing.RunnerReady)}}
	reg.Apply(told)
	reg.Apply(told)
	reg.ApplyRecord(record(t, runner("b", 2, routing.RunnerDraining)))
	if len(lists) != 2 || len(lists[0]) != 2 || lists[0][0].ID != "a" || lists[1][1].State != routing.RunnerDraining {
		t.Errorf("the hook got %+v", lists)
	}
	if lists[0][1].State != routing.RunnerReady {
		t.Error("an older list was changed")
	}
}

// Only a whole list drops a runner, and not one that relays brought while the list was under way.
func TestOnlyAWholeListDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := New(nil)
		reg.ApplyRecord(record(t, runner("old", 1, routing.RunnerReady)))
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 3, Runners: []routing.Runner{runner("a", 1, routing.RunnerReady)}})
		time.Sleep(pushedKeep + time.Second)
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 2, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady)}})
		reg.Apply(&coreapi.HeartbeatResponse{}) // a core that keeps none
		if got := states(reg); got != "a:ready b:ready old:ready " {
			t.Errorf("without a whole list: %q", got)
		}
		reg.ApplyRecord(record(t, runner("new", 1, routing.RunnerReady)))
		reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 9, RunnersComplete: true, Runners: []routing.Runner{runner("b", 1, routing.RunnerReady)}})
		if got := states(reg); got != "b:ready new:ready " {
			t.Errorf("after a whole list: %q", got)
		}
		if epoch, version := reg.Position(); epoch != 2 || version != 0 {
			t.Errorf("the first position is %d %d, a whole list expected to be asked for", epoch, version)
		}
		if epoch, version := reg.Position(); epoch != 2 || version != 9 {
			t.Errorf("the second position is %d %d", epoch, version)
		}
		time.Sleep(refreshEvery + time.Second)
		if _, version := reg.Position(); version != 0 {
			t.Errorf("no whole list is asked for after %s", refreshEvery)
		}
	})
}

// The digest of a copy is that of the runners it lists, whatever their order and their heartbeats' numbers.
func TestDigestOfACopy(t *testing.T) {
	one, other := New(nil), New(nil)
	if one.Digest() != 0 {
		t.Error("an empty copy has a digest")
	}
	one.ApplyRecord(record(t, runner("a", 1, routing.RunnerReady)))
	one.ApplyRecord(record(t, runner("b", 1, routing.RunnerDraining)))
	other.ApplyRecord(record(t, runner("b", 4, routing.RunnerDraining)))
	if one.Digest() == other.Digest() {
		t.Error("a copy that lacks a runner has the same digest")
	}
	other.ApplyRecord(record(t, runner("a", 9, routing.RunnerReady)))
	if one.Digest() != other.Digest() {
		t.Error("equal copies have different digests")
	}
}

// A word that says the same again, as a new primary tells of every runner, is kept but is no news.
func TestSameWordIsNoNews(t *testing.T) {
	news := 0
	reg := New(func([]routing.Runner) { news++ })
	for i := range 600 {
		reg.ApplyRecord(record(t, runner(fmt.Sprintf("r%03d", i), 1, routing.RunnerReady)))
	}
	if news != 600 || len(reg.List()) != 600 {
		t.Fatalf("%d runners, told %d times", len(reg.List()), news)
	}
	news = 0
	told := &coreapi.HeartbeatResponse{RunnersEpoch: 2, RunnersVersion: 601}
	for i := range 600 {
		again := runner(fmt.Sprintf("r%03d", i), 2, routing.RunnerReady)
		told.Runners = append(told.Runners, again)
		reg.ApplyRecord(record(t, again))
	}
	reg.Apply(told)
	if news > 0 {
		t.Errorf("600 words that say the same were told as news %d times", news)
	}
	reg.ApplyRecord(record(t, runner("r007", 1, routing.RunnerDraining)))
	if news > 0 || reg.List()[7].State != routing.RunnerReady {
		t.Error("a word older than one that was kept was taken")
	}
	reg.ApplyRecord(record(t, runner("r007", 3, routing.RunnerDraining)))
	if news != 1 || reg.List()[7].State != routing.RunnerDraining {
		t.Errorf("a new state: told %d times, %s", news, reg.List()[7].State)
	}
}

// The list stays sorted, whole and without doubles, in whatever order runners come.
func TestListAfterSingleChanges(t *testing.T) {
	reg := New(nil)
	for i := range 500 {
		reg.ApplyRecord(record(t, runner(fmt.Sprintf("r%02d", i*37%50), uint64(i+1), []routing.RunnerState{routing.RunnerReady, routing.RunnerDraining}[i/50%2])))
		list := reg.List()
		if want := min(i+1, 50); len(list) != want {
			t.Fatalf("%d runners after %d words, %d expected", len(list), i+1, want)
		}
		for j := 1; j < len(list); j++ {
			if list[j-1].ID >= list[j].ID {
				t.Fatalf("%s stands before %s", list[j-1].ID, list[j].ID)
			}
		}
	}
	for _, one := range reg.List() {
		if one.State != routing.RunnerDraining {
			t.Errorf("%s is %s by its last word", one.ID, one.State)
		}
	}
}

// BenchmarkManyNew is what it takes to hear of 600 runners one by one.
func BenchmarkManyNew(b *testing.B) {
	for b.Loop() {
		reg := New(nil)
		for i := range 600 {
			word := runner(fmt.Sprintf("r%03d", i), 1, routing.RunnerReady)
			body, _ := word.MarshalMsg(nil)
			reg.ApplyRecord(dissemination.Record{Key: dissemination.RunnerPrefix + word.ID, Version: 1, Body: body})
		}
	}
}

// A new primary finds a runner silent by the heartbeat that it has on disk, which is an older one than routers
// know. The runner counts as silent, until it is heard again; a word that was just pushed is not undone.
func TestSilentByAnOlderHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg := New(nil)
		word := func(state routing.RunnerState, sequence uint64) routing.Runner {
			return routing.Runner{ID: "a", Service: "s", State: state, Sequence: sequence}
		}
		tell := func(runner routing.Runner) {
			reg.Apply(&coreapi.HeartbeatResponse{RunnersEpoch: 1, RunnersVersion: 2, Runners: []routing.Runner{runner}})
		}
		state := func() routing.RunnerState { return reg.List()[0].State }
		tell(word(routing.RunnerReady, 9))
		tell(word(routing.RunnerSilent, 3))
		if state() != routing.RunnerSilent {
			t.Errorf("state %s, silent expected", state())
		}
		reg.ApplyRecord(record(t, word(routing.RunnerReady, 10)))
		tell(word(routing.RunnerSilent, 9))
		if state() != routing.RunnerReady {
			t.Errorf("state %s after a heartbeat that was just pushed, ready expected", state())
		}
	})
}

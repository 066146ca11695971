package discovery

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
)

// errUnreachable is returned by calls to an address at which no process listens.
var errUnreachable = errors.New("unreachable")

// newFinder returns a finder of the process at address a. The processes at the given addresses respond with their status.
func newFinder(t *testing.T, config Config, statuses map[string]view.StatusResponse) *Finder {
	t.Helper()
	disk, err := store.OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	acceptor, err := paxos.Open(disk, time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	call := func(_ context.Context, addr, _ string, _ msgp.Marshaler, response msgp.Unmarshaler) error {
		status, ok := statuses[addr]
		if !ok {
			return errUnreachable
		}
		raw, err := status.MarshalMsg(nil)
		if err != nil {
			return err
		}
		_, err = response.UnmarshalMsg(raw)
		return err
	}
	learn := func(v view.View) {
		if err := acceptor.Learn(v); err != nil {
			t.Error(err)
		}
	}
	config.Addr, config.LeaseTerm = "a", time.Second
	return NewFinder(t.Context(), config, acceptor, call, learn)
}

// A fleet is founded by the founder with the lowest address, and only if all founders respond and none knows a fleet.
func TestFindFleet(t *testing.T) {
	blank := func(id string) view.StatusResponse { return view.StatusResponse{ID: id} }
	for _, test := range []struct {
		name         string
		config       Config
		statuses     map[string]view.StatusResponse
		wantFounders []string
		wantEpoch    uint64
	}{
		{"all founders respond", Config{Founders: []string{"b", "a", "b"}}, map[string]view.StatusResponse{"a": blank("1"), "b": blank("2")}, []string{"1", "2"}, 0},
		{"the seeds found the fleet", Config{Seeds: []string{"b", "a"}, Bootstrap: true}, map[string]view.StatusResponse{"a": blank("1"), "b": blank("2")}, []string{"1", "2"}, 0},
		{"the seeds do not found the fleet without Bootstrap", Config{Seeds: []string{"a", "b"}}, map[string]view.StatusResponse{"a": blank("1"), "b": blank("2")}, nil, 0},
		{"a founder does not respond", Config{Founders: []string{"a", "b"}}, map[string]view.StatusResponse{"a": blank("1")}, nil, 0},
		{"a founder has no identity", Config{Founders: []string{"a", "b"}}, map[string]view.StatusResponse{"a": blank("1"), "b": blank("")}, nil, 0},
		{"another founder has the lowest address", Config{Founders: []string{"A", "a"}}, map[string]view.StatusResponse{"A": blank("1"), "a": blank("2")}, nil, 0},
		{"a seed knows the fleet", Config{Founders: []string{"a"}, Seeds: []string{"s"}}, map[string]view.StatusResponse{"a": blank("1"), "s": {ID: "9", View: view.View{Epoch: 4}}}, nil, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			finder := newFinder(t, test.config, test.statuses)
			var got []string
			for _, founder := range finder.FindFleet() {
				got = append(got, founder.ID)
			}
			if !slices.Equal(got, test.wantFounders) {
				t.Errorf("got founders %v, want %v", got, test.wantFounders)
			}
			if epoch := finder.acceptor.View().Epoch; epoch != test.wantEpoch {
				t.Errorf("got epoch %d, want %d", epoch, test.wantEpoch)
			}
		})
	}
}

// A search queries seeds and members and learns the newest view. No search starts while searches are postponed.
func TestFindNewerView(t *testing.T) {
	old := view.View{Epoch: 2, Members: []view.Member{{ID: "2", Addr: "m"}}}
	statuses := map[string]view.StatusResponse{"m": {ID: "2", View: view.View{Epoch: 5}}, "s": {ID: "3", View: view.View{Epoch: 4}}}
	finder := newFinder(t, Config{}, statuses)
	finder.SetSeeds([]string{"s"})
	finder.PostponeSearch()
	if finder.FindNewerView(old); finder.acceptor.View().Epoch != 0 {
		t.Errorf("got epoch %d while searches are postponed, want none", finder.acceptor.View().Epoch)
	}
	finder.nextSearch = time.Time{}
	if finder.FindNewerView(old); finder.acceptor.View().Epoch != 5 {
		t.Errorf("got epoch %d, want 5", finder.acceptor.View().Epoch)
	}
}

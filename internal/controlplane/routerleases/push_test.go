package routerleases

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/transport/dissemination"
)

// fakeCaller records which addresses are called. Calls to those in unreachable block until ctx is done.
type fakeCaller struct {
	unreachable map[string]bool

	mu     sync.Mutex
	called []string
}

func (c *fakeCaller) Call(ctx context.Context, addr, _ string, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	c.mu.Lock()
	c.called = append(c.called, addr)
	c.mu.Unlock()
	if c.unreachable[addr] {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// A push calls the first routers of every zone, and waits no longer than PushTimeout for those that do not respond.
func TestPushReachesFirstRoutersOfEachZone(t *testing.T) {
	routers := []coreapi.Node{
		{Addr: "a1", Zone: "a"}, {Addr: "b1", Zone: "b"}, {Addr: "a2", Zone: "a"}, {Addr: "a3", Zone: "a"}, {Addr: "b2", Zone: "b"},
	}
	for _, c := range []struct {
		name        string
		perZone     int
		unreachable map[string]bool
		want        []string
		wantTook    time.Duration
	}{
		{"one of each zone", 1, nil, []string{"a1", "b1"}, 0},
		{"two of each zone", 2, nil, []string{"a1", "a2", "b1", "b2"}, 0},
		{"all", 5, nil, []string{"a1", "a2", "a3", "b1", "b2"}, 0},
		{"none", 0, nil, nil, 0},
		{"one unreachable", 1, map[string]bool{"b1": true}, []string{"a1", "b1"}, PushTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &fakeCaller{unreachable: c.unreachable}
				started := time.Now()
				Push(t.Context(), caller, routers, c.perZone, []dissemination.Record{{Key: "k"}})
				if took := time.Since(started); took != c.wantTook {
					t.Errorf("got push duration %s, want %s", took, c.wantTook)
				}
				synctest.Wait()
				slices.Sort(caller.called)
				if !slices.Equal(caller.called, c.want) {
					t.Errorf("got calls to %v, want %v", caller.called, c.want)
				}
			})
		})
	}
}

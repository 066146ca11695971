package service

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/discovery"
	"yarrowridge/internal/controlplane/routerleases"
	"yarrowridge/internal/controlplane/store"
)

// A primary that has just started sends no list of routers, but the number of routers that its disk knows. After a restart of
// the whole fleet each router would otherwise assume a default number of routers, and compute its share of each quota from it.
func TestNewPrimaryReportsStoredRouterCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, host := newService(t)
		var puts []store.Mutation
		for _, addr := range []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"} {
			raw, err := (&coreapi.Node{Name: addr, Addr: addr}).MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			puts = append(puts, store.Mutation{Key: discovery.RouterKey(addr), Value: raw})
		}
		if err := host.committed.Append(store.Batch{Version: host.committed.Version() + 1, Mutations: puts}); err != nil {
			t.Fatal(err)
		}
		s.routers.Start(s.routerAddresses.Count(), time.Now())
		heartbeat := &coreapi.HeartbeatRequest{Node: coreapi.Node{Name: "a"}}
		if _, err := s.routers.RecordHeartbeat(heartbeat, time.Now()); err != nil {
			t.Fatal(err)
		}
		var early, late coreapi.HeartbeatResponse
		s.routers.FillResponse(&coreapi.HeartbeatRequest{}, &early, time.Now())
		if early.PreviousRouters != 3 || early.NodesComplete {
			t.Errorf("got %d previous routers, list sent: %t from a new primary, want 3 and no list", early.PreviousRouters, early.NodesComplete)
		}
		time.Sleep(routerleases.LeaseTerm + time.Millisecond)
		s.routers.FillResponse(&coreapi.HeartbeatRequest{}, &late, time.Now())
		if late.PreviousRouters != 0 || !late.NodesComplete || len(late.Nodes) != 1 {
			t.Errorf("got %+v from a primary that knows its routers, want a list of one router", late)
		}
	})
}

package core

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
)

// A primary that has just begun names no nodes, but tells how many routers its disk knows: without it, each router
// of a fleet that lost all power takes itself for one of many.
func TestNewPrimaryTellsHowManyRoutersThereWere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, opened := quotaServer(t)
		var puts []store.Mutation
		for _, addr := range []string{"10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"} {
			raw, err := (&coreapi.Node{Name: addr, Addr: addr}).MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			puts = append(puts, store.Mutation{Key: placePrefix + addr, Value: raw})
		}
		if err := opened.Append(store.Batch{Version: opened.Version() + 1, Mutations: puts}); err != nil {
			t.Fatal(err)
		}
		s.routersBefore = s.rememberedRouters()
		s.readySince = time.Now()
		s.nodes = map[string]*liveNode{"a": {coreapi.Node{Name: "a"}, time.Now()}}
		s.nodesVersion = 1
		var early, late coreapi.HeartbeatResponse
		s.tellNodes(&coreapi.HeartbeatRequest{}, &early)
		if early.PreviousRouters != 3 || early.NodesChanged {
			t.Errorf("a new primary tells %d routers and names nodes: %v; 3 and none expected", early.PreviousRouters, early.NodesChanged)
		}
		time.Sleep(nodeLeaseTerm + time.Millisecond)
		s.tellNodes(&coreapi.HeartbeatRequest{}, &late)
		if late.PreviousRouters != 0 || !late.NodesChanged || len(late.Nodes) != 1 {
			t.Errorf("a primary that knows its nodes tells %+v", late)
		}
	})
}

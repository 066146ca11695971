package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/balance"
	"yarrowridge/internal/core"
	"yarrowridge/internal/env"
	"yarrowridge/internal/relay"
	"yarrowridge/internal/session"
	"yarrowridge/internal/wire"
)

// How routers tell each other where sessions are held.
const (
	sessionHead      = "sessions/" // begins the key of a record with entries of the session directory
	sessionSlots     = 8           // records that a router has on the board at once
	sessionEvery     = 300 * time.Millisecond
	sessionSpread    = 200 * time.Millisecond // added at random: of routers that find the same, one tells it
	sessionFetchMost = 1 << 13                // entries that a router that starts asks for
	sessionFetchTime = time.Second
	sessionFetches   = 20 // tries, a neighbour each
)

// sessionNews carries entries of the session directory between routers: those that this router made go into a
// record of the relay tree, and a router that starts fetches what another one has.
type sessionNews struct {
	ctx       env.Ctx
	balancer  *balance.Balancer
	directory *session.Directory
	spread    func(relay.Tell)
	sure      func(context.Context, []relay.Rec) bool // hands records to all routers directly
	nodes     func() []core.Node
	call      func(ctx context.Context, addr, kind string, in msgp.Marshaler, out msgp.Unmarshaler) error

	turn    uint64 // of the last record
	fetches int    // tries so far
	fetched atomic.Bool
}

func newSessionNews(g *Gateway) *sessionNews {
	return &sessionNews{ctx: g.ctx.Part("session"), balancer: g.Balancer, directory: g.Balancer.Sessions, spread: g.Hub.Spread,
		sure: g.Hub.Sure, nodes: g.Hub.Nodes, call: g.Hub.Call}
}

// see takes a record that the relays brought. Others are passed over.
func (s *sessionNews) see(record relay.Rec) {
	if !strings.HasPrefix(record.Key, sessionHead) {
		return
	}
	var batch session.Batch
	if _, err := batch.UnmarshalMsg(record.Body); err != nil {
		s.ctx.Log.Warn("A record of sessions is not understood.", "key", record.Key, "error", err.Error())
		return
	}
	s.directory.Merge(batch.Unpack())
}

// hand answers the calls of other routers.
func (s *sessionNews) hand(_ context.Context, kind string, body []byte) (msgp.Marshaler, error) {
	if kind != "session.fetch" {
		return nil, fmt.Errorf("router: no call %q", kind)
	}
	return wire.On(body, func(in *session.Fetch) (*session.Batch, error) {
		batch := session.Pack(s.directory.Newest(min(in.Most, sessionFetchMost)))
		batch.Partial = !s.fetched.Load()
		return batch, nil
	})
}

// run tells and fetches until the context ends.
func (s *sessionNews) run() {
	for env.Wait(s.ctx, sessionEvery+rand.N(sessionSpread)) {
		s.fetch()
		s.balancer.Rehome()
		s.tell()
	}
}

// tell hands what is new to the other routers. Nothing is sent where nothing is.
func (s *sessionNews) tell() {
	entries := s.directory.Take()
	if len(entries) == 0 {
		return
	}
	if record, ok := s.record(entries); ok {
		s.spread(relay.Tell{Recs: []relay.Rec{record}})
	}
}

// leave hands the last news to the other routers directly: the part of the tree that leads through this one
// must not be what others depend on.
func (s *sessionNews) leave() {
	entries := s.directory.Take()
	if record, ok := s.record(entries); ok && len(entries) > 0 {
		s.sure(s.ctx, []relay.Rec{record})
	}
}

// record makes the next record of the board. It takes the place of an older one, which the tree has carried to
// all by then.
func (s *sessionNews) record(entries []session.Entry) (relay.Rec, bool) {
	body, err := session.Pack(entries).MarshalMsg(nil)
	if err != nil {
		s.ctx.Log.Error("Entries of sessions cannot be written.", "error", err.Error())
		return relay.Rec{}, false
	}
	s.turn++
	key := fmt.Sprintf("%s%s/%x/%d", sessionHead, s.ctx.Name, s.ctx.Born, s.turn%sessionSlots)
	return relay.Rec{Key: key, Turn: s.turn, Body: body}, true
}

// fetch asks one other router, of the own zone where there is one, for what it knows. It asks until one that
// has fetched itself has answered; routers that all start together give up after some tries.
func (s *sessionNews) fetch() {
	nodes := s.nodes()
	if s.fetched.Load() || len(nodes) == 0 {
		return
	}
	s.fetches++
	if s.fetches >= sessionFetches {
		s.fetched.Store(true)
	}
	node, found := s.neighbour(nodes)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, sessionFetchTime)
	defer cancel()
	var batch session.Batch
	if err := s.call(ctx, node.Addr, "session.fetch", &session.Fetch{Most: sessionFetchMost}, &batch); err != nil {
		s.ctx.Log.Debug("The session directory was not fetched.", "peer", node.Name, "error", err.Error())
		return
	}
	s.directory.Merge(batch.Unpack())
	if !batch.Partial {
		s.fetched.Store(true)
	}
}

// neighbour picks another router at random, one of the own zone where there is any.
func (s *sessionNews) neighbour(nodes []core.Node) (best core.Node, found bool) {
	for _, at := range rand.Perm(len(nodes)) {
		node := nodes[at]
		if node.Name == s.ctx.Name || !node.Ready {
			continue
		}
		if node.Hall == s.ctx.Hall {
			return node, true
		}
		best, found = node, true
	}
	return best, found
}

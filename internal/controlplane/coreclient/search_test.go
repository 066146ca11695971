package coreclient

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// pipeNetwork connects to handlers in memory, by address.
type pipeNetwork map[string]wire.Handler

func (n pipeNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	handler, ok := n[addr]
	if !ok {
		return nil, net.ErrClosed
	}
	clientEnd, serverEnd := net.Pipe()
	accept := make(chan net.Conn, 1)
	accept <- serverEnd
	go wire.Serve(context.WithoutCancel(ctx), &pipeListener{accept: accept}, handler)
	return clientEnd, nil
}

func (pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// pipeListener accepts exactly one connection.
type pipeListener struct {
	accept chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (*pipeListener) Close() error   { return nil }
func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// viewLedBy returns a view whose only member, the primary, is at the given address.
func viewLedBy(addr string, epoch uint64) view.View {
	return view.View{Epoch: epoch, Primary: addr, Members: []view.Member{{ID: addr, Addr: addr}}}
}

// coreHandler returns the handler of a core that knows a view. It counts view.ask calls, and passes other calls to serve.
func coreHandler(known view.View, queries *atomic.Int64, serve wire.Handler) wire.Handler {
	return func(ctx context.Context, kind string, body []byte) (msgp.Marshaler, error) {
		if kind == "view.ask" {
			queries.Add(1)
			return &view.StatusResponse{View: known}, nil
		}
		return serve(ctx, kind, body)
	}
}

// succeed is a handler that responds to every call with a configuration.
func succeed(context.Context, string, []byte) (msgp.Marshaler, error) {
	return &coreapi.StoredConfig{Version: 7}, nil
}

// hang is a handler that responds to no call before its context ends.
func hang(ctx context.Context, _ string, _ []byte) (msgp.Marshaler, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newTestClient returns a client on a network. It is closed at the end of the test.
func newTestClient(t *testing.T, network wire.Network, seeds ...string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	caller := wire.NewCaller(network)
	t.Cleanup(func() {
		cancel()
		caller.Close()
		time.Sleep(time.Minute) // simulated; calls in progress end
	})
	return NewClient(daemon.Context{Context: ctx, Net: network}, caller, seeds)
}

// call makes one call with a time-out.
func call(client *Client, timeout time.Duration, idempotent bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Call(ctx, "core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}, idempotent)
}

// Any number of calls that wait for a primary share one search, and each fails with an error that says it was not applied.
func TestCallsShareOneSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries atomic.Int64
		client := newTestClient(t, pipeNetwork{"seed": coreHandler(view.View{}, &queries, succeed)}, "seed")
		const calls, timeout = 50, time.Second
		failed := make(chan error, calls)
		for range calls {
			go func() { failed <- call(client, timeout, true) }()
		}
		for range calls {
			if err := <-failed; err == nil || coreapi.IsOutcomeUnknown(err) || !isRetryable(err, false) {
				t.Errorf("got error %v without a primary, want the error of a call that was not applied", err)
			}
		}
		if got, most := queries.Load(), int64(timeout/minBackoff)+1; got == 0 || got > most {
			t.Errorf("got %d queries to the seed from %d calls, want 1 to %d", got, calls, most)
		}
	})
}

// An idempotent call to a primary that does not respond is retried at the new primary as soon as that is found. Any other call
// runs into its time-out, and its outcome is unknown.
func TestHedgedSearch(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		wantErr    bool
		want       time.Duration
	}{
		{"idempotent", true, false, hedgeDelay},
		{"not idempotent", false, true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var queries atomic.Int64
				successor := viewLedBy("new", 2)
				client := newTestClient(t, pipeNetwork{
					"old": coreHandler(viewLedBy("old", 1), &queries, hang),
					"new": coreHandler(successor, &queries, succeed),
				}, "new")
				client.Learn(viewLedBy("old", 1))
				started := time.Now()
				err := call(client, time.Second, c.idempotent)
				if took := time.Since(started); took != c.want {
					t.Errorf("got the end of the call after %s, want %s", took, c.want)
				}
				if (err != nil) != c.wantErr || err != nil && !coreapi.IsOutcomeUnknown(err) {
					t.Errorf("got error %v, want an unknown outcome: %t", err, c.wantErr)
				}
				if got := client.View().Epoch; got != successor.Epoch {
					t.Errorf("got view of epoch %d, want %d", got, successor.Epoch)
				}
			})
		})
	}
}

// A call that the primary rejects permanently is not retried.
func TestRejectedCallIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var queries, calls atomic.Int64
		reject := func(context.Context, string, []byte) (msgp.Marshaler, error) {
			calls.Add(1)
			return nil, wire.StatusError{Code: coreapi.CodeNameTaken}
		}
		client := newTestClient(t, pipeNetwork{"a": coreHandler(viewLedBy("a", 1), &queries, reject)}, "a")
		client.Learn(viewLedBy("a", 1))
		if err := call(client, time.Second, true); !wire.HasCode(err, coreapi.CodeNameTaken) {
			t.Errorf("got error %v, want code %s", err, coreapi.CodeNameTaken)
		}
		if got := calls.Load(); got != 1 {
			t.Errorf("got %d calls, want 1", got)
		}
	})
}

// The first search queries the backups and a few other addresses. Further searches query more, up to all, until a newer view
// is found.
func TestSearchWidens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members = 9
		known := view.View{Epoch: 1, Primary: "core0"}
		network := pipeNetwork{}
		var queries [members]atomic.Int64
		for i := range members {
			name := fmt.Sprint("core", i)
			known.Members = append(known.Members, view.Member{ID: name, Addr: name})
			network[name] = coreHandler(view.View{}, &queries[i], hang)
		}
		client := newTestClient(t, network, "core3")
		client.Learn(known.WithBackups([]string{"core7", "core8"}))
		totalQueries := func() (total int64) {
			for i := range queries {
				total += queries[i].Load()
			}
			return total
		}
		client.searchView(t.Context())
		if got := totalQueries(); got != initialSearchSize || queries[7].Load() != 1 || queries[8].Load() != 1 || queries[0].Load() != 0 {
			t.Errorf("got %d queries of the first search, of them %d and %d to the backups and %d to the primary, want %d, 1, 1 and 0",
				got, queries[7].Load(), queries[8].Load(), queries[0].Load(), initialSearchSize)
		}
		client.searchView(t.Context())
		client.searchView(t.Context())
		if got := totalQueries(); got != initialSearchSize+2*initialSearchSize+members {
			t.Errorf("got %d queries of three searches, want %d", got, initialSearchSize+2*initialSearchSize+members)
		}
		client.Learn(viewLedBy("core5", 2))
		before := totalQueries()
		client.searchView(t.Context())
		if got := totalQueries() - before; got > initialSearchSize {
			t.Errorf("got %d queries after a newer view was learned, want at most %d", got, initialSearchSize)
		}
	})
}

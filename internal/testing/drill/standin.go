// Package drill rehearses a whole fleet on one machine: it starts the daemons, simulates clients and runners, injects
// faults and checks from outside that the fleet keeps its promises.
package drill

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/rest/httpc"

	"yarrowridge/internal/lib/runloop"
)

// Standin simulates a model runner: batches whose rate falls as they fill, a prefix cache, streams, and heartbeats whose
// load figures are up to half a second old. A plain one simulates the ordinary application instead.
type Standin struct {
	Name           string
	Addr           string
	Labels         map[string]string
	Slots          int
	MaxLength      int
	TokenTime      time.Duration // time per token with an empty batch
	Slowdown       float64       // fraction of TokenTime that each further request in the batch adds
	BlockReadTime  time.Duration // time to read 1 KiB of prompt that is not in the cache
	Plain          bool
	HeartbeatAddrs []string // the routers' runner listeners, tried in turn
	RequestLog     *RequestLog

	CacheHits, CacheMisses atomic.Int64 // prompt blocks found in the cache, and not found

	runID          string
	heartbeatCount atomic.Uint64
	activeRequests atomic.Int64
	queuedTokens   atomic.Int64
	state          atomic.Value
	hanging        atomic.Bool // accepts requests and does not answer
	muted          atomic.Bool // sends no heartbeats
	breakAfter     atomic.Int64
	mu             sync.Mutex
	cache          map[[32]byte]bool
	server         *http.Server
	listenAddr     string            // where it listens behind a forwarder, whose address is Addr
	links          *Links            // nil without forwarders
	unreachable    func(string) bool // reports whether a router's runner listener is in a separated zone
	ctx            context.Context
	cancel         context.CancelFunc
}

// runCount makes the run IDs of stand-ins unique.
var runCount atomic.Uint64

// Start listens and starts the heartbeats. Each start is a new run, with a run ID of its own and an empty cache.
func (s *Standin) Start() error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	if s.links == nil {
		s.Addr = l.Addr().String()
	}
	s.runID = fmt.Sprintf("%s-%d", s.Name, runCount.Add(1))
	s.state.Store("ready")
	s.hanging.Store(false)
	s.breakAfter.Store(0)
	s.mu.Lock()
	s.cache = map[[32]byte]bool{}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.ctx = ctx
	s.serve(l)
	go func() {
		t := time.NewTicker(500 * time.Millisecond)
		defer t.Stop()
		for next := 0; ; next++ {
			if !s.muted.Load() && !s.sendHeartbeat(ctx, s.HeartbeatAddrs[next%len(s.HeartbeatAddrs)]) && runloop.Sleep(ctx, 20*time.Millisecond) {
				continue
			}
			next--
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
	return nil
}

// Crash closes the listener and every connection at once, and stops the heartbeats.
func (s *Standin) Crash() {
	s.cancel()
	s.RefuseConnections()
}

// Hang has the runner accept requests without answering them, while its heartbeats continue.
func (s *Standin) Hang(on bool) { s.hanging.Store(on) }

// Mute stops or resumes the heartbeats.
func (s *Standin) Mute(on bool) { s.muted.Store(on) }

// BreakStreamsAfter has the runner break every answer off after n tokens, or a plain one after half of its body. Zero
// ends that.
func (s *Standin) BreakStreamsAfter(n int) { s.breakAfter.Store(int64(n)) }

// RefuseConnections closes the listener and all connections, while the heartbeats continue.
func (s *Standin) RefuseConnections() {
	if s.links != nil {
		s.links.Refuse(s.Addr)
	}
	_ = s.server.Close()
}

// AcceptConnections listens again after RefuseConnections, as the same run.
func (s *Standin) AcceptConnections() error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

func (s *Standin) listen() (net.Listener, error) {
	if s.links == nil {
		return net.Listen("tcp", s.Addr)
	}
	l, err := net.Listen("tcp", s.listenAddr)
	if err == nil {
		err = s.links.Accept(s.Addr)
	}
	return l, err
}

func (s *Standin) serve(l net.Listener) {
	ctx := s.ctx
	s.server = &http.Server{Handler: s, BaseContext: func(net.Listener) context.Context { return ctx }}
	server := s.server
	go func() { _ = server.Serve(l) }() // until RefuseConnections or Crash closes it
}

// Leave announces in a heartbeat that this runner leaves, and returns the time at which a router had acknowledged it.
func (s *Standin) Leave(ctx context.Context) time.Time {
	s.state.Store("leaving")
	for i := 0; ctx.Err() == nil; i++ {
		if s.sendHeartbeat(ctx, s.HeartbeatAddrs[i%len(s.HeartbeatAddrs)]) {
			break
		}
	}
	return time.Now()
}

// sendHeartbeat sends one heartbeat to a router and reports whether the router accepted it.
func (s *Standin) sendHeartbeat(ctx context.Context, addr string) bool {
	if s.unreachable != nil && s.unreachable(addr) {
		return false
	}
	raw, _ := json.Marshal(map[string]any{"name": s.Name, "addr": s.Addr, "born": s.runID, "turn": s.heartbeatCount.Add(1),
		"labels": s.Labels, "state": s.state.Load(), "room": s.Slots, "max_length": s.MaxLength,
		"fill":          min(1, float64(s.activeRequests.Load())/float64(max(1, s.Slots))),
		"queued_tokens": s.queuedTokens.Load()})
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/runners/beat", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	response, err := httpc.DoRequest(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// Echo returns a digest of a request body, which stand-ins put into each answer to show which request it belongs to.
func Echo(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// ServeHTTP logs a request and answers it.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	received := &RunnerRequest{Runner: s.Name, RunID: s.runID, ReceivedAt: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body, Truncated: err != nil}
	s.RequestLog.add(received)
	if err != nil {
		return
	}
	ctx := r.Context()
	if s.hanging.Load() {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	if s.Plain {
		s.servePlain(w, r, body)
	} else {
		s.serveModel(w, r, body)
	}
	s.RequestLog.finish(received)
}

// servePlain answers a request as the ordinary application.
func (s *Standin) servePlain(w http.ResponseWriter, r *http.Request, body []byte) {
	if !runloop.Sleep(r.Context(), s.TokenTime) {
		panic(http.ErrAbortHandler)
	}
	raw, _ := json.Marshal(map[string]any{"echo": Echo(body), "path": r.URL.RequestURI(), "tenant": r.Header.Get("X-Yarrowridge-Tenant")})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if s.breakAfter.Load() > 0 {
		writeAndFlush(w, string(raw[:len(raw)/2]))
		breakConnection(w)
	}
	_, _ = w.Write(raw) // if the router is gone, the client's outcome shows it
}

// serveModel answers a request as a model runner, with a stream or a single body.
func (s *Standin) serveModel(w http.ResponseWriter, r *http.Request, body []byte) {
	tokens := int(gjson.GetBytes(body, "max_tokens").Int())
	s.queuedTokens.Add(int64(tokens))
	remaining := tokens
	defer func() { s.queuedTokens.Add(-int64(remaining)) }()
	prompt := gjson.GetBytes(body, "prompt").String() + gjson.GetBytes(body, "messages").Raw
	if !runloop.Sleep(r.Context(), s.prefillTime(prompt)) {
		panic(http.ErrAbortHandler)
	}
	stream := gjson.GetBytes(body, "stream").Bool()
	padding := strings.Repeat("w", int(gjson.GetBytes(body, "pad").Int())) // fills the socket buffers of a client that does not read
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	firstTagged := firstTaggedChunk(body, tokens)
	for i := range tokens {
		s.generateToken(w, r, i)
		s.queuedTokens.Add(-1)
		remaining--
		if stream {
			tag := ""
			if i >= firstTagged {
				tag = fmt.Sprintf(`,"run":%q`, r.Header.Get("X-Yarrowridge-Query"))
			}
			writeAndFlush(w, fmt.Sprintf("data: {\"i\":%d,\"echo\":%q%s,\"text\":\"w%d %s\"}\n\n", i, Echo(body), tag, i, padding))
		}
	}
	if stream {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return
	}
	raw, _ := json.Marshal(map[string]any{"echo": Echo(body), "usage": map[string]int{"completion_tokens": tokens}})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // if the router is gone, the client's outcome shows it
}

// generateToken waits for the time of one token, and breaks the connection if BreakStreamsAfter has set that.
func (s *Standin) generateToken(w http.ResponseWriter, r *http.Request, i int) {
	others := s.activeRequests.Load() - 1
	if !runloop.Sleep(r.Context(), s.TokenTime+time.Duration(s.Slowdown*float64(others)*float64(s.TokenTime))) {
		panic(http.ErrAbortHandler)
	}
	if limit := s.breakAfter.Load(); limit > 0 && int64(i) >= limit {
		breakConnection(w)
	}
}

// firstTaggedChunk returns the number of the first chunk that carries the ID of its execution; all later chunks carry it
// too. The ID makes a stream that joins chunks of two executions detectable. By the digest of the body it is the first
// chunk, a random one, or none: about a third of the prompts gets the same answer in every execution.
func firstTaggedChunk(body []byte, tokens int) int {
	switch Echo(body)[0] % 3 {
	case 0:
		return 0
	case 1:
		return rand.IntN(max(1, tokens))
	default:
		return tokens
	}
}

// writeAndFlush writes a part of a response and flushes it. Errors are ignored, because the context of the request ends
// when the router disconnects.
func writeAndFlush(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// breakConnection closes the connection of a response in the middle and aborts its handler.
func breakConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// prefillTime returns the time to read a prompt and adds its blocks to the cache. Blocks already in the cache take no time.
func (s *Standin) prefillTime(text string) time.Duration {
	const block = 1024
	s.mu.Lock()
	defer s.mu.Unlock()
	misses, hash := 0, sha256.New()
	for from := 0; from+block <= len(text); from += block {
		hash.Write([]byte(text[from : from+block]))
		var key [32]byte
		copy(key[:], hash.Sum(nil))
		if s.cache[key] {
			s.CacheHits.Add(1)
		} else {
			misses++
			s.CacheMisses.Add(1)
			s.cache[key] = true
		}
	}
	return time.Duration(misses) * s.BlockReadTime
}

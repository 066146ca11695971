// Package origin is the peer "origin": the HTTP face through which prompts come in, and the way
// of each query from its reading to its end.
package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/allow"
	"yarrowridge/internal/env"
	"yarrowridge/internal/layout"
	"yarrowridge/internal/metrics"
	"yarrowridge/internal/node"
	"yarrowridge/internal/place"
	"yarrowridge/internal/request"
	"yarrowridge/internal/runner"
	"yarrowridge/internal/share"
	"yarrowridge/internal/tracing"
	"yarrowridge/internal/web"
)

// Answers are held whole before a success is written, so they are bounded.
const (
	answerMost = 8 << 20
	pieceMost  = 1 << 20
	quietMost  = time.Hour              // no answer is awaited longer than this for its length
	restWait   = 500 * time.Millisecond // for the rest of a body, once its query was bounced
)

// Front answers origins.
type Front struct {
	Ctx     env.Ctx
	Hub     *node.Hub
	Yard    *runner.Pool
	Desk    *place.Scheduler
	Send    *runner.Sender
	Meter   *metrics.Metrics
	Log     *request.Log
	Purses  *share.Purses
	Again   *Second
	Claims  *Claims
	Streams *node.Streams
	Trail   *tracing.Tracer

	open atomic.Int64 // known tenants' queries under way
}

// Bounce is a "no" to an origin: what code, at which step, and whether the query ran.
type Bounce struct {
	Status  int
	Code    string
	Text    string
	Retry   time.Duration // zero: none
	Unknown bool          // it may have run, or may be running
}

// Error gives the code.
//
//	(&origin.Bounce{Code: "unknown-key"}).Error()
func (b *Bounce) Error() string { return b.Code }

// way is one query with all that its steps need.
type way struct {
	f      *Front
	q      *request.Request
	w      http.ResponseWriter
	r      *http.Request
	lay    *layout.Layout
	ten    int
	tn     *layout.Tenant
	lane   *layout.Lane
	pool   *layout.Pool
	body   []byte
	had    bool         // the body was read whole
	key    string       // hash of the key it came with
	skip   map[int]bool // runs of runners that were tried already
	car    *carry
	second bool // it is the second run of a stream

	streamed bool // it asks for a stream
	model    string
	prompt   string
	tokens   int // output it may have; 0 on plain lanes
	low      int // what it was lowered to, if it was
	cost     int // quota units reserved
	claim    *claim
	wait     time.Duration // estimated
	kind     string
	torn     bool
}

// ServeHTTP takes one query the whole way.
//
//	http.Handle("/", front)
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	y := &way{f: f, q: request.New(), w: w, r: r}
	w.Header().Set(runner.RequestHeader, y.q.ID)
	err := y.run()
	y.loosen()
	code := "done"
	if err != nil {
		code = y.end(err)
		f.Log.Add(y.q, code)
	}
	f.Trail.Export(y.q, code)
	f.Meter.Requests.WithLabelValues(y.q.Lane, code).Inc()
	if y.torn {
		// The frame of a stream that ended in trouble is never closed as if it were complete.
		panic(http.ErrAbortHandler)
	}
}

func (y *way) run() error {
	if err := y.known(); err != nil {
		return err
	}
	// Strangers were bounced by their headers and hold no place; known tenants' bodies are read only
	// where there is one, so that a crowd costs no memory.
	defer y.f.open.Add(-1)
	if int(y.f.open.Add(1)) > y.lay.Limits.Open {
		return &Bounce{Status: 503, Code: "too-many", Text: "Too many queries are under way.", Retry: time.Second}
	}
	if strings.HasPrefix(y.r.URL.Path, StreamPath) {
		return y.resume()
	}
	for _, step := range []func() error{y.mapped, y.allowed, y.claimed} {
		if err := step(); err != nil {
			return err
		}
	}
	err := y.serve()
	if y.car != nil {
		err = y.carryOn(err)
	}
	return err
}

// end answers a query that went wrong before anything was written to the origin.
func (y *way) end(err error) string {
	var b *Bounce
	if !errors.As(err, &b) {
		b = &Bounce{Status: 500, Code: "internal", Text: "Internal trouble.", Unknown: true}
		y.f.Ctx.Log.Error("Query in trouble of our own making.", "query", y.q.ID, "trouble", err.Error())
	}
	at := y.over(b.Code)
	if y.claim != nil {
		y.claim.end(b.Unknown)
	}
	if b.Status == 0 {
		// Nobody to tell, or told already. An unanswered handler would be taken for an empty 200.
		y.torn = y.torn || b.Code == "origin-left"
		return b.Code
	}
	if !y.had {
		// What is left of a body that nobody wants holds up neither the answer nor a planned stop.
		web.Control(y.w, y.r).SetReadDeadline(time.Now().Add(restWait))
	}
	h := y.w.Header()
	for k := range h {
		if k != runner.RequestHeader {
			h.Del(k)
		}
	}
	h.Set("Content-Type", "application/json")
	if b.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(b.Retry.Seconds()))))
	}
	run := "not run"
	if b.Unknown {
		run = "unknown"
	}
	y.w.WriteHeader(b.Status)
	json.NewEncoder(y.w).Encode(map[string]any{"error": map[string]any{
		"code": b.Code, "step": at, "run": run, "message": b.Text, "query": y.q.ID}})
	return b.Code
}

// over ends a query that came to no whole answer, by its code, and tells where it stood.
func (y *way) over(code string) request.State {
	at := y.q.State()
	if at == request.Sent || at == request.Responding {
		y.q.Advance(request.Failed, code)
	} else {
		y.q.Advance(request.Rejected, code)
	}
	return at
}

// loosen gives back the units that were reserved and not spent.
func (y *way) loosen() {
	if y.cost > 0 {
		y.f.Purses.For(y.tn.Name).Loose(y.cost)
		y.cost = 0
	}
}

// read takes the body in, within its bounds of size and time.
func (y *way) read() error {
	most, wait := y.lay.Limits.Body, y.lay.Limits.BodyTime
	ctl := web.Control(y.w, y.r)
	ctl.SetReadDeadline(time.Now().Add(wait))
	raw, err := io.ReadAll(io.LimitReader(y.r.Body, int64(most)+1))
	switch {
	case len(raw) > most:
		return &Bounce{Status: 413, Code: "body-too-large", Text: fmt.Sprintf("A body of at most %d bytes is taken.", most)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Bounce{Status: 408, Code: "body-slow", Text: fmt.Sprintf("The body is expected whole within %s.", wait)}
	case err != nil:
		return &Bounce{Status: 400, Code: "body-unread", Text: "The body broke off before its end."}
	}
	ctl.SetReadDeadline(time.Time{})
	y.body, y.had = raw, true
	return nil
}

// known finds the tenant by the headers alone.
func (y *way) known() error {
	if why := y.f.Hub.Can(); why != "" {
		return &Bounce{Status: 503, Code: "not-ready", Text: "This router is not ready: " + why + ".", Retry: time.Second}
	}
	y.lay = y.f.Hub.Layout()
	key, ok := strings.CutPrefix(y.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		y.key = layout.HashKey(strings.TrimSpace(key))
		y.ten, ok = y.lay.Hashed(y.key)
	}
	if !ok {
		return &Bounce{Status: 401, Code: "unknown-key", Text: "A known key is expected, as Authorization: Bearer KEY."}
	}
	y.tn = &y.lay.Tenants[y.ten]
	y.q.Tenant = y.tn.Name
	return y.q.Advance(request.Known, "")
}

func (y *way) mapped() error {
	m, known := y.lay.Map(y.r.Method, y.r.URL.Path, y.r.Header.Get)
	switch {
	case m == nil && known:
		return &Bounce{Status: 405, Code: "no-mapping", Text: "The path is known, but not with this method and these headers."}
	case m == nil:
		return &Bounce{Status: 404, Code: "unknown-path", Text: "Nothing is mapped to this path."}
	}
	y.lane, y.pool = &y.lay.Lanes[m.Lane], &y.lay.Pools[m.Pool]
	y.q.Lane = y.lane.Name
	if !y.lane.Admits(y.ten) {
		return &Bounce{Status: 403, Code: "lane-closed", Text: "The lane " + y.lane.Name + " is not open to this tenant."}
	}
	if !y.had {
		if err := y.read(); err != nil {
			return err
		}
	}
	y.kind = y.pool.Name
	if !y.lane.Plain {
		if err := y.parse(); err != nil {
			return err
		}
		y.kind += "/" + y.model
	}
	return y.q.Advance(request.Routed, m.Path)
}

func (y *way) parse() error {
	if t, _, err := mime.ParseMediaType(y.r.Header.Get("Content-Type")); err != nil || t != "application/json" {
		return &Bounce{Status: 415, Code: "bad-type", Text: "Content-Type application/json is expected."}
	}
	if enc := y.r.Header.Get("Content-Encoding"); enc != "" && enc != "identity" {
		return &Bounce{Status: 415, Code: "bad-encoding", Text: "A prompt without Content-Encoding is expected."}
	}
	doc := gjson.ParseBytes(y.body)
	if !gjson.ValidBytes(y.body) || !doc.IsObject() {
		return &Bounce{Status: 400, Code: "bad-json", Text: "A JSON object is expected."}
	}
	bad := func(what string) error {
		return &Bounce{Status: 400, Code: "bad-prompt", Text: what}
	}
	seen := map[string]bool{}
	twice := ""
	doc.ForEach(func(k, _ gjson.Result) bool {
		if seen[k.String()] {
			twice = k.String()
		}
		seen[k.String()] = true
		return true
	})
	if twice != "" {
		return bad("The field " + strconv.Quote(twice) + " stands there twice.")
	}
	model := doc.Get("model")
	if model.Type != gjson.String || model.Str == "" {
		return bad("model: a string is expected.")
	}
	y.model = model.Str
	msg, prompt := doc.Get("messages"), doc.Get("prompt")
	switch {
	case msg.IsArray() && len(msg.Array()) > 0 && !prompt.Exists():
		y.prompt = msg.Raw
	case prompt.Type == gjson.String && !msg.Exists():
		y.prompt = prompt.Str
	default:
		return bad("Either prompt, a string, or messages, a list, is expected.")
	}
	if s := doc.Get("stream"); s.Exists() && !s.IsBool() {
		return bad("stream: true or false is expected.")
	}
	y.streamed = doc.Get("stream").Bool()
	if s := doc.Get("allow_downgrade"); s.Exists() && !s.IsBool() {
		return bad("allow_downgrade: true or false is expected.")
	}
	n := doc.Get("max_tokens")
	if n.Type != gjson.Number || n.Num != math.Trunc(n.Num) || n.Num < 1 || n.Num > float64(y.lay.Limits.Tokens) {
		return &Bounce{Status: 400, Code: "bad-max-tokens", Text: fmt.Sprintf("max_tokens: a whole number from 1 to %d is expected.", y.lay.Limits.Tokens)}
	}
	y.tokens = int(n.Num)
	return nil
}

// could lists the runners that serve what is asked, whatever their standing.
func (y *way) could() []*runner.Instance {
	var out []*runner.Instance
	for _, e := range y.f.Yard.List() {
		if e.Serves(y.pool.Select, y.model, y.tokens) {
			out = append(out, e)
		}
	}
	return out
}

// renew holds a waiting query against the layout in force, if that is no longer the one it came
// under: its key, its mapping, its lane's doors. The pool's selector counts as it is now.
func (y *way) renew() error {
	lay := y.f.Hub.Layout()
	if lay.Seq == y.lay.Seq {
		return nil
	}
	pool := y.pool.Name
	switch b := y.follow(lay); {
	case b == bounceKey:
		return &Bounce{Status: 401, Code: "unknown-key", Text: "The key was withdrawn while the query waited."}
	case b != nil:
		return b
	case y.pool.Name != pool:
		return bounceMoved
	}
	return nil
}

var bounceMoved = &Bounce{Status: 503, Code: "layout-changed", Text: "The layout leads this query elsewhere by now. Ask again.", Retry: time.Second}

// follow takes tenant, lane and pool anew from a layout, by the key's hash and the mapping. The lane has
// to stay the one it was, if there was one.
func (y *way) follow(lay *layout.Layout) *Bounce {
	ten, ok := y.payer(lay)
	if !ok {
		return bounceKey
	}
	m, _ := lay.Map(y.r.Method, y.r.URL.Path, y.r.Header.Get)
	if m == nil || !lay.Lanes[m.Lane].Admits(ten) || y.lane != nil && lay.Lanes[m.Lane].Name != y.lane.Name {
		return bounceMoved
	}
	y.lay, y.ten, y.tn = lay, ten, &lay.Tenants[ten]
	y.lane, y.pool = &lay.Lanes[m.Lane], &lay.Pools[m.Pool]
	return nil
}

// payer finds the query's tenant in a layout by its key. ok is false where the key is another's by now,
// or nobody's.
func (y *way) payer(lay *layout.Layout) (ten int, ok bool) {
	ten, ok = lay.Hashed(y.key)
	return ten, ok && lay.Tenants[ten].Name == y.q.Tenant
}

// allowed judges the free output allowance once, and reserves the tenant's quota.
func (y *way) allowed() error {
	note := ""
	if !y.lane.Plain {
		// Routers that queue for the same runners drain alike, so beside each token ahead here
		// others go ahead elsewhere, as far as there are any.
		ahead := y.f.Desk.TokensAhead(y.kind, y.lane.Rank, y.ten)
		far, routers := y.f.Yard.Waiting(y.kind)
		waiting := float64(ahead + min(far, ahead*routers))
		var feeds []allow.Feed
		for _, e := range y.could() {
			if e.Health() == "" {
				queued, rate := e.Estimate(waiting > 0)
				feeds = append(feeds, allow.Feed{Queued: queued, Rate: rate})
			}
		}
		ask := allow.Ask{Funded: y.tn.Funded, Tokens: y.tokens, Lower: gjson.GetBytes(y.body, "allow_downgrade").Bool()}
		v := allow.Decide(y.lay.Allowance, ask, feeds, waiting)
		y.wait = v.Wait
		y.f.Meter.Allowance.WithLabelValues(y.kindOf(), string(v.Outcome), allow.Bucket(y.tokens), allow.Bucket(v.Size)).Inc()
		y.f.Meter.Wait.WithLabelValues(y.kindOf()).Observe(v.Wait.Seconds())
		switch v.Outcome {
		case allow.NoFunds:
			return &Bounce{Status: 402, Code: "no-funds", Retry: y.again(),
				Text: fmt.Sprintf("The free output allowance is %d tokens now; %d were asked for. Ask for less, or later, or use funds.", v.Size, y.tokens)}
		case allow.NoRunner:
			return &Bounce{Status: 503, Code: "no-runner", Retry: 5 * time.Second,
				Text: fmt.Sprintf("No runner that is ready serves model %s with %d tokens of output.", y.model, y.tokens)}
		case allow.Lowered:
			y.low = v.Tokens
			y.lower()
		}
		note = fmt.Sprintf("%s, allowance %d, wait %.1f s", v.Outcome, v.Size, v.Wait.Seconds())
	}
	if err := y.pay(); err != nil {
		return err
	}
	return y.q.Advance(request.Admitted, note)
}

// pay reserves the units of the tenant's quota that this run costs.
func (y *way) pay() error {
	if q := y.tn.Quota; q.Units > 0 {
		cost := 1
		if q.Tokens > 0 && y.tokens > 0 {
			cost = (y.tokens + q.Tokens - 1) / q.Tokens
		}
		if cost > q.Units {
			return &Bounce{Status: 429, Code: "over-quota", Text: fmt.Sprintf("This query costs %d units; the quota is %d.", cost, q.Units)}
		}
		y.f.Purses.For(y.tn.Name).Rule(q.Units, q.Window)
		ok, again := y.f.Purses.Keep(y.r.Context(), y.tn.Name, cost)
		if !ok {
			return &Bounce{Status: 429, Code: "quota-spent", Retry: again, Text: "The tenant's quota is spent for now."}
		}
		y.cost = cost
	}
	return nil
}

// kindOf tells how a tenant pays, for the metrics.
func (y *way) kindOf() string {
	if y.tn.Funded {
		return "funded"
	}
	return "unfunded"
}

// again is when to come back: once the work ahead should have fallen by half, within a minute.
func (y *way) again() time.Duration {
	return min(max(y.wait/2, time.Second), time.Minute)
}

// lower changes max_tokens in the body, and not a byte besides.
func (y *way) lower() {
	n := gjson.GetBytes(y.body, "max_tokens")
	next := make([]byte, 0, len(y.body))
	next = append(next, y.body[:n.Index]...)
	next = strconv.AppendInt(next, int64(y.low), 10)
	y.body = append(next, y.body[n.Index+len(n.Raw):]...)
	y.tokens = y.low
}

// serve queues, nominates and sends, trying another runner only while no byte has left.
func (y *way) serve() error {
	if y.skip == nil {
		y.skip = map[int]bool{}
	}
	if y.streamed && y.car == nil {
		y.car = y.newCarry()
	}
	until := time.Now().Add(y.lane.Patience)
	svc := y.lay.Services[y.pool.Service]
	ctx := y.r.Context()
	if y.second {
		ctx = y.car.life // its origin may be on its way back
	}
	keys := place.PrefixHashes(y.ten, y.prompt)
	for try := 0; ; try++ {
		if err := y.q.Advance(request.Queued, y.kind); err != nil {
			return err
		}
		wait := &place.Waiter{Kind: y.kind, Rank: y.lane.Rank, Tenant: y.ten, Tokens: y.tokens, Lane: y.lane.Name, SilentFor: y.quiet(), PrefixHashes: keys, Eligible: y.could, Excluded: y.skip, Check: y.renew}
		e, err := y.f.Desk.Acquire(ctx, wait, time.Until(until), y.lay.Limits.Queue)
		var b *Bounce
		switch {
		case errors.As(err, &b):
			return b
		case errors.Is(err, place.ErrPatience):
			return &Bounce{Status: 503, Code: "patience-out", Retry: y.again(), Text: "No runner had room within the lane's patience."}
		case errors.Is(err, place.ErrFull):
			return &Bounce{Status: 503, Code: "queue-full", Retry: y.again(), Text: "Too many queries wait."}
		case err != nil:
			return &Bounce{Code: "origin-left"}
		}
		if err := y.q.Advance(request.Chosen, e.Addr); err != nil {
			return err
		}
		if try == 0 && !y.second {
			y.f.Meter.Dispatch.WithLabelValues(y.kindOf()).Observe(y.q.Age().Seconds())
			y.f.Again.First(svc, y.f.Hub.Part(svc.Spare))
		}
		left, err := y.send(e)
		if err == nil || left || errors.As(err, &b) {
			return err
		}
		y.skip[e.Index] = true
		if len(y.skip) >= len(y.could()) || !y.f.Again.May(svc) {
			return &Bounce{Status: 502, Code: "runner-unreached", Retry: time.Second, Text: "The runner could not be reached."}
		}
	}
}

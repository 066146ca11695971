package drill

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"

	"yarrowridge/internal/lib/runloop"
)

// Outcome is one try of an client, as the client saw it.
type Outcome struct {
	Kind           string
	Number         uint64
	IdempotencyKey string
	Tenant         string
	Router         string
	Path           string
	Body           []byte
	StartedAt      time.Time
	Duration       time.Duration
	Status         int
	Code           string   // of a rejection or error
	Run            string   // "not run" or "unknown", as said by the router
	RetryAfter     string   // Retry-After
	RequestID      string   // the router's id
	Complete       bool     // the whole answer came, and says it is complete
	Chunks         []int    // numbers of the stream's pieces, as they came
	ExecutionIDs   []string // the runs that made them, where pieces tell
	Echo           string
	Err            string // the connection broke
	Resumed        int    // times the stream was asked for again
}

// succeeded reports whether the client has a whole answer.
func (o *Outcome) succeeded() bool { return o.Complete && o.Status == 200 }

// Load plays a mix's clients against a fleet.
type Load struct {
	Fleet       *Fleet
	Scale       float64
	Seed        uint64
	MaxAttempts int // of one request, at another router each

	lastNumber atomic.Uint64
	mu         sync.Mutex
	outcomes   []Outcome
	http       *http.Client
}

// NewLoad makes a load; equal seeds ask the same things in the same order.
func NewLoad(f *Fleet, scale float64, seed uint64) *Load {
	return &Load{Fleet: f, Scale: scale, Seed: seed, MaxAttempts: 6, http: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Run plays until ctx ends, then waits for what is under way.
func (l *Load) Run(ctx context.Context) {
	var requests sync.WaitGroup
	for i, k := range l.Fleet.Mix.Kinds {
		r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		requests.Go(func() { l.generate(ctx, k, l.Scale, r, &requests) })
	}
	requests.Wait()
}

// Burst plays on top of the load for as long as ctx runs: scale times the mix's own traffic, over docs
// shared prefixes where docs is above zero.
func (l *Load) Burst(ctx context.Context, scale float64, prefixes int) {
	var requests sync.WaitGroup
	for i, k := range l.Fleet.Mix.Kinds {
		if prefixes > 0 {
			k.PrefixCount = prefixes
		}
		requests.Go(func() { l.generate(ctx, k, scale, rand.New(rand.NewPCG(l.Seed, uint64(100+i))), &requests) })
	}
	requests.Wait()
}

// generate asks for one kind of request at its pace until ctx ends.
func (l *Load) generate(ctx context.Context, k RequestKind, scale float64, r *rand.Rand, requests *sync.WaitGroup) {
	for {
		wait := time.Duration(r.ExpFloat64() / (k.Rate * scale) * float64(time.Second))
		if !runloop.Sleep(ctx, wait) {
			return
		}
		n := l.lastNumber.Add(1)
		body := k.body(l.Fleet.Mix.Model, n, r)
		from := r.IntN(len(l.Fleet.Routers))
		tenant := l.pickTenant(r)
		requests.Go(func() { l.sendWithRetries(k, n, body, tenant, from) })
	}
}

func (l *Load) pickTenant(r *rand.Rand) string {
	names := tenantNames(l.Fleet.Mix)
	// A few tenants are large: half of the traffic is two of them's. None has a quota.
	if r.IntN(2) == 0 {
		return names[1+r.IntN(2)]
	}
	return names[r.IntN(len(names))]
}

// sendWithRetries asks until the request has an outcome that another try can't better.
func (l *Load) sendWithRetries(k RequestKind, n uint64, body []byte, tenant string, from int) {
	for try := range l.MaxAttempts {
		r := l.Fleet.Routers[(from+try)%len(l.Fleet.Routers)]
		o := l.Send(k, n, body, tenant, r)
		for i := 1; i < len(l.Fleet.Routers) && o.isTruncated(k); i++ {
			l.Resume(&o, l.Fleet.Routers[(from+try+i)%len(l.Fleet.Routers)])
		}
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
		again := o.Err != "" || o.Run == "not run" || o.Code == "still-running"
		if !k.Once && !strings.HasPrefix(k.Method, "G") && o.Err != "" {
			again = o.Status == 0 // the connection was refused
		}
		if k.Once && o.Code == "runner-lost" {
			again = true // with its key, to learn what became of it
		}
		if !again || o.Status == 402 || o.Status == 429 || o.Code == "outcome-unknown" {
			return
		}
		wait := 200 * time.Millisecond
		if s, err := strconv.Atoi(o.RetryAfter); err == nil {
			wait = min(time.Duration(s)*time.Second, 2*time.Second)
		}
		time.Sleep(wait)
	}
}

// isTruncated reports whether a stream broke off with no word of its end.
func (o *Outcome) isTruncated(k RequestKind) bool {
	return k.Stream && o.Status == 200 && !o.Complete && o.Code == "" && o.RequestID != ""
}

// Resume asks a router for the rest of a stream that broke off.
func (l *Load) Resume(o *Outcome, r *Proc) {
	req, err := http.NewRequest("GET", "http://"+r.ClientAddr+"/v1/streams/"+o.RequestID, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+TenantKey(o.Tenant))
	req.Header.Set("Last-Event-ID", strconv.Itoa(len(o.Chunks)))
	o.Resumed++
	response, err := l.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != 200 {
		raw, _ := io.ReadAll(response.Body)
		if c := gjson.GetBytes(raw, "error.code").String(); c == "no-stream" {
			o.Code, o.Run = c, "unknown"
		}
		return
	}
	o.Err = ""
	o.readStream(response.Body)
}

// Send makes one try at one router.
func (l *Load) Send(k RequestKind, n uint64, body []byte, tenant string, r *Proc) (o Outcome) {
	o = Outcome{Kind: k.Name, Number: n, Tenant: tenant, Router: r.Name, Body: body, StartedAt: time.Now(), Path: k.Path}
	defer func() { o.Duration = time.Since(o.StartedAt) }()
	if k.Method == "GET" {
		o.Path += strconv.FormatUint(n, 10)
	}
	req, err := http.NewRequest(k.Method, "http://"+r.ClientAddr+o.Path, nil)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	if len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+TenantKey(tenant))
	req.Header.Set("X-Drill-N", strconv.FormatUint(n, 10))
	req.Header.Set("X-Yarrowridge-Tenant", "somebody-else")
	if k.Once {
		o.IdempotencyKey = fmt.Sprintf("key-%d", n)
		req.Header.Set("Idempotency-Key", o.IdempotencyKey)
	}
	response, err := l.http.Do(req)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status, o.RetryAfter, o.RequestID = response.StatusCode, response.Header.Get("Retry-After"), response.Header.Get("X-Yarrowridge-Query")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		o.readStream(response.Body)
		return o
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	if response.StatusCode == 200 {
		o.Complete, o.Echo = true, gjson.GetBytes(raw, "echo").String()
		if !gjson.ValidBytes(raw) {
			o.Echo = "cut"
		}
		return o
	}
	o.Code, o.Run = gjson.GetBytes(raw, "error.code").String(), gjson.GetBytes(raw, "error.run").String()
	return o
}

func (o *Outcome) readStream(in io.Reader) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, 1<<20)
	done := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		case gjson.Get(data, "error").Exists():
			o.Code, o.Run = gjson.Get(data, "error.code").String(), gjson.Get(data, "error.run").String()
		default:
			o.Chunks = append(o.Chunks, int(gjson.Get(data, "i").Int()))
			if id := gjson.Get(data, "run").Str; id != "" && !slices.Contains(o.ExecutionIDs, id) {
				o.ExecutionIDs = append(o.ExecutionIDs, id)
			}
			if echo := gjson.Get(data, "echo").String(); o.Echo == "" || o.Echo == echo {
				o.Echo = echo
			} else {
				o.Echo = "mixed"
			}
		}
	}
	if err := scanner.Err(); err != nil {
		o.Err = err.Error()
	}
	o.Complete = done
}

// Outcomes copies the outcomes so far.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome{}, l.outcomes...)
}

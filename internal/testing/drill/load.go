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

// Outcome is the result of one attempt of a client at one router, as the client observed it.
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
	Code           string   // error code of a rejection or failure
	Run            string   // "not run" or "unknown", as reported by the router
	RetryAfter     string   // the header Retry-After
	RequestID      string   // the router's ID of the request
	Complete       bool     // the answer was received to its end marker, if it has one
	Chunks         []int    // numbers of the stream's chunks in the order received
	ExecutionIDs   []string // executions that generated the chunks, as far as chunks name them
	Echo           string
	Err            string // set if the connection broke
	Resumed        int    // how often resuming the stream was tried
}

// succeeded reports whether the client got a complete answer.
func (o *Outcome) succeeded() bool { return o.Complete && o.Status == 200 }

// Load sends the requests of a mix's clients to a fleet.
type Load struct {
	Fleet       *Fleet
	Scale       float64
	Seed        uint64
	MaxAttempts int // of one request, each at the next router

	lastNumber atomic.Uint64
	mu         sync.Mutex
	outcomes   []Outcome
	http       *http.Client
}

// NewLoad returns a load. Equal seeds give the same requests in the same order for each kind.
func NewLoad(f *Fleet, scale float64, seed uint64) *Load {
	return &Load{Fleet: f, Scale: scale, Seed: seed, MaxAttempts: 6, http: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Run sends requests until ctx ends, then waits for those in flight.
func (l *Load) Run(ctx context.Context) {
	var requests sync.WaitGroup
	for i, k := range l.Fleet.Mix.Kinds {
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		requests.Go(func() { l.generate(ctx, k, l.Scale, random, &requests) })
	}
	requests.Wait()
}

// Burst adds scale times the mix's own traffic to the load until ctx ends. If prefixes is above zero, it replaces the
// number of shared prompt prefixes of each kind.
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

// generate sends requests of one kind, at random intervals with the rate of the kind, until ctx ends.
func (l *Load) generate(ctx context.Context, k RequestKind, scale float64, random *rand.Rand, requests *sync.WaitGroup) {
	for {
		wait := time.Duration(random.ExpFloat64() / (k.Rate * scale) * float64(time.Second))
		if !runloop.Sleep(ctx, wait) {
			return
		}
		number := l.lastNumber.Add(1)
		body := k.body(l.Fleet.Mix.Model, number, random)
		first := random.IntN(len(l.Fleet.Routers))
		tenant := l.pickTenant(random)
		requests.Go(func() { l.sendWithRetries(k, number, body, tenant, first) })
	}
}

// pickTenant draws the tenant that sends a request.
func (l *Load) pickTenant(random *rand.Rand) string {
	names := tenantNames(l.Fleet.Mix)
	// Two tenants send half of the traffic, and their share of the rest. Neither has a quota.
	if random.IntN(2) == 0 {
		return names[1+random.IntN(2)]
	}
	return names[random.IntN(len(names))]
}

// sendWithRetries sends a request to one router after another until a further attempt is not allowed or could not
// improve the outcome. Streams that break off are resumed.
func (l *Load) sendWithRetries(k RequestKind, number uint64, body []byte, tenant string, first int) {
	for attempt := range l.MaxAttempts {
		r := l.Fleet.Routers[(first+attempt)%len(l.Fleet.Routers)]
		o := l.Send(k, number, body, tenant, r)
		for i := 1; i < len(l.Fleet.Routers) && o.isTruncated(k); i++ {
			l.Resume(&o, l.Fleet.Routers[(first+attempt+i)%len(l.Fleet.Routers)])
		}
		l.mu.Lock()
		l.outcomes = append(l.outcomes, o)
		l.mu.Unlock()
		retry := o.Err != "" || o.Run == "not run" || o.Code == "still-running"
		if !k.Once && !strings.HasPrefix(k.Method, "G") && o.Err != "" {
			retry = o.Status == 0 // the connection was refused
		}
		if k.Once && o.Code == "runner-lost" {
			retry = true // with the same idempotency key, the answer is the outcome of the first attempt
		}
		if !retry || o.Status == 402 || o.Status == 429 || o.Code == "outcome-unknown" {
			return
		}
		wait := 200 * time.Millisecond
		if s, err := strconv.Atoi(o.RetryAfter); err == nil {
			wait = min(time.Duration(s)*time.Second, 2*time.Second)
		}
		time.Sleep(wait)
	}
}

// isTruncated reports whether a stream broke off without an end marker or an error.
func (o *Outcome) isTruncated(k RequestKind) bool {
	return k.Stream && o.Status == 200 && !o.Complete && o.Code == "" && o.RequestID != ""
}

// Resume requests the rest of a truncated stream from a router.
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

// Send makes one attempt at one router.
func (l *Load) Send(k RequestKind, number uint64, body []byte, tenant string, r *Proc) (o Outcome) {
	o = Outcome{Kind: k.Name, Number: number, Tenant: tenant, Router: r.Name, Body: body, StartedAt: time.Now(), Path: k.Path}
	defer func() { o.Duration = time.Since(o.StartedAt) }()
	if k.Method == "GET" {
		o.Path += strconv.FormatUint(number, 10)
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
	req.Header.Set("X-Drill-N", strconv.FormatUint(number, 10))
	req.Header.Set("X-Yarrowridge-Tenant", "somebody-else")
	if k.Once {
		o.IdempotencyKey = fmt.Sprintf("key-%d", number)
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

// readStream reads the events of a stream into the outcome.
func (o *Outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
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

// Outcomes returns a copy of the outcomes so far.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome{}, l.outcomes...)
}

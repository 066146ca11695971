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
	Kind      string
	Number    uint64
	Key       string
	Tenant    string
	Router    string
	Path      string
	Body      []byte
	Begun     time.Time
	Took      time.Duration
	Status    int
	Code      string   // of a rejection or error
	Run       string   // "not run" or "unknown", as said by the router
	Retry     string   // Retry-After
	RequestID string   // the router's id
	Whole     bool     // the whole answer came, and says it is complete
	Pieces    []int    // numbers of the stream's pieces, as they came
	Marks     []string // the runs that made them, where pieces tell
	Echo      string
	Err       string // the connection broke
	Resumed   int    // times the stream was asked for again
}

// served reports whether the client has a whole answer.
func (o *Outcome) served() bool { return o.Whole && o.Status == 200 }

// Load plays a mix's clients against a fleet.
type Load struct {
	Fleet *Fleet
	Scale float64
	Seed  uint64
	Tries int // of one request, at another router each

	next atomic.Uint64
	mu   sync.Mutex
	all  []Outcome
	http *http.Client
}

// NewLoad makes a load; equal seeds ask the same things in the same order.
func NewLoad(f *Fleet, scale float64, seed uint64) *Load {
	return &Load{Fleet: f, Scale: scale, Seed: seed, Tries: 6, http: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// Run plays until ctx ends, then waits for what is under way.
func (l *Load) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i, k := range l.Fleet.Mix.Kinds {
		r := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		all.Go(func() { l.kind(ctx, k, l.Scale, r, &all) })
	}
	all.Wait()
}

// Burst plays on top of the load for as long as ctx runs: scale times the mix's own traffic, over docs
// shared prefixes where docs is above zero.
func (l *Load) Burst(ctx context.Context, scale float64, docs int) {
	var all sync.WaitGroup
	for i, k := range l.Fleet.Mix.Kinds {
		if docs > 0 {
			k.Docs = docs
		}
		all.Go(func() { l.kind(ctx, k, scale, rand.New(rand.NewPCG(l.Seed, uint64(100+i))), &all) })
	}
	all.Wait()
}

// kind asks for one kind of request at its pace until ctx ends.
func (l *Load) kind(ctx context.Context, k Kind, scale float64, r *rand.Rand, all *sync.WaitGroup) {
	for {
		wait := time.Duration(r.ExpFloat64() / (k.Rate * scale) * float64(time.Second))
		if !runloop.Sleep(ctx, wait) {
			return
		}
		n := l.next.Add(1)
		body := k.body(l.Fleet.Mix.Model, n, r)
		from := r.IntN(len(l.Fleet.Routers))
		tenant := l.tenant(r)
		all.Go(func() { l.one(k, n, body, tenant, from) })
	}
}

func (l *Load) tenant(r *rand.Rand) string {
	list := tenantNames(l.Fleet.Mix)
	// A few tenants are large: half of the traffic is two of them's. None has a quota.
	if r.IntN(2) == 0 {
		return list[1+r.IntN(2)]
	}
	return list[r.IntN(len(list))]
}

// one asks until the request has an outcome that another try can't better.
func (l *Load) one(k Kind, n uint64, body []byte, tenant string, from int) {
	for try := range l.Tries {
		r := l.Fleet.Routers[(from+try)%len(l.Fleet.Routers)]
		o := l.Ask(k, n, body, tenant, r)
		for i := 1; i < len(l.Fleet.Routers) && o.broken(k); i++ {
			l.Resume(&o, l.Fleet.Routers[(from+try+i)%len(l.Fleet.Routers)])
		}
		l.mu.Lock()
		l.all = append(l.all, o)
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
		if s, err := strconv.Atoi(o.Retry); err == nil {
			wait = min(time.Duration(s)*time.Second, 2*time.Second)
		}
		time.Sleep(wait)
	}
}

// broken reports whether a stream broke off with no word of its end.
func (o *Outcome) broken(k Kind) bool {
	return k.Stream && o.Status == 200 && !o.Whole && o.Code == "" && o.RequestID != ""
}

// Resume asks a router for the rest of a stream that broke off.
func (l *Load) Resume(o *Outcome, r *Proc) {
	req, err := http.NewRequest("GET", "http://"+r.Client+"/v1/streams/"+o.RequestID, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+Key(o.Tenant))
	req.Header.Set("Last-Event-ID", strconv.Itoa(len(o.Pieces)))
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
	o.stream(response.Body)
}

// Ask makes one try at one router.
func (l *Load) Ask(k Kind, n uint64, body []byte, tenant string, r *Proc) (o Outcome) {
	o = Outcome{Kind: k.Name, Number: n, Tenant: tenant, Router: r.Name, Body: body, Begun: time.Now(), Path: k.Path}
	defer func() { o.Took = time.Since(o.Begun) }()
	if k.Method == "GET" {
		o.Path += strconv.FormatUint(n, 10)
	}
	req, err := http.NewRequest(k.Method, "http://"+r.Client+o.Path, nil)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	if len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+Key(tenant))
	req.Header.Set("X-Drill-N", strconv.FormatUint(n, 10))
	req.Header.Set("X-Yarrowridge-Tenant", "somebody-else")
	if k.Once {
		o.Key = fmt.Sprintf("key-%d", n)
		req.Header.Set("Idempotency-Key", o.Key)
	}
	response, err := l.http.Do(req)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status, o.Retry, o.RequestID = response.StatusCode, response.Header.Get("Retry-After"), response.Header.Get("X-Yarrowridge-Query")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		o.stream(response.Body)
		return o
	}
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	if response.StatusCode == 200 {
		o.Whole, o.Echo = true, gjson.GetBytes(raw, "echo").String()
		if !gjson.ValidBytes(raw) {
			o.Echo = "cut"
		}
		return o
	}
	o.Code, o.Run = gjson.GetBytes(raw, "error.code").String(), gjson.GetBytes(raw, "error.run").String()
	return o
}

func (o *Outcome) stream(in io.Reader) {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 1<<20)
	done := false
	for sc.Scan() {
		s, ok := strings.CutPrefix(sc.Text(), "data: ")
		switch {
		case !ok:
		case s == "[DONE]":
			done = true
		case gjson.Get(s, "error").Exists():
			o.Code, o.Run = gjson.Get(s, "error.code").String(), gjson.Get(s, "error.run").String()
		default:
			o.Pieces = append(o.Pieces, int(gjson.Get(s, "i").Int()))
			if m := gjson.Get(s, "run").Str; m != "" && !slices.Contains(o.Marks, m) {
				o.Marks = append(o.Marks, m)
			}
			if e := gjson.Get(s, "echo").String(); o.Echo == "" || o.Echo == e {
				o.Echo = e
			} else {
				o.Echo = "mixed"
			}
		}
	}
	if err := sc.Err(); err != nil {
		o.Err = err.Error()
	}
	o.Whole = done
}

// All copies the outcomes so far.
func (l *Load) All() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome{}, l.all...)
}

package drill

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
	"github.com/zeromicro/go-zero/rest/httpc"

	"yarrowridge/internal/lib/runloop"
)

// OperatorKey is the operators' key of a rehearsal fleet.
const OperatorKey = "demo-operator"

// Until asks until what is awaited holds, or ctx ends.
func (f *Fleet) Until(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		if !runloop.Sleep(ctx, 50*time.Millisecond) {
			return eris.Errorf("drill: gave up waiting until %s", what)
		}
	}
	return nil
}

// Ask makes one operator's call.
func (f *Fleet) Ask(ctx context.Context, method, at, path string, body []byte, head map[string]string) (int, []byte, error) {
	ctx, end := context.WithTimeout(ctx, 8*time.Second)
	defer end()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	for k, v := range head {
		req.Header.Set(k, v)
	}
	response, err := httpc.DoRequest(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// Put puts a config through a process and tells the code and the version.
func (f *Fleet) Put(ctx context.Context, p *Proc, raw []byte, match, id string) (int, uint64, error) {
	code, response, err := f.Ask(ctx, "PUT", p.Operator, "/v1/layout", raw, map[string]string{"If-Match": match, "X-Write-Id": id})
	return code, gjson.GetBytes(response, "sequence").Uint(), err
}

// Ready asks a process whether it is ready.
func (f *Fleet) Ready(ctx context.Context, p *Proc) bool {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	code, _, err := f.Ask(ctx, "GET", p.Operator, "/ready", nil, nil)
	return err == nil && code == 200
}

// Serving counts the runners that a router would send to.
func (f *Fleet) Serving(ctx context.Context, p *Proc) int {
	code, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/runners", nil, nil)
	if err != nil || code != 200 {
		return 0
	}
	return len(gjson.GetBytes(raw, `#(standing=="ready")#`).Array())
}

// Primary finds the core that leads.
func (f *Fleet) Primary(ctx context.Context) *Proc {
	for _, c := range f.Cores {
		code, raw, err := f.Ask(ctx, "GET", c.Operator, "/v1/standing", nil, nil)
		if err == nil && code == 200 && gjson.GetBytes(raw, "ready").Bool() {
			return c
		}
	}
	return nil
}

// ConfigVersion is the config version that a router obeys.
func (f *Fleet) ConfigVersion(ctx context.Context, p *Proc) uint64 {
	_, raw, err := f.Ask(ctx, "GET", p.Operator, "/v1/standing", nil, nil)
	if err != nil {
		return 0
	}
	return gjson.GetBytes(raw, "node.sequence").Uint()
}

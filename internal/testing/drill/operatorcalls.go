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

// OperatorKey is the key of the operator API of a fleet.
const OperatorKey = "demo-operator"

// WaitUntil polls a condition until it holds or ctx ends.
func (f *Fleet) WaitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !runloop.Sleep(ctx, 50*time.Millisecond) {
			return eris.Errorf("drill: gave up waiting until %s", what)
		}
	}
	return nil
}

// CallOperatorAPI makes one call to a process's operator API and returns the status and the body of the answer.
func (f *Fleet) CallOperatorAPI(ctx context.Context, method, addr, path string, body []byte, headers map[string]string) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	for k, v := range headers {
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

// PutConfig writes a config through a process and returns the status and the version of the answer.
func (f *Fleet) PutConfig(ctx context.Context, p *Proc, raw []byte, ifMatch, writeID string) (int, uint64, error) {
	code, response, err := f.CallOperatorAPI(ctx, "PUT", p.OperatorAddr, "/v1/layout", raw, map[string]string{"If-Match": ifMatch, "X-Write-Id": writeID})
	return code, gjson.GetBytes(response, "sequence").Uint(), err
}

// IsReady reports whether a process answers that it is ready.
func (f *Fleet) IsReady(ctx context.Context, p *Proc) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	code, _, err := f.CallOperatorAPI(ctx, "GET", p.OperatorAddr, "/ready", nil, nil)
	return err == nil && code == 200
}

// CountReadyRunners counts the runners that a router regards as ready.
func (f *Fleet) CountReadyRunners(ctx context.Context, p *Proc) int {
	code, raw, err := f.CallOperatorAPI(ctx, "GET", p.OperatorAddr, "/v1/runners", nil, nil)
	if err != nil || code != 200 {
		return 0
	}
	return len(gjson.GetBytes(raw, `#(standing=="ready")#`).Array())
}

// Primary returns the core that reports itself ready as the primary, or nil if there is none.
func (f *Fleet) Primary(ctx context.Context) *Proc {
	for _, c := range f.Cores {
		code, raw, err := f.CallOperatorAPI(ctx, "GET", c.OperatorAddr, "/v1/standing", nil, nil)
		if err == nil && code == 200 && gjson.GetBytes(raw, "ready").Bool() {
			return c
		}
	}
	return nil
}

// ConfigVersion returns the version of the config that a router applies, or 0 if the router does not answer.
func (f *Fleet) ConfigVersion(ctx context.Context, p *Proc) uint64 {
	_, raw, err := f.CallOperatorAPI(ctx, "GET", p.OperatorAddr, "/v1/standing", nil, nil)
	if err != nil {
		return 0
	}
	return gjson.GetBytes(raw, "node.sequence").Uint()
}

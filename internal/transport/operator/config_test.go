package operator

import (
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/lib/web"
	"yarrowridge/internal/model/fleetconfig"
	"yarrowridge/internal/transport/wire"
)

// codeOf returns the code of an error response, or "" if it is nil.
func codeOf(rejection *errorResponse) web.ErrorCode {
	if rejection == nil {
		return ""
	}
	return rejection.code
}

func TestParseConfigRead(t *testing.T) {
	for _, c := range []struct {
		query       string
		wantVersion uint64
		wantCode    web.ErrorCode
	}{
		{"", 0, ""},
		{"?sequence=7", 7, ""},
		{"?sequence=0", 0, CodeInvalidVersion},
		{"?sequence=-1", 0, CodeInvalidVersion},
		{"?sequence=x", 0, CodeInvalidVersion},
	} {
		request, rejection := parseConfigRead(httptest.NewRequest(http.MethodGet, "/v1/layout"+c.query, nil))
		if request.Version != c.wantVersion || codeOf(rejection) != c.wantCode {
			t.Errorf("query %q: got version %d and code %q, want %d and %q", c.query, request.Version, codeOf(rejection), c.wantVersion, c.wantCode)
		}
	}
}

func TestParseConfigWrite(t *testing.T) {
	for _, c := range []struct {
		name, method, writeID, ifMatch, body string
		want                                 coreapi.WriteRequest
		wantCode                             web.ErrorCode
	}{
		{name: "complete", method: http.MethodPut, body: "{}", want: coreapi.WriteRequest{AnyVersion: true}},
		{name: "change", method: http.MethodPatch, writeID: "a", body: "{}", want: coreapi.WriteRequest{ID: "a", Patch: true, AnyVersion: true}},
		{name: "any version", method: http.MethodPut, ifMatch: "*", body: "{}", want: coreapi.WriteRequest{AnyVersion: true}},
		{name: "one version", method: http.MethodPut, ifMatch: `"7"`, body: "{}", want: coreapi.WriteRequest{BaseVersion: 7}},
		{name: "bare version", method: http.MethodPut, ifMatch: "7", body: "{}", want: coreapi.WriteRequest{BaseVersion: 7}},
		{name: "no version", method: http.MethodPut, ifMatch: "x", wantCode: CodeInvalidIfMatch},
		{name: "longest write ID", method: http.MethodPut, writeID: strings.Repeat("x", 200), want: coreapi.WriteRequest{ID: strings.Repeat("x", 200), AnyVersion: true}},
		{name: "write ID too long", method: http.MethodPut, writeID: strings.Repeat("x", 201), wantCode: CodeInvalidWriteID},
		{name: "largest body", method: http.MethodPut, body: strings.Repeat("x", fleetconfig.MaxBytes), want: coreapi.WriteRequest{AnyVersion: true}},
		{name: "body too large", method: http.MethodPut, body: strings.Repeat("x", fleetconfig.MaxBytes+1), wantCode: CodeTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, "/v1/layout", strings.NewReader(c.body))
			r.Header.Set(WriteIDHeader, c.writeID)
			r.Header.Set("If-Match", c.ifMatch)
			got, rejection := parseConfigWrite(r)
			if codeOf(rejection) != c.wantCode {
				t.Fatalf("got code %q, want %q", codeOf(rejection), c.wantCode)
			}
			if rejection != nil {
				return
			}
			if string(got.Raw) != c.body {
				t.Errorf("got a body of %d bytes, want the %d bytes of the request unchanged", len(got.Raw), len(c.body))
			}
			if got.ID != c.want.ID || got.Patch != c.want.Patch || got.BaseVersion != c.want.BaseVersion || got.AnyVersion != c.want.AnyVersion {
				t.Errorf("got ID %q, patch %v, base %d, any %v; want %q, %v, %d, %v", got.ID, got.Patch, got.BaseVersion, got.AnyVersion,
					c.want.ID, c.want.Patch, c.want.BaseVersion, c.want.AnyVersion)
			}
		})
	}
}

func TestConfigReadError(t *testing.T) {
	for _, c := range []struct {
		version    uint64
		err        error
		wantStatus int
		wantCode   web.ErrorCode
		retryable  bool
	}{
		{version: 7},
		{version: 0, wantStatus: http.StatusNotFound, wantCode: CodeNoConfig},
		{err: wire.StatusError{Code: coreapi.CodeNoSuchVersion}, wantStatus: http.StatusNotFound, wantCode: CodeNoSuchVersion},
		{err: wire.ErrUnsent, wantStatus: http.StatusServiceUnavailable, wantCode: CodeNoCore, retryable: true},
		{err: wire.ErrOutcomeUnknown, wantStatus: http.StatusServiceUnavailable, wantCode: CodeNoCore, retryable: true},
	} {
		rejection := configReadError(&coreapi.StoredConfig{Version: c.version}, c.err)
		if codeOf(rejection) != c.wantCode {
			t.Errorf("version %d, error %v: got code %q, want %q", c.version, c.err, codeOf(rejection), c.wantCode)
			continue
		}
		if rejection != nil && (rejection.status != c.wantStatus || rejection.retryable != c.retryable) {
			t.Errorf("version %d, error %v: got %+v, want status %d, retryable %v", c.version, c.err, rejection, c.wantStatus, c.retryable)
		}
	}
}

// If the core's response to a write is missing, the error response states whether the write may still be applied.
func TestConfigWriteError(t *testing.T) {
	api := &API{Ctx: daemon.Context{Context: t.Context(), Log: slog.New(slog.DiscardHandler)}}
	for _, c := range []struct {
		err        error
		wantStatus int
		wantCode   web.ErrorCode
	}{
		{wire.ErrOutcomeUnknown, http.StatusGatewayTimeout, CodeOutcomeUnknown},
		{wire.StatusError{Code: coreapi.CodeOutcomeUnknown}, http.StatusGatewayTimeout, CodeOutcomeUnknown},
		{wire.ErrUnsent, http.StatusServiceUnavailable, CodeWriteNotAccepted},
		{wire.StatusError{Code: coreapi.CodeNotReady}, http.StatusServiceUnavailable, CodeWriteNotAccepted},
		{wire.StatusError{Code: coreapi.CodeNotPrimary}, http.StatusServiceUnavailable, CodeWriteNotAccepted},
		{wire.StatusError{Code: coreapi.CodeDiskFailed}, http.StatusGatewayTimeout, CodeOutcomeUnknown},
		{errors.New("any other"), http.StatusGatewayTimeout, CodeOutcomeUnknown},
	} {
		got := api.configWriteError(c.err)
		if got.status != c.wantStatus || got.code != c.wantCode || !got.retryable {
			t.Errorf("error %v: got %+v, want status %d, code %q, retryable", c.err, got, c.wantStatus, c.wantCode)
		}
	}
}

// Operators' scripts depend on these statuses, headers and bodies of responses to a write.
func TestWriteConfigOutcome(t *testing.T) {
	for _, c := range []struct {
		response   coreapi.WriteResponse
		wantStatus int
		wantETag   string
		wantBody   string // a prefix of the body
	}{
		{coreapi.WriteResponse{Code: 200, Version: 7}, 200, `"7"`, `{"repeated":false,"sequence":7}`},
		{coreapi.WriteResponse{Code: 200, Version: 7, Repeated: true}, 200, `"7"`, `{"repeated":true,"sequence":7}`},
		{coreapi.WriteResponse{Code: 412, Version: 8}, 412, "", `{"error":{"code":"lost-race","message":"The layout is at sequence 8 by now."}}`},
		{coreapi.WriteResponse{Code: 413}, 413, "", `{"error":{"code":"too-large",`},
		{coreapi.WriteResponse{Code: 422}, 422, "", `{"error":{"code":"write-id-clash",`},
		{coreapi.WriteResponse{Code: 400, Errors: []coreapi.ConfigError{{Path: "a", Text: "b"}}}, 400, "", `{"error":{"code":"bad-layout","message":"The layout has troubles; nothing was changed.","troubles":[{"path":"a","text":"b"}]}}`},
	} {
		recorder := httptest.NewRecorder()
		writeConfigOutcome(recorder, &c.response)
		if got := recorder.Code; got != c.wantStatus {
			t.Errorf("response %+v: got status %d, want %d", c.response, got, c.wantStatus)
		}
		if got := recorder.Header().Get("ETag"); got != c.wantETag {
			t.Errorf("response %+v: got ETag %q, want %q", c.response, got, c.wantETag)
		}
		if got := recorder.Body.String(); !strings.HasPrefix(got, c.wantBody) {
			t.Errorf("response %+v: got body %s, want it to begin with %s", c.response, got, c.wantBody)
		}
	}
}

// Only responses to requests that may succeed if retried have a Retry-After header.
func TestErrorResponseWrite(t *testing.T) {
	for _, c := range []struct {
		retryable      bool
		wantRetryAfter string
	}{{false, ""}, {true, "1"}} {
		recorder := httptest.NewRecorder()
		(&errorResponse{status: 503, code: CodeNoCore, message: "text", retryable: c.retryable}).write(recorder)
		if got := recorder.Header().Get("Retry-After"); got != c.wantRetryAfter {
			t.Errorf("retryable %v: got Retry-After %q, want %q", c.retryable, got, c.wantRetryAfter)
		}
		if got, want := recorder.Body.String(), `{"error":{"code":"no-core","message":"text"}}`+"\n"; recorder.Code != 503 || got != want {
			t.Errorf("got status %d and body %s, want 503 and %s", recorder.Code, got, want)
		}
	}
}

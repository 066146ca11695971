package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"yarrowridge/internal/model/routing"
)

// setRevocationTerm sets the gateway's revocation term. The returned pointer holds the time that KeyBounds.ConfirmedAt returns; it
// starts at the zero time.
func setRevocationTerm(f *fleet, term time.Duration) *atomic.Pointer[time.Time] {
	confirmed := &atomic.Pointer[time.Time]{}
	confirmed.Store(&time.Time{})
	f.gateway.Keys = KeyBounds{RevocationTerm: term, ConfirmedAt: func() time.Time { return *confirmed.Load() }}
	return confirmed
}

func (f *fleet) status(path, key string) (int, http.Header) {
	response, _, err := f.send("1", path, key, "")
	if err != nil {
		f.Fatal(err)
	}
	return response.StatusCode, response.Header
}

// While keys are stale, requests that need a key are rejected with Retry-After, whether their key is known or not. Public
// routes are still served.
func TestStaleKeysAreRejected(t *testing.T) {
	public := routing.RouteSpec{Name: "p", Host: testHost, Prefix: "/public/", Kind: routing.Safe, Public: true, MaxAttempts: 1,
		Timeout: 5 * time.Second, Split: []routing.SplitSpec{{Service: "desk", Weight: 1}}}
	f := newFleet(t, route(routing.Safe, 1, false), public)
	f.addRunner("one", respondWith("text"))
	confirmed := setRevocationTerm(f, 2*time.Second)
	for _, key := range []string{"k1", "unknown"} {
		if status, header := f.status("/a/", key); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
			t.Errorf("key %s: got %d, Retry-After %q, want 503 with Retry-After", key, status, header.Get("Retry-After"))
		}
	}
	if status, _ := f.status("/public/", ""); status != http.StatusOK {
		t.Errorf("public route: got %d, want 200", status)
	}
	almost := time.Now().Add(-1500 * time.Millisecond)
	confirmed.Store(&almost)
	if status, _ := f.status("/a/", "k1"); status != http.StatusOK {
		t.Errorf("confirmed within the term: got %d, want 200", status)
	}
	over := time.Now().Add(-1900 * time.Millisecond) // within the term, but not within the margin for clock drift
	confirmed.Store(&over)
	if status, _ := f.status("/a/", "k1"); status != http.StatusServiceUnavailable {
		t.Errorf("confirmed too long ago: got %d, want 503", status)
	}
	f.gateway.Keys.RevocationTerm = 0
	if status, _ := f.status("/a/", "k1"); status != http.StatusOK {
		t.Errorf("without a term: got %d, want 200", status)
	}
}

// A request waits until keys are confirmed, and then uses the current routing table.
func TestRequestWaitsForConfirmedKeys(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 1, false))
	f.addRunner("one", respondWith("text"))
	confirmed := setRevocationTerm(f, 2*time.Second)
	confirm := func(revoked bool) {
		time.Sleep(100 * time.Millisecond)
		if revoked {
			spec := routing.Spec{Revision: 2, Routes: []routing.RouteSpec{route(routing.Safe, 1, false)}, Services: []routing.Service{{Name: "desk"}},
				Tenants: []routing.TenantSpec{{Name: "yard", Keys: []string{"k2"}}}}
			table, _ := routing.Build(spec)
			f.table.Store(table)
		}
		now := time.Now()
		confirmed.Store(&now)
	}
	go confirm(false)
	if status, _ := f.status("/a/", "k1"); status != http.StatusOK {
		t.Errorf("a key that is still valid: got %d, want 200", status)
	}
	confirmed.Store(&time.Time{})
	go confirm(true)
	if status, _ := f.status("/a/", "k1"); status != http.StatusUnauthorized {
		t.Errorf("a key that was revoked meanwhile: got %d, want 401", status)
	}
}

// A request whose process is suspended after admission does not run if its key may have been revoked meanwhile.
func TestStaleKeyBeforeTheFirstByte(t *testing.T) {
	f := newFleet(t, route(routing.Safe, 1, false))
	var ran atomic.Int64
	f.addRunner("one", func(w http.ResponseWriter, r *http.Request) { ran.Add(1); respondWith("text")(w, r) })
	confirmed := setRevocationTerm(f, 2*time.Second)
	now := time.Now()
	confirmed.Store(&now)
	f.quotas.onReserve = func() { confirmed.Store(&time.Time{}) } // as if the process had been suspended here
	if status, _ := f.status("/a/", "k1"); status != http.StatusServiceUnavailable || ran.Load() > 0 {
		t.Errorf("got %d after %d runs, want 503 after none", status, ran.Load())
	}
}

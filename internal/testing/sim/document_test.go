package sim_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/transport/wire"
)

// lineCodec is a codec of documents that contain their own version: the first line is the version, and each further line the
// name of a tenant and its quota in units. A line "bad" is an error.
type lineCodec struct{}

func (lineCodec) Check(raw []byte) (doc configuration.Document, errs []coreapi.ConfigError) {
	doc.Quotas, doc.Windows = map[string]int{}, map[string]time.Duration{}
	for i, line := range strings.Split(string(raw), "\n") {
		var name string
		var units int
		if i == 0 {
			if _, err := fmt.Sscan(line, &doc.Version); err != nil {
				return doc, []coreapi.ConfigError{{Path: "0", Text: "a version is expected"}}
			}
		} else if line == "bad" {
			return doc, []coreapi.ConfigError{{Path: fmt.Sprint(i), Text: "bad"}}
		} else if n, _ := fmt.Sscan(line, &name, &units); n == 2 {
			doc.Quotas[name], doc.Windows[name] = units, 3*time.Second
		}
	}
	return doc, nil
}

func (lineCodec) Merge(_, _ []byte) ([]byte, error) {
	return nil, errors.New("no partial changes")
}

func (lineCodec) MaxBytes() int { return 4 << 20 }

// acceptedConfigs records the configurations that a router accepted: their versions in order, and the latest document.
type acceptedConfigs struct {
	mu       sync.Mutex
	versions []uint64
	latest   []byte
}

// newDocumentFleet starts a fleet with lineCodec. Its routers reject documents that contain "strange".
func newDocumentFleet(t *testing.T, seed uint64, routers int) (*fleet, map[string]*acceptedConfigs) {
	got := map[string]*acceptedConfigs{}
	f := newFleetWith(t, seed, routers, func(f *fleet) {
		f.codec = lineCodec{}
		f.options = func(r *routerProc) []cluster.Option {
			accepted := &acceptedConfigs{}
			got[r.name] = accepted
			return []cluster.Option{cluster.WithConfigHandler(func(version uint64, raw []byte) error {
				accepted.mu.Lock()
				defer accepted.mu.Unlock()
				if n := len(accepted.versions); n > 0 && accepted.versions[n-1] >= version {
					t.Errorf("%s accepted version %d after version %d", r.name, version, accepted.versions[n-1])
				}
				if bytes.Contains(raw, []byte("strange")) {
					return errors.New("the document contains \"strange\"")
				}
				accepted.versions, accepted.latest = append(accepted.versions, version), raw
				return nil
			})}
		}
	})
	f.within(5*time.Second, "a primary is ready after bootstrap", func() bool { return f.primary() != nil })
	return f, got
}

// everyRouterAt returns a condition that every router is ready with this configuration version.
func (f *fleet) everyRouterAt(version uint64) func() bool {
	return func() bool {
		for _, r := range f.routers {
			if r.member.ConfigVersion() != version || r.member.NotReadyReason() != "" {
				return false
			}
		}
		return true
	}
}

// Documents that contain their own version: any higher version is accepted, any other is rejected. The test
// also covers the order of the checks and which documents stay readable, across changes of the primary.
func TestDocumentsNumberThemselves(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, got := newDocumentFleet(t, seed, 6)
		o := f.operator()
		write := func(in coreapi.WriteRequest, code int, version uint64) *coreapi.WriteResponse {
			t.Helper()
			var out coreapi.WriteResponse
			ctx, cancel := context.WithTimeout(f.ctx, 6*time.Second)
			defer cancel()
			if err := o.cli.Call(ctx, "core.write", &in, &out, true); err != nil {
				t.Fatalf("write: %v", err)
			}
			if out.Code != code || out.Version != version {
				t.Errorf("write of %.20q was answered with code %d at version %d, want code %d at version %d", in.Raw, out.Code, out.Version, code, version)
			}
			return &out
		}
		document := func(version uint64, more string) []byte { return fmt.Appendf(nil, "%d\n%s", version, more) }
		write(coreapi.WriteRequest{AnyVersion: true, ID: "first", Raw: document(5, "a 10")}, 200, 5)
		write(coreapi.WriteRequest{AnyVersion: true, Raw: document(1_000_000, "a 10")}, 200, 1_000_000)
		for _, version := range []uint64{999_999, 1_000_000} {
			out := write(coreapi.WriteRequest{AnyVersion: true, Raw: document(version, "")}, 400, 1_000_000)
			if len(out.Errors) != 1 || out.Errors[0].Path != "sequence" || !strings.Contains(out.Errors[0].Text, "above 1000000") {
				t.Errorf("got errors %+v, want one for the version", out.Errors)
			}
		}
		// A repeated id is recognized before the base version is checked, and that before the document.
		if out := write(coreapi.WriteRequest{ID: "first", BaseVersion: 7, Raw: document(5, "a 10")}, 200, 5); !out.Repeated {
			t.Error("a repeated id was not recognized")
		}
		write(coreapi.WriteRequest{ID: "first", BaseVersion: 7, Raw: document(6, "a 10")}, 422, 5)
		write(coreapi.WriteRequest{BaseVersion: 7, Raw: document(1, "bad")}, 412, 1_000_000)
		write(coreapi.WriteRequest{BaseVersion: 1_000_000, Raw: document(2_000_000, "bad")}, 400, 1_000_000)
		write(coreapi.WriteRequest{BaseVersion: 1_000_000, Raw: document(1_000_007, "a 10")}, 200, 1_000_007)
		f.within(2*time.Second, "every router has the document", f.everyRouterAt(1_000_007))

		// The quota comes from the document. One transfer gets a share of the free units, many together exactly the quota.
		var transferred coreapi.QuotaTransferResult
		for turn := range uint64(30) {
			if err := o.cli.Call(f.ctx, "core.move", &coreapi.QuotaTransfer{Tenant: "a", Holder: "h", Sequence: turn + 1, Units: 25}, &transferred, true); err != nil {
				t.Fatal(err)
			}
		}
		if transferred.HeldUnits != 10 {
			t.Errorf("got %d units, want all 10", transferred.HeldUnits)
		}

		// Large documents in quick succession, with a crash of the primary in between.
		big := strings.Repeat("some route or other\n", 7_500)
		last, versions := uint64(1_000_007), []uint64{5, 1_000_000, 1_000_007}
		for i := range uint64(20) {
			last += 1 + i*i*31
			versions = append(versions, last)
			write(coreapi.WriteRequest{AnyVersion: true, ID: fmt.Sprint("big", i), Raw: document(last, big)}, 200, last)
			if i == 9 {
				f.crashCore(f.primary())
			}
		}
		f.within(2*time.Second, "every router is at the last version", f.everyRouterAt(last))
		f.settle()
		write(coreapi.WriteRequest{AnyVersion: true, ID: "big3", Raw: document(versions[6], big)}, 200, versions[6])
		readable := 0
		for _, version := range versions {
			err := o.cli.Call(f.ctx, "core.layout", &coreapi.ConfigRequest{Version: version}, &coreapi.StoredConfig{}, true)
			if err == nil {
				readable++
			} else if !wire.HasCode(err, coreapi.CodeNoSuchVersion) {
				t.Fatal(err)
			}
		}
		if readable != 3 {
			t.Errorf("%d large documents are readable, want 3", readable)
		}

		// The largest document that the codec allows.
		largest := document(last+1, "")
		largest = append(largest, bytes.Repeat([]byte("0123456789abcde\n"), (4<<20-len(largest))/16)...)
		start := time.Now()
		write(coreapi.WriteRequest{AnyVersion: true, Raw: largest}, 200, last+1)
		t.Logf("write of %d bytes acknowledged after %s", len(largest), time.Since(start))
		f.within(2*time.Second, "every router has the largest document", f.everyRouterAt(last+1))
		write(coreapi.WriteRequest{AnyVersion: true, Raw: make([]byte, 4<<20+1)}, 413, 0)
		f.crashCore(f.primary())
		f.settle()
		var stored coreapi.StoredConfig
		if err := o.cli.Call(f.ctx, "core.layout", &coreapi.ConfigRequest{}, &stored, true); err != nil || !bytes.Equal(stored.Raw, largest) {
			t.Errorf("reading the largest document returned %d bytes: %v", len(stored.Raw), err)
		}
		r := f.routers[2]
		f.crashRouter(r)
		f.startRouter(r)
		f.within(3*time.Second, "a restarted router has the largest document", f.everyRouterAt(last+1))
		if accepted := got[r.name]; !bytes.Equal(accepted.latest, largest) || r.member.Config() != nil || r.member.Self().ConfigVersion != last+1 {
			t.Errorf("the restarted router has a document of %d bytes", len(accepted.latest))
		}

		// A document that the routers reject: the previous one stays in effect, and the next valid one is accepted.
		_, hash := r.member.ConfigVersionAndHash()
		write(coreapi.WriteRequest{AnyVersion: true, Raw: document(last+2, "strange")}, 200, last+2)
		time.Sleep(time.Second)
		if version, now := r.member.ConfigVersionAndHash(); version != last+1 || now != hash || r.member.NotReadyReason() != "" {
			t.Errorf("after a rejected document the router is at version %d, not ready because of %q", r.member.ConfigVersion(), r.member.NotReadyReason())
		}
		write(coreapi.WriteRequest{AnyVersion: true, Raw: document(last+3, "a 10")}, 200, last+3)
		f.within(2*time.Second, "every router accepts the next document", f.everyRouterAt(last+3))
	})
}

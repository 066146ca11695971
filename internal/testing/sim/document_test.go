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

// lineCodec is a codec of documents that number themselves: the first line is the sequence, then come the
// units of tenants, one a line. A line "bad" is a flaw.
type lineCodec struct{}

func (lineCodec) Check(raw []byte) (doc configuration.Document, flaws []coreapi.ConfigError) {
	doc.Quotas, doc.Windows = map[string]int{}, map[string]time.Duration{}
	for i, line := range strings.Split(string(raw), "\n") {
		var name string
		var units int
		if i == 0 {
			if _, err := fmt.Sscan(line, &doc.Version); err != nil {
				return doc, []coreapi.ConfigError{{Path: "0", Text: "a sequence is expected"}}
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

// acceptedConfigs is what one router's hub passed on, in order.
type acceptedConfigs struct {
	mu       sync.Mutex
	versions []uint64
	latest   []byte
}

func newDocumentFleet(t *testing.T, seed uint64, routers int) (*fleet, map[string]*acceptedConfigs) {
	got := map[string]*acceptedConfigs{}
	f := newFleetWith(t, seed, routers, func(f *fleet) {
		f.codec = lineCodec{}
		f.options = func(r *routerProc) []cluster.Option {
			mine := &acceptedConfigs{}
			got[r.name] = mine
			return []cluster.Option{cluster.WithConfigHandler(func(sequence uint64, raw []byte) error {
				mine.mu.Lock()
				defer mine.mu.Unlock()
				if n := len(mine.versions); n > 0 && mine.versions[n-1] >= sequence {
					t.Errorf("%s took %d after %d", r.name, sequence, mine.versions[n-1])
				}
				if bytes.Contains(raw, []byte("strange")) {
					return errors.New("not understood")
				}
				mine.versions, mine.latest = append(mine.versions, sequence), raw
				return nil
			})}
		}
	})
	f.within(5*time.Second, "founding", func() bool { return f.primary() != nil })
	return f, got
}

func (f *fleet) everyRouterAt(sequence uint64) func() bool {
	return func() bool {
		for _, r := range f.routers {
			if r.member.ConfigVersion() != sequence || r.member.NotReadyReason() != "" {
				return false
			}
		}
		return true
	}
}

// Documents that number themselves: later ones are taken, however far the step, others are not; the order of
// the checks; what is kept for reading back; and all of it through changes of the primary.
func TestDocumentsNumberThemselves(t *testing.T) {
	t.Parallel()
	overSeeds(t, func(t *testing.T, seed uint64) {
		f, got := newDocumentFleet(t, seed, 6)
		o := f.operator()
		write := func(in coreapi.WriteRequest, code int, sequence uint64) *coreapi.WriteResponse {
			t.Helper()
			var out coreapi.WriteResponse
			ctx, end := context.WithTimeout(f.ctx, 6*time.Second)
			defer end()
			if err := o.cli.Call(ctx, "core.write", &in, &out, true); err != nil {
				t.Fatalf("write: %v", err)
			}
			if out.Code != code || out.Version != sequence {
				t.Errorf("%.20q answered %d at %d, %d at %d expected", in.Raw, out.Code, out.Version, code, sequence)
			}
			return &out
		}
		whole := func(sequence uint64, more string) []byte { return fmt.Appendf(nil, "%d\n%s", sequence, more) }
		write(coreapi.WriteRequest{AnyVersion: true, ID: "first", Raw: whole(5, "a 10")}, 200, 5)
		write(coreapi.WriteRequest{AnyVersion: true, Raw: whole(1_000_000, "a 10")}, 200, 1_000_000)
		for _, sequence := range []uint64{999_999, 1_000_000} {
			out := write(coreapi.WriteRequest{AnyVersion: true, Raw: whole(sequence, "")}, 400, 1_000_000)
			if len(out.Errors) != 1 || out.Errors[0].Path != "sequence" || !strings.Contains(out.Errors[0].Text, "above 1000000") {
				t.Errorf("flaws %+v", out.Errors)
			}
		}
		// A known id goes before a lost race, that before a flaw.
		if out := write(coreapi.WriteRequest{ID: "first", BaseVersion: 7, Raw: whole(5, "a 10")}, 200, 5); !out.Repeated {
			t.Error("a known id was not seen")
		}
		write(coreapi.WriteRequest{ID: "first", BaseVersion: 7, Raw: whole(6, "a 10")}, 422, 5)
		write(coreapi.WriteRequest{BaseVersion: 7, Raw: whole(1, "bad")}, 412, 1_000_000)
		write(coreapi.WriteRequest{BaseVersion: 1_000_000, Raw: whole(2_000_000, "bad")}, 400, 1_000_000)
		write(coreapi.WriteRequest{BaseVersion: 1_000_000, Raw: whole(1_000_007, "a 10")}, 200, 1_000_007)
		f.within(2*time.Second, "every router is there", f.everyRouterAt(1_000_007))

		// The quota is the document's.
		// A draw gets a part of what is free; all draws together get the quota and no more.
		var moved coreapi.QuotaTransferResult
		for turn := range uint64(30) {
			if err := o.cli.Call(f.ctx, "core.move", &coreapi.QuotaTransfer{Tenant: "a", Holder: "h", Sequence: turn + 1, Units: 25}, &moved, true); err != nil {
				t.Fatal(err)
			}
		}
		if moved.HeldUnits != 10 {
			t.Errorf("%d of 10 units drawn", moved.HeldUnits)
		}

		// Large ones in quick succession, across the fall of a primary.
		big := strings.Repeat("some route or other\n", 7_500)
		last, sequences := uint64(1_000_007), []uint64{5, 1_000_000, 1_000_007}
		for i := range uint64(20) {
			last += 1 + i*i*31
			sequences = append(sequences, last)
			write(coreapi.WriteRequest{AnyVersion: true, ID: fmt.Sprint("big", i), Raw: whole(last, big)}, 200, last)
			if i == 9 {
				f.crashCore(f.primary())
			}
		}
		f.within(2*time.Second, "every router is at the last", f.everyRouterAt(last))
		f.settle()
		write(coreapi.WriteRequest{AnyVersion: true, ID: "big3", Raw: whole(sequences[6], big)}, 200, sequences[6])
		kept := 0
		for _, sequence := range sequences {
			err := o.cli.Call(f.ctx, "core.layout", &coreapi.ConfigRequest{Version: sequence}, &coreapi.StoredConfig{}, true)
			if err == nil {
				kept++
			} else if !wire.HasCode(err, coreapi.CodeNoSuchVersion) {
				t.Fatal(err)
			}
		}
		if kept != 3 {
			t.Errorf("%d large documents are kept, 3 expected", kept)
		}

		// The largest.
		huge := whole(last+1, "")
		huge = append(huge, bytes.Repeat([]byte("0123456789abcde\n"), (4<<20-len(huge))/16)...)
		begun := time.Now()
		write(coreapi.WriteRequest{AnyVersion: true, Raw: huge}, 200, last+1)
		t.Logf("%d bytes acknowledged after %s", len(huge), time.Since(begun))
		f.within(2*time.Second, "every router has the largest", f.everyRouterAt(last+1))
		write(coreapi.WriteRequest{AnyVersion: true, Raw: make([]byte, 4<<20+1)}, 413, 0)
		f.crashCore(f.primary())
		f.settle()
		var back coreapi.StoredConfig
		if err := o.cli.Call(f.ctx, "core.layout", &coreapi.ConfigRequest{}, &back, true); err != nil || !bytes.Equal(back.Raw, huge) {
			t.Errorf("the largest document came back with %d bytes: %v", len(back.Raw), err)
		}
		r := f.routers[2]
		f.crashRouter(r)
		f.startRouter(r)
		f.within(3*time.Second, "a new router has it", f.everyRouterAt(last+1))
		if mine := got[r.name]; !bytes.Equal(mine.latest, huge) || r.member.Config() != nil || r.member.Self().ConfigVersion != last+1 {
			t.Errorf("the new router has %d bytes", len(mine.latest))
		}

		// One that routers don't understand: the old one stays in force, the next is taken.
		_, hash := r.member.ConfigVersionAndHash()
		write(coreapi.WriteRequest{AnyVersion: true, Raw: whole(last+2, "strange")}, 200, last+2)
		time.Sleep(time.Second)
		if version, now := r.member.ConfigVersionAndHash(); version != last+1 || now != hash || r.member.NotReadyReason() != "" {
			t.Errorf("after a strange document the router is at %d, %q", r.member.ConfigVersion(), r.member.NotReadyReason())
		}
		write(coreapi.WriteRequest{AnyVersion: true, Raw: whole(last+3, "a 10")}, 200, last+3)
		f.within(2*time.Second, "every router takes the next", f.everyRouterAt(last+3))
	})
}

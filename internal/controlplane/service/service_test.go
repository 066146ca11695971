package service

import (
	"testing"
	"testing/synctest"
	"time"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/pipeline"
	"yarrowridge/internal/controlplane/transaction"
	"yarrowridge/internal/transport/wire"
)

// Once a new primary accepts writes, it serves the stored configuration and reports no routers of the previous primary.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, host := newService(t)
		request := &coreapi.WriteRequest{AnyVersion: true, Raw: []byte(`{}`)}
		var response coreapi.WriteResponse
		var written coreapi.StoredConfig
		host.acceptsWrites = true
		err := host.Submit(t.Context(), pipeline.ClassConfig, 1, func(tx *transaction.Tx) (err error) {
			written, err = s.documents.Write(tx, request, configuration.Hash(request.Raw), &response)
			return err
		})
		if err != nil || written.Version == 0 {
			t.Fatalf("got configuration %d, error %v, want a written configuration", written.Version, err)
		}
		host.acceptsWrites = false
		if _, err := s.readConfig(&coreapi.ConfigRequest{}); !wire.HasCode(err, coreapi.CodeNotReady) {
			t.Errorf("got error %v before the start, want %s", err, coreapi.CodeNotReady)
		}
		version, err := s.Start(1, time.Now(), func() { host.acceptsWrites = true })
		if err != nil || version != written.Version {
			t.Errorf("got configuration %d, error %v, want %d", version, err, written.Version)
		}
		if status := s.Status(); !status.AcceptsWrites || status.ConfigVersion != written.Version || len(status.Routers) != 0 {
			t.Errorf("got %+v after the start, want configuration %d and no routers", status, written.Version)
		}
	})
}

// A call of a kind that the service does not implement is rejected as unknown.
func TestUnknownKind(t *testing.T) {
	s, _ := newService(t)
	if _, err := s.Handle(t.Context(), "core.join", nil); !wire.HasCode(err, wire.CodeUnknownKind) {
		t.Errorf("got error %v, want %s", err, wire.CodeUnknownKind)
	}
}

package configuration

import (
	"net/http"
	"testing"

	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/transaction"
)

func TestWrite(t *testing.T) {
	const valid = `{"tenants":{"a":{"quota":{"units":7,"window_s":3}}}}`
	const other = `{"tenants":{"a":{"quota":{"units":8,"window_s":3}}}}`
	documents, committed := New(FleetCodec{}), openStore(t)
	for _, c := range []struct {
		name     string
		request  coreapi.WriteRequest
		code     int
		version  uint64 // in the response
		repeated bool
		written  uint64 // the new version; 0: nothing is written
	}{
		{"the first", coreapi.WriteRequest{ID: "w1", Raw: []byte(valid)}, http.StatusOK, 1, false, 1},
		{"the same again", coreapi.WriteRequest{ID: "w1", Raw: []byte(valid)}, http.StatusOK, 1, true, 0},
		{"its ID for another document", coreapi.WriteRequest{ID: "w1", Raw: []byte(other)}, http.StatusUnprocessableEntity, 1, true, 0},
		{"against an old version", coreapi.WriteRequest{ID: "w2", Raw: []byte(other)}, http.StatusPreconditionFailed, 1, false, 0},
		{"not a document", coreapi.WriteRequest{BaseVersion: 1, Raw: []byte("x")}, http.StatusBadRequest, 1, false, 0},
		{"a patch that can't be read", coreapi.WriteRequest{BaseVersion: 1, Patch: true, Raw: []byte("x")}, http.StatusBadRequest, 1, false, 0},
		{"a patch", coreapi.WriteRequest{BaseVersion: 1, Patch: true, Raw: []byte(`{"tenants":{"b":{}}}`)}, http.StatusOK, 2, false, 2},
		{"against any version", coreapi.WriteRequest{AnyVersion: true, Raw: []byte(other)}, http.StatusOK, 3, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			tx := transaction.New(committed)
			response := &coreapi.WriteResponse{Code: http.StatusOK}
			written, err := documents.Write(tx, &c.request, Hash(c.request.Raw), response)
			if err != nil {
				t.Fatal(err)
			}
			if response.Code != c.code || response.Version != c.version || response.Repeated != c.repeated || written.Version != c.written {
				t.Errorf("got %+v and version %d written, want code %d, version %d, repeated %t and version %d written",
					response, written.Version, c.code, c.version, c.repeated, c.written)
			}
			if config, ok := Written(tx); ok != (c.written > 0) || config.Version != c.written {
				t.Errorf("got version %d, %t written by the batch, want %d", config.Version, ok, c.written)
			}
			if c.written > 0 {
				if err := committed.Append(store.Batch{Version: committed.Version() + 1, Mutations: tx.LastMutations()}); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
	if config, err := Current(committed); err != nil || config.Version != 3 {
		t.Errorf("got current version %d, %v, want 3", config.Version, err)
	}
	if old, err := ReadVersion(committed, 1, 3); err != nil || string(old.Raw) != valid {
		t.Errorf("got %+v, %v for version 1, want the document as written", old, err)
	}
	if _, err := ReadVersion(committed, 4, 3); err == nil {
		t.Error("got no error for a version that was never written, want one")
	}
}

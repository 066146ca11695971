package compat

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/lib/daemon"
	"yarrowridge/internal/transport/wire"
)

// The data folder of an older core is read completely: identity, view, version, and the value of every key. A core that
// becomes primary again with this folder also returns the same quota shares, claims and sessions.
func TestOldDataFolderIsRead(t *testing.T) {
	expected, err := os.ReadFile("testdata/core-disk.txt")
	if err != nil {
		t.Fatal(err)
	}
	listing, err := listDisk(t, "testdata/core-disk")
	if err != nil {
		t.Fatal(err)
	}
	if listing != string(expected) {
		t.Errorf("contents of the data folder: got\n%s\nwant\n%s", listing, expected)
	}
}

// listDisk opens a copy of a hex-encoded data folder and lists its contents, one item per line.
func listDisk(t *testing.T, folder string) (string, error) {
	disk, err := store.OpenFolder(decodeFolder(t, folder))
	if err != nil {
		return "", err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	acceptor, err := paxos.Open(disk, time.Second, log)
	if err != nil {
		return "", err
	}
	contents, err := store.Open(disk, log)
	if err != nil {
		return "", err
	}
	lines := []string{fmt.Sprintf("identity %s", acceptor.ID()), fmt.Sprintf("version %d", contents.Version())}
	contents.ForEachWithPrefix("", func(key string, value []byte) { lines = append(lines, fmt.Sprintf("key %q %x", key, value)) })
	slices.Sort(lines)
	return strings.Join(append(lines, listPrimary(t, disk, log)...), "\n") + "\n", nil
}

// decodeFolder decodes a hex-encoded folder into a new temporary folder and returns its path.
func decodeFolder(t *testing.T, folder string) string {
	t.Helper()
	decoded := t.TempDir()
	for name, data := range readHexFolder(t, folder, "") {
		if err := os.WriteFile(filepath.Join(decoded, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return decoded
}

// listPrimary runs a core on the disk until it is the ready primary, and lists its state in JSON and its encoded responses
// to calls.
func listPrimary(t *testing.T, disk store.Disk, log *slog.Logger) []string {
	t.Helper()
	ctx := daemon.Context{Context: t.Context(), Name: "core-1", Zone: "east", Log: log, Net: wire.TCP{}}
	server, err := core.Open(ctx, core.Settings{AllowNoBackup: true}, disk)
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{toJSON(t, "view", server.View())}
	settings := core.Settings{AllowNoBackup: true, Addr: server.View().Addr(server.View().Primary)}
	if server, err = core.Open(ctx, settings, disk); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Run()
	}()
	t.Cleanup(func() { <-stopped }) // the folder is removed after this cleanup
	for deadline := time.Now().Add(20 * time.Second); !server.State().Ready; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the core is not ready after 20 s")
		}
	}
	state := server.State()
	lines = append(lines, toJSON(t, "shares", state.Shares), fmt.Sprintf("claims %d", state.Claims))
	for _, c := range []struct {
		kind     string
		request  message
		response message
	}{
		{"core.layout", &coreapi.ConfigRequest{}, &coreapi.StoredConfig{}},
		{"core.layout", &coreapi.ConfigRequest{Version: 2}, &coreapi.StoredConfig{}},
		{"core.sessions", &coreapi.ConfigRequest{}, &coreapi.SessionDirectory{}},
		{"core.write", &coreapi.WriteRequest{ID: "write-1", AnyVersion: true, Raw: []byte("{}")}, &coreapi.WriteResponse{}},
		{"core.take", &coreapi.ClaimRequest{Key: "alpha/key-0", Claim: coreapi.Claim{RequestHash: "hash-0", Claimant: "attempt-2"}}, &coreapi.ClaimResponse{}},
		{"core.take", &coreapi.ClaimRequest{Key: "alpha/key-0", Claim: coreapi.Claim{RequestHash: "other", Claimant: "attempt-2"}}, &coreapi.ClaimResponse{}},
	} {
		lines = append(lines, call(t, server, c.kind, c.request, c.response))
	}
	return lines
}

// call passes a request to a core and returns the kind of call with the encoded response in hex, or with the error.
func call(t *testing.T, server *core.Server, kind string, request, response message) string {
	t.Helper()
	body, err := request.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	result, err := server.Handle(t.Context(), kind, body)
	if err != nil {
		return fmt.Sprintf("%s: %v", kind, err)
	}
	encoded, err := result.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.UnmarshalMsg(encoded); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s %x", kind, encoded)
}

// toJSON returns a name and the JSON encoding of a value, separated by a space.
func toJSON(t *testing.T, name string, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return name + " " + string(text)
}

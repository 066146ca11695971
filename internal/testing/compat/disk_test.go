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

// A data folder that an older core left is read whole: identity, view, version, and every key with its bytes. What a
// core that leads again tells of its quotas, claims and sessions is the same as well.
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
		t.Errorf("read from the folder:\n%s\nexpected:\n%s", listing, expected)
	}
}

// listDisk opens a copy of a folder kept in hex and lists what it holds, one item a line.
func listDisk(t *testing.T, folder string) (string, error) {
	disk, err := store.OpenFolder(copyFolder(t, folder))
	if err != nil {
		return "", err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	voter, err := paxos.Open(disk, time.Second, log)
	if err != nil {
		return "", err
	}
	opened, err := store.Open(disk, log)
	if err != nil {
		return "", err
	}
	lines := []string{fmt.Sprintf("identity %s", voter.ID()), fmt.Sprintf("version %d", opened.Version())}
	opened.ForEachWithPrefix("", func(key string, value []byte) { lines = append(lines, fmt.Sprintf("key %q %x", key, value)) })
	slices.Sort(lines)
	return strings.Join(append(lines, leadAgain(t, disk, log)...), "\n") + "\n", nil
}

// copyFolder decodes a folder kept in hex into a folder of its own.
func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	copied := t.TempDir()
	for name, data := range readHexFolder(t, folder, "") {
		if err := os.WriteFile(filepath.Join(copied, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return copied
}

// leadAgain runs a core on the disk until it is ready, and lists in JSON what it then tells.
func leadAgain(t *testing.T, disk store.Disk, log *slog.Logger) []string {
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Run()
	}()
	t.Cleanup(func() { <-ended }) // before the folder is removed
	for end := time.Now().Add(20 * time.Second); !server.State().Ready; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the core is not ready after 20 s")
		}
	}
	state := server.State()
	lines = append(lines, toJSON(t, "shares", state.Shares), fmt.Sprintf("claims %d", state.Claims))
	for _, call := range []struct {
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
		lines = append(lines, ask(t, server, call.kind, call.request, call.response))
	}
	return lines
}

// ask has a core answer a call and gives the answer in JSON, or the error.
func ask(t *testing.T, server *core.Server, kind string, request, response message) string {
	t.Helper()
	body, err := request.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := server.Handle(t.Context(), kind, body)
	if err != nil {
		return fmt.Sprintf("%s: %v", kind, err)
	}
	encoded, err := answer.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.UnmarshalMsg(encoded); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s %x", kind, encoded)
}

// toJSON encodes a value after its name.
func toJSON(t *testing.T, name string, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return name + " " + string(text)
}

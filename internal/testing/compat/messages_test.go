// Package compat tests that encodings on the wire and on disk, and names that scripts and operators use, do not change.
package compat

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"yarrowridge/internal/controlplane/configuration"
	"yarrowridge/internal/controlplane/core"
	"yarrowridge/internal/controlplane/coreapi"
	"yarrowridge/internal/controlplane/paxos"
	"yarrowridge/internal/controlplane/replication"
	"yarrowridge/internal/controlplane/store"
	"yarrowridge/internal/controlplane/view"
	"yarrowridge/internal/dataplane/cluster"
	"yarrowridge/internal/dataplane/runner"
	"yarrowridge/internal/dataplane/session"
	"yarrowridge/internal/dataplane/streamstore"
	"yarrowridge/internal/model/quota"
	"yarrowridge/internal/model/routing"
	"yarrowridge/internal/transport/dissemination"
	"yarrowridge/internal/transport/wire"
)

// message is a type that is sent between processes or stored on disk.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// messages maps the name of each file in testdata/messages to the type it encodes. The names are historical: they stay
// when a type is renamed or moved.
var messages = map[string]message{
	"core.Claim":              new(coreapi.Claim),
	"core.ClaimRequest":       new(coreapi.ClaimRequest),
	"core.ClaimResponse":      new(coreapi.ClaimResponse),
	"core.HeartbeatRequest":   new(coreapi.HeartbeatRequest),
	"core.HeartbeatResponse":  new(coreapi.HeartbeatResponse),
	"core.JoinRequest":        new(core.JoinRequest),
	"core.Node":               new(coreapi.Node),
	"core.QuotaMove":          new(coreapi.QuotaTransfer),
	"core.QuotaMovesRequest":  new(coreapi.QuotaTransfersRequest),
	"core.QuotaMovesResponse": new(coreapi.QuotaTransfersResponse),
	"core.QuotaShare":         new(coreapi.QuotaShare),
	"core.ReplicateRequest":   new(replication.ReplicateRequest),
	"core.RunnerHeartbeat":    new(coreapi.RunnerHeartbeat),
	"core.RunnerTally":        new(coreapi.RunnerStats),
	"core.SessionDirectory":   new(coreapi.SessionDirectory),
	"core.SettleRequest":      new(coreapi.CompleteClaimRequest),
	"core.SnapshotRequest":    new(replication.SnapshotRequest),
	"core.State":              new(coreapi.State),
	"core.StoredConfig":       new(coreapi.StoredConfig),
	"core.WriteHistory":       new(configuration.History),
	"core.WriteRequest":       new(coreapi.WriteRequest),
	"core.WriteResponse":      new(coreapi.WriteResponse),
	"core.ConfigError":        new(coreapi.ConfigError),
	"core.ConfigRequest":      new(coreapi.ConfigRequest),
	"core.Empty":              new(coreapi.Empty),
	"core.FailingRunner":      new(coreapi.FailingRunner),
	"core.QuotaMoveResult":    new(coreapi.QuotaTransferResult),
	"core.ReplicateResponse":  new(replication.ReplicateResponse),
	"core.StateRequest":       new(coreapi.StateRequest),
	"core.WriteRecord":        new(configuration.WriteResult),
	"node.NodeList":           new(cluster.NodeList),
	"node.StreamCopy":         new(streamstore.ReplicateRequest),
	"node.StreamReadRequest":  new(streamstore.ReadRequest),
	"node.StreamReadResponse": new(streamstore.ReadResponse),
	"node.StreamRequest":      new(streamstore.SavedRequest),
	"node.Work":               new(runner.Work),
	"node.Load":               new(runner.Load),
	"node.NodeListRequest":    new(cluster.NodeListRequest),
	"relay.Difference":        new(dissemination.Difference),
	"relay.Digests":           new(dissemination.Digests),
	"relay.News":              new(dissemination.Update),
	"relay.Record":            new(dissemination.Record),
	"relay.Repair":            new(dissemination.Repair),
	"relay.RecordVersion":     new(dissemination.RecordVersion),
	"routing.Runner":          new(routing.Runner),
	"routing.RunnerModel":     new(routing.RunnerModel),
	"routing.RunnerState":     new(routing.RunnerState),
	"runner.Report":           new(runner.Report),
	"session.Batch":           new(session.Batch),
	"session.PackedEntry":     new(session.PackedEntry),
	"session.Fetch":           new(session.FetchRequest),
	"share.Charge":            new(quota.Charge),
	"share.Hold":              new(quota.Allocation),
	"store.Batch":             new(store.Batch),
	"store.Put":               new(store.Mutation),
	"view.AcceptRequest":      new(paxos.AcceptRequest),
	"view.BallotResponse":     new(paxos.AcceptorResponse),
	"view.LearnRequest":       new(view.LearnRequest),
	"view.PrepareRequest":     new(paxos.PrepareRequest),
	"view.RenewRequest":       new(paxos.RenewRequest),
	"view.RenewResponse":      new(paxos.RenewResponse),
	"view.StatusResponse":     new(view.StatusResponse),
	"view.View":               new(view.View),
	"view.VoterState":         new(paxos.AcceptorState),
	"view.Ballot":             new(paxos.ProposalNumber),
	"view.Member":             new(view.Member),
	"view.ReleaseRequest":     new(paxos.ReleaseRequest),
	"view.StatusRequest":      new(view.StatusRequest),
	"wire.Frame":              new(wire.Frame),
}

// Every message that an older process encoded is decoded completely, and encoded to the same bytes again.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	files := readHexFolder(t, "testdata/messages", ".msgp")
	for label := range files {
		if messages[label] == nil {
			t.Errorf("%s: testdata/messages has this file, but messages has no type for it", label)
		}
	}
	for label, value := range messages {
		recorded, ok := files[label]
		if !ok {
			t.Errorf("%s: testdata/messages has no file for this type", label)
			continue
		}
		rest, err := value.UnmarshalMsg(recorded)
		if err != nil || len(rest) > 0 {
			t.Errorf("%s: decoding left %d bytes, error %v", label, len(rest), err)
			continue
		}
		if encoded, err := value.MarshalMsg(nil); err != nil || !bytes.Equal(encoded, recorded) {
			t.Errorf("%s: encoding: got\n%q, error %v; want\n%q", label, encoded, err, recorded)
		}
	}
}

// readHexFolder decodes the files of a folder whose names end in suffix+".hex" and returns their contents by the rest of the
// name. The files are hex-encoded because the repository contains no binary files.
func readHexFolder(t *testing.T, folder, suffix string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*"+suffix+".hex"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: got %d files, want at least 1, error %v", folder, len(paths), err)
	}
	decoded := map[string][]byte{}
	for _, path := range paths {
		decoded[strings.TrimSuffix(filepath.Base(path), suffix+".hex")] = readHex(t, path)
	}
	return decoded
}

// readHex decodes a file of hex digits; white space between them is ignored.
func readHex(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return data
}

// Package compat holds the tests that what stands on the wire, on disk and in others' scripts stays as it is.
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

// message is an encoded type that travels between processes or lies on disk.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// messages names the type of each file in testdata/messages. The labels are historical: they stay when a type is renamed
// or moved.
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

// Every message that older processes wrote is read whole, and written the same.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	files := readHexFolder(t, "testdata/messages", ".msgp")
	for label := range files {
		if messages[label] == nil {
			t.Errorf("%s: no type reads this file", label)
		}
	}
	for label, value := range messages {
		old, ok := files[label]
		if !ok {
			t.Errorf("%s: no file", label)
			continue
		}
		rest, err := value.UnmarshalMsg(old)
		if err != nil || len(rest) > 0 {
			t.Errorf("%s: %d bytes left unread, error %v", label, len(rest), err)
			continue
		}
		if encoded, err := value.MarshalMsg(nil); err != nil || !bytes.Equal(encoded, old) {
			t.Errorf("%s: encoded as\n%q, error %v; expected\n%q", label, encoded, err, old)
		}
	}
}

// readHexFolder decodes the files of a folder that end in suffix+".hex", by their names without that end. The files are
// kept in hex since the repository takes no binary files.
func readHexFolder(t *testing.T, folder, suffix string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*"+suffix+".hex"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %d files, error %v", folder, len(paths), err)
	}
	decoded := map[string][]byte{}
	for _, path := range paths {
		decoded[strings.TrimSuffix(filepath.Base(path), suffix+".hex")] = readHex(t, path)
	}
	return decoded
}

// readHex decodes a file of hex digits in lines.
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

package logging

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestLines(t *testing.T) {
	tests := []struct {
		name string
		log  func(log *slog.Logger)
		want string // without the timestamp
	}{
		{"message", func(log *slog.Logger) { log.Info("Started.") }, "INFO main: Started.\n"},
		{"level", func(log *slog.Logger) { log.Error("Failed.") }, "ERROR main: Failed.\n"},
		{"level below the minimum", func(log *slog.Logger) { log.Debug("Detail.") }, ""},
		{"attributes", func(log *slog.Logger) { log.Warn("Slow.", "peer", "10.0.0.1:1", "epoch", 7, "after", 2*time.Second) },
			"WARN main: Slow. peer=10.0.0.1:1 epoch=7 after=2s\n"},
		{"value with spaces", func(log *slog.Logger) { log.Info("E.", "error", errors.New("not found")) }, "INFO main: E. error=\"not found\"\n"},
		{"value with quotes and lines", func(log *slog.Logger) { log.Info("E.", "error", "a \"b\"\nc") }, "INFO main: E. error=\"a 'b' | c\"\n"},
		{"empty value", func(log *slog.Logger) { log.Info("E.", "key", "") }, "INFO main: E. key=\n"},
		{"component", func(log *slog.Logger) { log.With("part", "core").Info("M.") }, "INFO core: M.\n"},
		{"component of a component", func(log *slog.Logger) { log.With("part", "core").With("part", "paxos").Info("M.") }, "INFO paxos: M.\n"},
		{"attributes of the logger first", func(log *slog.Logger) { log.With("a", 1).With("b", 2).Info("M.", "c", 3) }, "INFO main: M. a=1 b=2 c=3\n"},
		{"group", func(log *slog.Logger) { log.WithGroup("g").Info("M.", "a", 1) }, "INFO main: M. a=1\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			test.log(New(&out, slog.LevelInfo))
			got := out.String()
			if test.want != "" {
				var timestamp string
				timestamp, got, _ = strings.Cut(got, " ")
				if !regexp.MustCompile(`^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$`).MatchString(timestamp) {
					t.Errorf("timestamp: got %q, want UTC with milliseconds", timestamp)
				}
			}
			if got != test.want {
				t.Errorf("line: got %q, want %q", got, test.want)
			}
		})
	}
}

// Deriving a logger does not change the original logger.
func TestWithLeavesLoggerAsItIs(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo)
	log.With("part", "core", "a", 1)
	log.Info("M.")
	if got := out.String(); !strings.HasSuffix(got, " INFO main: M.\n") {
		t.Errorf("line: got %q, want component main and no attribute", got)
	}
}

func TestLevelMayChange(t *testing.T) {
	level := &slog.LevelVar{}
	log := New(&bytes.Buffer{}, level).With("part", "core")
	for _, minimum := range []slog.Level{slog.LevelInfo, slog.LevelDebug, slog.LevelError} {
		level.Set(minimum)
		for _, recordLevel := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
			if got, want := log.Enabled(context.Background(), recordLevel), recordLevel >= minimum; got != want {
				t.Errorf("Enabled(%s) at minimum level %s: got %v, want %v", recordLevel, minimum, got, want)
			}
		}
	}
}

// Loggers derived from one logger serialize their writes. The buffer has no lock, so the race detector reports concurrent
// writes.
func TestLinesAreWrittenOneAtATime(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo)
	const writers, lines = 8, 50
	var writersDone sync.WaitGroup
	for i := range writers {
		component := log.With("part", "component", "writer", i)
		writersDone.Go(func() {
			for range lines {
				component.Info("M.")
			}
		})
	}
	writersDone.Wait()
	got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(got) != writers*lines {
		t.Fatalf("lines: got %d, want %d", len(got), writers*lines)
	}
	for _, line := range got {
		if !strings.Contains(line, " INFO component: M. writer=") {
			t.Errorf("line: got %q, want a complete line", line)
		}
	}
}

// failingWriter fails each write with err.
type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }

func TestHandleReturnsWriteError(t *testing.T) {
	writeErr := errors.New("disk is full")
	handler := New(failingWriter{writeErr}, slog.LevelInfo).Handler()
	if err := handler.Handle(context.Background(), slog.NewRecord(time.Now(), slog.LevelInfo, "M.", 0)); !errors.Is(err, writeErr) {
		t.Errorf("Handle: got %v, want %v", err, writeErr)
	}
}

package env

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// line writes short log lines: time, level, a prefix for the part, the sentence, then pairs.
type line struct {
	mu   *sync.Mutex
	out  io.Writer
	low  slog.Leveler
	part string
	rest string
}

// NewLog makes the logger of a process. Every part's lines start with the part's name.
//
//	log := env.NewLog(os.Stderr, slog.LevelInfo)
func NewLog(out io.Writer, low slog.Leveler) *slog.Logger {
	return slog.New(&line{mu: &sync.Mutex{}, out: out, low: low, part: "main"})
}

func (l *line) Enabled(_ context.Context, lev slog.Level) bool { return lev >= l.low.Level() }

func (l *line) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString(r.Time.UTC().Format("2006-01-02T15:04:05.000Z "))
	b.WriteString(r.Level.String())
	b.WriteString(" " + l.part + ": " + r.Message + l.rest)
	r.Attrs(func(a slog.Attr) bool {
		b.WriteString(pair(a))
		return true
	})
	b.WriteByte('\n')
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := io.WriteString(l.out, b.String())
	return err
}

func pair(a slog.Attr) string {
	v := a.Value.String()
	if strings.ContainsAny(v, " \n\"") {
		v = strings.ReplaceAll(v, "\n", " | ")
		v = "\"" + strings.ReplaceAll(v, "\"", "'") + "\""
	}
	return " " + a.Key + "=" + v
}

func (l *line) WithAttrs(all []slog.Attr) slog.Handler {
	c := *l
	for _, a := range all {
		if a.Key == "part" {
			c.part = a.Value.String()
		} else {
			c.rest += pair(a)
		}
	}
	return &c
}

func (l *line) WithGroup(string) slog.Handler { return l }

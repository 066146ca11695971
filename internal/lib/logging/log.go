// Package logging writes the programs' log: log/slog records as short lines for people.
package logging

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// lineHandler writes short log lines: time, level, a prefix for the part, the sentence, then pairs.
type lineHandler struct {
	mu   *sync.Mutex
	out  io.Writer
	low  slog.Leveler
	part string
	rest string
}

// New makes the logger of a process. Every part's lines start with the part's name.
func New(out io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(&lineHandler{mu: &sync.Mutex{}, out: out, low: level, part: "main"})
}

func (l *lineHandler) Enabled(_ context.Context, lev slog.Level) bool { return lev >= l.low.Level() }

func (l *lineHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	b.WriteString(r.Time.UTC().Format("2006-01-02T15:04:05.000Z "))
	b.WriteString(r.Level.String())
	b.WriteString(" " + l.part + ": " + r.Message + l.rest)
	r.Attrs(func(a slog.Attr) bool {
		b.WriteString(formatAttr(a))
		return true
	})
	b.WriteByte('\n')
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := io.WriteString(l.out, b.String())
	return err
}

func formatAttr(a slog.Attr) string {
	value := a.Value.String()
	if strings.ContainsAny(value, " \n\"") {
		value = strings.ReplaceAll(value, "\n", " | ")
		value = "\"" + strings.ReplaceAll(value, "\"", "'") + "\""
	}
	return " " + a.Key + "=" + value
}

func (l *lineHandler) WithAttrs(all []slog.Attr) slog.Handler {
	c := *l
	for _, a := range all {
		if a.Key == "part" {
			c.part = a.Value.String()
		} else {
			c.rest += formatAttr(a)
		}
	}
	return &c
}

func (l *lineHandler) WithGroup(string) slog.Handler { return l }

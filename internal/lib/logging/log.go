// Package logging formats log/slog records as short, readable lines:
//
//	2026-01-02T03:04:05.678Z WARN core: Backup did not hold a write. backup=10.0.0.2:7360
package logging

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// componentKey is the attribute that With takes as the component of the lines; it is not written as key=value.
const componentKey = "part"

// lineHandler is a slog.Handler that writes lines: time, level, component, message, then the attributes as key=value.
type lineHandler struct {
	mu         *sync.Mutex // serializes writes to out; shared by all handlers derived from one New
	out        io.Writer
	level      slog.Leveler // minimum level
	component  string
	attributes string // attributes of the logger, already formatted
}

// New returns the logger of a process. Its component is "main"; With("part", NAME) derives a logger of another component.
// Each record is a single Write to out, and the writes are serialized. The level may change at any time.
func New(out io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(&lineHandler{mu: &sync.Mutex{}, out: out, level: level, component: "main"})
}

// Enabled reports whether records of this level are written.
func (h *lineHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.level.Level()
}

// Handle writes a record as one line.
func (h *lineHandler) Handle(_ context.Context, record slog.Record) error {
	var line strings.Builder
	line.WriteString(record.Time.UTC().Format("2006-01-02T15:04:05.000Z "))
	line.WriteString(record.Level.String())
	line.WriteString(" " + h.component + ": " + record.Message + h.attributes)
	record.Attrs(func(attribute slog.Attr) bool {
		line.WriteString(formatAttribute(attribute))
		return true
	})
	line.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.out, line.String())
	return err
}

// formatAttribute formats an attribute as " key=value". A value with spaces, newlines or double quotes is quoted; newlines
// within it become " | ", and double quotes become single quotes.
func formatAttribute(attribute slog.Attr) string {
	value := attribute.Value.String()
	if strings.ContainsAny(value, " \n\"") {
		value = strings.ReplaceAll(value, "\n", " | ")
		value = "\"" + strings.ReplaceAll(value, "\"", "'") + "\""
	}
	return " " + attribute.Key + "=" + value
}

// WithAttrs returns a handler that adds these attributes to its lines. The attribute componentKey replaces the component.
func (h *lineHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	derived := *h
	for _, attribute := range attributes {
		if attribute.Key == componentKey {
			derived.component = attribute.Value.String()
		} else {
			derived.attributes += formatAttribute(attribute)
		}
	}
	return &derived
}

// WithGroup returns the handler unchanged: keys are written without their group.
func (h *lineHandler) WithGroup(string) slog.Handler { return h }

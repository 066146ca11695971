// Package trail exports each query's way as a trace, in OpenTelemetry's JSON form, to a file. It is
// off unless set, and nothing of it is sent to runners.
package trail

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"yarrowridge/internal/query"
)

// Trail writes traces; a nil one writes none.
type Trail struct {
	file *os.File
	prov *sdk.TracerProvider
	t    trace.Tracer
}

// Open begins a trail that appends to a file; "" gives nil, which traces nothing.
//
//	tr, err := trail.Open("/var/log/yarrowridge/traces.json", "north1")
func Open(path, name string) (*Trail, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "trail: open")
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, eris.Wrap(err, "trail: exporter")
	}
	prov := sdk.NewTracerProvider(sdk.WithBatcher(exp), sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "yarrowridge-router"), attribute.String("service.instance.id", name))))
	return &Trail{f, prov, prov.Tracer("yarrowridge")}, nil
}

// Add writes a query that has come to its end: one span, an event for each state. Neither key,
// prompt nor answer is in it.
//
//	tr.Add(q, "done")
func (t *Trail) Add(q *query.Query, code string) {
	if t == nil {
		return
	}
	r, begun := q.Record(code), q.Begun()
	_, span := t.t.Start(context.Background(), "query", trace.WithTimestamp(begun), trace.WithNewRoot(), trace.WithAttributes(
		attribute.String("yarrowridge.query", r.Id), attribute.String("yarrowridge.tenant", r.Tenant),
		attribute.String("yarrowridge.lane", r.Lane), attribute.String("yarrowridge.code", r.Code)))
	end := begun
	for _, s := range r.Steps {
		end = begun.Add(s.After)
		span.AddEvent(string(s.State), trace.WithTimestamp(end), trace.WithAttributes(attribute.String("note", s.Note)))
	}
	span.End(trace.WithTimestamp(end))
}

// Close writes out what is left.
//
//	tr.Close()
func (t *Trail) Close() {
	if t == nil {
		return
	}
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	t.prov.Shutdown(ctx)
	t.file.Close()
}

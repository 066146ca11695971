// Package tracing exports each request as a trace, in OpenTelemetry's JSON form, to a file. It is
// off unless set, and nothing of it is sent to runners.
package tracing

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

	"yarrowridge/internal/dataplane/request"
)

// Tracer writes traces; a nil one writes none.
type Tracer struct {
	file     *os.File
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// Open begins a tracer that appends to a file; "" gives nil, which traces nothing.
func Open(path, name string) (*Tracer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "trail: open")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, eris.Wrap(err, "trail: exporter")
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "yarrowridge-router"), attribute.String("service.instance.id", name))))
	return &Tracer{file, provider, provider.Tracer("yarrowridge")}, nil
}

// Export writes a request that has come to its end: one span, an event for each state. Neither key,
// prompt nor response is in it.
func (t *Tracer) Export(request *request.Request, code string) {
	if t == nil {
		return
	}
	record, started := request.Record(code), request.Started()
	_, span := t.tracer.Start(context.Background(), "query", trace.WithTimestamp(started), trace.WithNewRoot(), trace.WithAttributes(
		attribute.String("yarrowridge.query", record.ID), attribute.String("yarrowridge.tenant", record.Tenant),
		attribute.String("yarrowridge.lane", record.Lane), attribute.String("yarrowridge.code", record.Code)))
	end := started
	for _, step := range record.Steps {
		end = started.Add(step.After)
		span.AddEvent(string(step.State), trace.WithTimestamp(end), trace.WithAttributes(attribute.String("note", step.Note)))
	}
	span.End(trace.WithTimestamp(end))
}

// Close writes out what is left.
func (t *Tracer) Close() {
	if t == nil {
		return
	}
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	_ = t.provider.Shutdown(ctx) // traces are lost at the end rather than the end held up by them
	_ = t.file.Close()
}

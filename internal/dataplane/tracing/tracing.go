// Package tracing appends a trace of each request of a router to a file, in the JSON format of OpenTelemetry's stdouttrace
// exporter. It is off by default. No trace context is sent to runners.
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

const (
	serviceName  = "yarrowridge-router"
	closeTimeout = time.Second // for writing the remaining traces
)

// Tracer exports traces. A nil Tracer exports none. Export may be called concurrently, but not after Close.
type Tracer struct {
	file     *os.File
	provider *sdk.TracerProvider
	tracer   trace.Tracer
}

// Open returns a tracer for the router named instance that appends to the file at path. If path is empty, it returns a nil
// Tracer.
func Open(path, instance string) (*Tracer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "tracing: open")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		_ = file.Close() // nothing was written to it
		return nil, eris.Wrap(err, "tracing: create exporter")
	}
	service := resource.NewSchemaless(attribute.String("service.name", serviceName), attribute.String("service.instance.id", instance))
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithResource(service))
	return &Tracer{file, provider, provider.Tracer("yarrowridge")}, nil
}

// Export exports an ended request and its code as one span, with an event for each state of the request. The span contains
// neither the API key nor the prompt nor the response. Export does not wait until the span is written.
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

// Close writes the remaining traces, for at most closeTimeout, and closes the file. It returns no error: traces that cannot be
// written are dropped, so that they do not delay the shutdown.
func (t *Tracer) Close() {
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = t.provider.Shutdown(ctx)
	_ = t.file.Close()
}

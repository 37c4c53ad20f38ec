// Package telemetry sets up logs and traces from the settings, and bounds the volume of
// the log so that a slow reader of it never blocks a request. Traces changes global state
// and is called once, at start; loggers and a LineWriter are safe for concurrent use.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// timeFormat has milliseconds, so that lines of several VMs can be ordered within a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger returns a logger that writes to w and adds the name of the VM to each line.
func Logger(w io.Writer, s *settings.Log, vm string) (*log.Logger, error) {
	level, err := log.ParseLevel(string(s.Level))
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	formatter := log.TextFormatter
	switch s.Format {
	case settings.LogFormatJson:
		formatter = log.JSONFormatter
	case settings.LogFormatLogfmt:
		formatter = log.LogfmtFormatter
	}
	l := log.NewWithOptions(w, log.Options{Level: level, Formatter: formatter, ReportTimestamp: true, TimeFormat: timeFormat})
	return l.With("vm", vm), nil
}

// Traces installs the global tracer provider and propagator. The returned function
// exports the spans that are still buffered and shuts the exporter down.
func Traces(s *settings.Trace, vm, zone string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.Sample))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "sardinespindle"),
			attribute.String("service.instance.id", vm),
			attribute.String("cloud.availability_zone", zone),
		)),
	}
	exporter, err := newExporter(s)
	if err != nil {
		return nil, fmt.Errorf("trace exporter %s: %w", s.Exporter, err)
	}
	if exporter != nil {
		options = append(options, trace.WithBatcher(exporter))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns nil for exporter "none".
func newExporter(s *settings.Trace) (trace.SpanExporter, error) {
	switch s.Exporter {
	case settings.TraceExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case settings.TraceExporterOtlp:
		return newOTLPExporter(s.Endpoint), nil
	default:
		return nil, nil
	}
}

package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sardinespindle/sardinespindle/internal/pause"
)

const (
	otlpPath = "/v1/traces"
	// otlpTimeout bounds one call of the collector.
	otlpTimeout = 10 * time.Second
	// otlpAttempts and otlpRetryPause bound the calls for one batch while the collector is overloaded.
	otlpAttempts   = 4
	otlpRetryPause = 2 * time.Second
	// maxOTLPReply is how much of a reply is read so that its connection is used again.
	maxOTLPReply = 64 << 10
)

// errCollector is returned if a collector does not accept spans.
var errCollector = errors.New("the collector refused the spans")

// otlpExporter sends spans to a collector as OTLP/HTTP in its JSON encoding. The exporter of the
// OpenTelemetry project sends protobuf messages, whose packages are a tenth of a daemon's program and
// are initialized in each process, whether it exports or not.
type otlpExporter struct {
	url    string
	client *http.Client
}

func newOTLPExporter(endpoint string) *otlpExporter {
	return &otlpExporter{
		url: "http://" + endpoint + otlpPath,
		client: &http.Client{
			Timeout: otlpTimeout, Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute, DisableCompression: true},
		},
	}
}

// ExportSpans implements trace.SpanExporter. A batch that an overloaded collector refuses is sent
// again a few times.
func (e *otlpExporter) ExportSpans(ctx context.Context, spans []trace.ReadOnlySpan) error {
	if len(spans) == 0 {
		return nil
	}
	body, err := json.Marshal(otlpRequest{ResourceSpans: groupSpans(spans)})
	if err != nil {
		return fmt.Errorf("encode %d spans: %w", len(spans), err)
	}
	for attempt := 1; ; attempt++ {
		status, err := e.post(ctx, body)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && !mayRetry(status) || attempt == otlpAttempts || !pause.Sleep(ctx, pause.Jitter(otlpRetryPause)):
			return errors.Join(fmt.Errorf("export %d spans: %w, status %d", len(spans), errCollector, status), err)
		}
	}
}

// mayRetry reports whether OTLP allows to send a batch again after a status.
func mayRetry(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (e *otlpExporter) post(ctx context.Context, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxOTLPReply) // the status alone decides
	return resp.StatusCode, nil
}

// Shutdown implements trace.SpanExporter.
func (e *otlpExporter) Shutdown(context.Context) error {
	e.client.CloseIdleConnections()
	return nil
}

// The messages below are those of OTLP, in its JSON encoding: ids in hexadecimal, integers of 64
// bits as strings.
type (
	otlpRequest struct {
		ResourceSpans []otlpResourceSpans `json:"resourceSpans"`
	}
	otlpResourceSpans struct {
		Resource   otlpResource     `json:"resource"`
		ScopeSpans []otlpScopeSpans `json:"scopeSpans"`
	}
	otlpResource struct {
		Attributes []otlpAttribute `json:"attributes,omitempty"`
	}
	otlpScopeSpans struct {
		Scope otlpScope  `json:"scope"`
		Spans []otlpSpan `json:"spans"`
	}
	otlpScope struct {
		Name    string `json:"name"`
		Version string `json:"version,omitempty"`
	}
	otlpSpan struct {
		TraceID           string          `json:"traceId"`
		SpanID            string          `json:"spanId"`
		ParentSpanID      string          `json:"parentSpanId,omitempty"`
		TraceState        string          `json:"traceState,omitempty"`
		Flags             uint32          `json:"flags"`
		Name              string          `json:"name"`
		Kind              int             `json:"kind"`
		StartTimeUnixNano string          `json:"startTimeUnixNano"`
		EndTimeUnixNano   string          `json:"endTimeUnixNano"`
		Attributes        []otlpAttribute `json:"attributes,omitempty"`
		DroppedAttributes int             `json:"droppedAttributesCount,omitempty"`
		Events            []otlpEvent     `json:"events,omitempty"`
		DroppedEvents     int             `json:"droppedEventsCount,omitempty"`
		Links             []otlpLink      `json:"links,omitempty"`
		DroppedLinks      int             `json:"droppedLinksCount,omitempty"`
		Status            otlpStatus      `json:"status"`
	}
	otlpEvent struct {
		TimeUnixNano string          `json:"timeUnixNano"`
		Name         string          `json:"name"`
		Attributes   []otlpAttribute `json:"attributes,omitempty"`
	}
	otlpLink struct {
		TraceID    string          `json:"traceId"`
		SpanID     string          `json:"spanId"`
		Attributes []otlpAttribute `json:"attributes,omitempty"`
	}
	otlpStatus struct {
		Message string `json:"message,omitempty"`
		Code    int    `json:"code,omitempty"`
	}
	otlpAttribute struct {
		Key   string    `json:"key"`
		Value otlpValue `json:"value"`
	}
	// otlpValue has one field set.
	otlpValue struct {
		String *string    `json:"stringValue,omitempty"`
		Bool   *bool      `json:"boolValue,omitempty"`
		Int    *string    `json:"intValue,omitempty"`
		Double *float64   `json:"doubleValue,omitempty"`
		Array  *otlpArray `json:"arrayValue,omitempty"`
	}
	otlpArray struct {
		Values []otlpValue `json:"values"`
	}
)

// groupSpans groups spans by their scope. All spans of a process have one resource.
func groupSpans(spans []trace.ReadOnlySpan) []otlpResourceSpans {
	r := otlpResourceSpans{Resource: otlpResource{Attributes: otlpAttributes(spans[0].Resource().Attributes())}}
	index := map[string]int{}
	for _, s := range spans {
		scope := s.InstrumentationScope()
		i, ok := index[scope.Name]
		if !ok {
			i = len(r.ScopeSpans)
			index[scope.Name] = i
			r.ScopeSpans = append(r.ScopeSpans, otlpScopeSpans{Scope: otlpScope{Name: scope.Name, Version: scope.Version}})
		}
		r.ScopeSpans[i].Spans = append(r.ScopeSpans[i].Spans, newOTLPSpan(s))
	}
	return []otlpResourceSpans{r}
}

// otlpKinds has the kinds of spans as OTLP numbers them.
var otlpKinds = map[oteltrace.SpanKind]int{
	oteltrace.SpanKindInternal: 1, oteltrace.SpanKindServer: 2, oteltrace.SpanKindClient: 3,
	oteltrace.SpanKindProducer: 4, oteltrace.SpanKindConsumer: 5,
}

// otlpCodes has the codes of a status as OTLP numbers them.
var otlpCodes = map[codes.Code]int{codes.Ok: 1, codes.Error: 2}

func newOTLPSpan(s trace.ReadOnlySpan) otlpSpan {
	sc := s.SpanContext()
	o := otlpSpan{
		TraceID: sc.TraceID().String(), SpanID: sc.SpanID().String(), TraceState: sc.TraceState().String(), Flags: uint32(sc.TraceFlags()),
		Name: s.Name(), Kind: otlpKinds[s.SpanKind()], StartTimeUnixNano: unixNano(s.StartTime()), EndTimeUnixNano: unixNano(s.EndTime()),
		Attributes: otlpAttributes(s.Attributes()), DroppedAttributes: s.DroppedAttributes(),
		DroppedEvents: s.DroppedEvents(), DroppedLinks: s.DroppedLinks(),
		Status: otlpStatus{Message: s.Status().Description, Code: otlpCodes[s.Status().Code]},
	}
	if s.Parent().HasSpanID() {
		o.ParentSpanID = s.Parent().SpanID().String()
	}
	for _, e := range s.Events() {
		o.Events = append(o.Events, otlpEvent{TimeUnixNano: unixNano(e.Time), Name: e.Name, Attributes: otlpAttributes(e.Attributes)})
	}
	for _, l := range s.Links() {
		o.Links = append(o.Links, otlpLink{
			TraceID: l.SpanContext.TraceID().String(), SpanID: l.SpanContext.SpanID().String(), Attributes: otlpAttributes(l.Attributes),
		})
	}
	return o
}

func unixNano(t time.Time) string { return strconv.FormatInt(t.UnixNano(), 10) }

func otlpAttributes(kvs []attribute.KeyValue) []otlpAttribute {
	out := make([]otlpAttribute, len(kvs))
	for i, kv := range kvs {
		out[i] = otlpAttribute{Key: string(kv.Key), Value: newOTLPValue(kv.Value.AsInterface())}
	}
	return out
}

func newOTLPValue(value any) otlpValue {
	switch v := value.(type) {
	case bool:
		return otlpValue{Bool: &v}
	case int64:
		text := strconv.FormatInt(v, 10)
		return otlpValue{Int: &text}
	case float64:
		return otlpValue{Double: &v}
	case []bool:
		return newOTLPArray(v)
	case []int64:
		return newOTLPArray(v)
	case []float64:
		return newOTLPArray(v)
	case []string:
		return newOTLPArray(v)
	}
	text := fmt.Sprint(value)
	return otlpValue{String: &text}
}

func newOTLPArray[T any](list []T) otlpValue {
	a := &otlpArray{Values: make([]otlpValue, len(list))}
	for i, v := range list {
		a.Values[i] = newOTLPValue(v)
	}
	return otlpValue{Array: a}
}

package outcome

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

// Answer returns the body of the answer to the caller, without generation and trace.
func (o Outcome) Answer() caller.Reply {
	return caller.Reply{
		Outcome:      o.Kind,
		Reason:       string(o.Reason),
		Detail:       o.Detail,
		Snapshot:     o.Snapshot,
		Coverage:     o.Coverage,
		Documents:    o.Documents,
		Result:       string(o.Result),
		ResultStatus: o.ResultStatus,
		Replayed:     o.Replayed,
		RetryAfterMs: int(o.RetryAfter / time.Millisecond),
	}
}

// Encode returns the outcome as JSON, for the record of an idempotency key. It panics on a
// value that JSON cannot represent, such as a score that is not a number.
func (o Outcome) Encode() string {
	text, err := json.Marshal(o.Answer())
	if err != nil {
		panic(fmt.Sprintf("outcome: reply does not encode: %v", err))
	}
	return string(text)
}

// Decode restores an outcome that Encode recorded and marks it as replayed. Snapshot,
// Coverage and Documents are not restored.
func Decode(text string) (Outcome, error) {
	var r caller.Reply
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return Outcome{}, fmt.Errorf("decode recorded outcome: %w", err)
	}
	return Outcome{
		Kind:         r.Outcome,
		Reason:       Reason(r.Reason),
		Detail:       r.Detail,
		RetryAfter:   time.Duration(r.RetryAfterMs) * time.Millisecond,
		Result:       []byte(r.Result),
		ResultStatus: r.ResultStatus,
		Replayed:     true,
	}, nil
}

package peer

import (
	"testing"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// FuzzDecode decodes any bytes as a message. What is accepted has one field and can be encoded
// again.
func FuzzDecode(f *testing.F) {
	for _, m := range []*gen.Message{
		{Id: 1, Accepted: &gen.Accepted{Running: true, Announced: &gen.Announced{Sequence: 1, Replicas: gen.Replicas{{0, 7, 8}}}}},
		{Confirmed: &gen.Confirmed{Request: 1, Sequence: 1}},
		{Id: 3, Delegate: &gen.Delegate{Headers: []gen.Header{{Name: "a", Values: []string{"b"}}}, Shards: []string{"s"}}},
		{Id: 5, Pull: &gen.Pull{Era: 1, After: 2}},
	} {
		b, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err != nil {
			return
		}
		if countFields(m) != 1 || m.Id < 0 || kind(m) == "none" {
			t.Fatalf("accepted %+v", m)
		}
		if _, err := encode(m); err != nil {
			t.Fatal(err)
		}
	})
}

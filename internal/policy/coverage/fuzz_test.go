package coverage_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/sardinespindle/sardinespindle/internal/policy/coverage"
)

// FuzzTopRecords merges two parts of any bytes.
func FuzzTopRecords(f *testing.F) {
	f.Add([]byte("0123456789abcdef0123456789abcdee"), []byte("short"), 1)
	f.Add([]byte{}, bytes.Repeat([]byte{0xff}, 50), 5)
	f.Fuzz(func(t *testing.T, a, b []byte, limit int) {
		const size = 16
		if limit < 0 {
			return
		}
		var records [][]byte
		for _, part := range [][]byte{a, b} {
			for r := range slices.Chunk(part, size) {
				if len(r) == size {
					records = append(records, r)
				}
			}
		}
		slices.SortFunc(records, func(x, y []byte) int { return -bytes.Compare(x, y) })
		want := bytes.Join(records[:min(limit, len(records))], nil)
		if got := coverage.TopRecords([][]byte{a, b}, limit); !bytes.Equal(got, want) {
			t.Fatalf("%d records %x, want %x", len(got)/size, got, want)
		}
	})
}

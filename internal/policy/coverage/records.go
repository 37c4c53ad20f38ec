package coverage

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in bytes; a shorter piece at the end of a body is
// ignored.
const recordSize = 16

// TopRecords returns the limit greatest records of all bodies, compared byte by byte,
// greatest first. Duplicates are kept.
func TopRecords(bodies [][]byte, limit int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(len(records), limit)], nil)
}

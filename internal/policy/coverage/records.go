package coverage

import (
	"bytes"
	"slices"
)

// recordSize is the number of bytes of one record; a shorter rest is none.
const recordSize = 16

// TopRecords returns the greatest records of some bodies, greatest first, compared byte
// by byte. Equal records all count.
func TopRecords(bodies [][]byte, most int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			records = append(records, b[:recordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(records[:min(len(records), most)], nil)
}

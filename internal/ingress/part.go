package ingress

import (
	"sync/atomic"

	"github.com/sardinespindle/sardinespindle/internal/policy/clientlimit"
)

// part is a part of what clients may make the process hold.
type part struct {
	capacity int64
	used     atomic.Int64 // bytes held, as counted by clientlimit
	// closing is the part of used that connections hold which are being closed.
	closing atomic.Int64
}

// try counts n more bytes if there is room for them. size is of the reply that they belong to, see
// clientlimit.MayGrow; 0 for none.
func (p *part) try(n, size int64) bool {
	for {
		used := p.used.Load()
		if !p.fits(used, n, size) {
			return false
		}
		if p.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

func (p *part) fits(used, n, size int64) bool {
	return used+n <= p.capacity && clientlimit.MayGrow(size, p.capacity-used)
}

// isShort reports whether n more bytes have no room even once the connections that are being closed are
// gone.
func (p *part) isShort(n, size int64) bool {
	return !p.fits(p.used.Load()-p.closing.Load(), n, size)
}

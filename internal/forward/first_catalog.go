package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
)

// firstCatalogShare is the share of the time that a caller waits in which its request may wait for the first
// catalog. The rest is for another VM, or for the request itself.
const firstCatalogShare = 0.25

// firstCatalog returns the catalog in force. If there is none yet, but one is expected, it waits a while: a
// VM that starts has its catalog after some 200 ms, and many callers could not resend a refused request.
func (s *Server) firstCatalog(r *http.Request) *catalog.Catalog {
	c := s.o.Catalog()
	if c != nil || s.o.FirstCatalog == nil || s.stopping.Load() {
		return c
	}
	ms, err := strconv.ParseFloat(r.Header.Get(s.o.Headers.Deadline), 64)
	if err != nil || !(ms > 0) {
		return nil
	}
	timer := time.NewTimer(scale(time.Duration(min(ms, maxCallerMs)*float64(time.Millisecond)), firstCatalogShare))
	defer timer.Stop()
	select {
	case <-s.o.FirstCatalog:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return s.o.Catalog()
}

// maxCallerMs bounds how long a caller may say that it waits.
const maxCallerMs = 3.6e6

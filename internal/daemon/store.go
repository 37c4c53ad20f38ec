package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/replyhead"
)

// Timeouts of connections to the store.
const (
	storeDialTimeout = 500 * time.Millisecond
	storeIdleTimeout = 20 * time.Second
)

// storeTransport returns a transport for the store that dials from ip.
func storeTransport(ip string) *http.Transport {
	d := &net.Dialer{Timeout: storeDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &http.Transport{
		DialContext: replyhead.Dial(d.DialContext), DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: storeIdleTimeout,
	}
}

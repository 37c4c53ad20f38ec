package peer

import (
	"context"
	"sync"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

type progressKey struct{}

// progress sends notices that a delegated request runs, each with what is known of the
// replicas used.
type progress struct {
	notify func(gen.Accepted)

	mu   sync.Mutex // guards used
	used string
}

// ReportUsed reports to the VM that delegated the request of ctx which replicas it was sent to
// so far, in the form of gen.Accepted. It does nothing in the context of other requests.
func ReportUsed(ctx context.Context, used string) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.report(used)
	}
}

func (p *progress) report(used string) {
	p.mu.Lock()
	p.used = used
	p.mu.Unlock()
	p.repeat()
}

func (p *progress) repeat() {
	p.mu.Lock()
	used := p.used
	p.mu.Unlock()
	p.notify(gen.Accepted{Running: true, Used: used})
}

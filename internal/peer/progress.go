package peer

import (
	"context"
	"sync"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

type progressKey struct{}

// progress sends notices that a delegated request runs, each with what is known of it, and
// holds whether its sender wants it finished.
type progress struct {
	notify   func(gen.Accepted)
	finish   chan struct{}
	finished sync.Once

	mu     sync.Mutex // guards notice
	notice gen.Accepted
}

func newProgress(notify func(gen.Accepted)) *progress {
	return &progress{notify: notify, finish: make(chan struct{}), notice: gen.Accepted{Running: true}}
}

func (p *progress) requestFinish() { p.finished.Do(func() { close(p.finish) }) }

// ReportUsed reports to the VM that delegated the request of ctx which replicas it was sent to
// so far, in the form of gen.Accepted. It does nothing in the context of other requests.
func ReportUsed(ctx context.Context, used string) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.update(func(a *gen.Accepted) { a.Used = used })
	}
}

// ReportDue reports to the VM that delegated the search of ctx that its decision is due with
// too few shards covered. It does nothing in the context of other requests.
func ReportDue(ctx context.Context, covered int) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.update(func(a *gen.Accepted) { a.Covered = covered })
	}
}

// FinishRequested returns a channel that is closed when the VM that delegated the request of
// ctx wants the reply with what there is; nil in the context of other requests.
func FinishRequested(ctx context.Context) <-chan struct{} {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		return p.finish
	}
	return nil
}

// update changes the notice and sends it.
func (p *progress) update(change func(*gen.Accepted)) {
	p.mu.Lock()
	change(&p.notice)
	p.mu.Unlock()
	p.repeat()
}

// repeat sends the notice.
func (p *progress) repeat() {
	p.mu.Lock()
	notice := p.notice
	p.mu.Unlock()
	p.notify(notice)
}

package peer

import (
	"context"
	"sync"

	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

type progressKey struct{}

// progress sends notices that a delegated request runs, each with what is known of it, and
// holds whether its sender wants it finished and which announcements the sender has yet to confirm.
type progress struct {
	notify   func(gen.Accepted)
	finish   chan struct{}
	finished sync.Once

	mu       sync.Mutex // guards the fields below
	notice   gen.Accepted
	sequence int           // of the last announcement
	waiting  []unconfirmed // by sequence
}

// unconfirmed is an announcement that the sender has not confirmed.
type unconfirmed struct {
	sequence    int
	onConfirmed func()
}

func newProgress(notify func(gen.Accepted)) *progress {
	return &progress{notify: notify, finish: make(chan struct{}), notice: gen.Accepted{Running: true}}
}

func (p *progress) requestFinish() { p.finished.Do(func() { close(p.finish) }) }

// Announce announces to the VM that delegated the search of ctx which replicas its shards may be
// sent to, in place of what was announced before. It repeats that with each notice until the VM
// confirms it, and calls onConfirmed then. It does nothing in the context of other requests.
func Announce(ctx context.Context, shardsHash int, replicas gen.Replicas, onConfirmed func()) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	p.update(func(a *gen.Accepted) {
		p.sequence++
		p.waiting = append(p.waiting, unconfirmed{p.sequence, onConfirmed})
		a.Announced = &gen.Announced{Sequence: p.sequence, ShardsHash: shardsHash, Replicas: replicas}
	})
}

// confirm handles the confirmation of the announcements up to a sequence number.
func (p *progress) confirm(sequence int) {
	p.mu.Lock()
	n := 0
	for n < len(p.waiting) && p.waiting[n].sequence <= sequence {
		n++
	}
	confirmed := p.waiting[:n]
	p.waiting = p.waiting[n:]
	if len(p.waiting) == 0 {
		p.notice.Announced = nil
	}
	p.mu.Unlock()
	for _, u := range confirmed {
		u.onConfirmed()
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

// update changes the notice and sends it. The lock is held during the change.
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

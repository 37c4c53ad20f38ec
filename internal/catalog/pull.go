package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// maxPullPages bounds the pages of one pull.
const maxPullPages = 1000

var (
	errNotPulled = errors.New("the reply has no pulled items")
	errPages     = errors.New("the pages do not belong together")
)

// pull returns the changes since this VM's revision as another VM knows them, or the full
// content, once all pages of it are there. The other VM may hold the pull for up to wait,
// while its content is younger than maxAge.
func (s *Sync) pull(ctx context.Context, vm string, wait, maxAge time.Duration) (Update, error) {
	at, _ := s.o.Mirror.State()
	request := peer.Pull{Era: int(at.Era), After: int(at.Revision), Version: s.o.Mirror.Version(), WaitMs: int(wait.Milliseconds()), MaxAgeMs: int(maxAge.Milliseconds())}
	var u Update
	for page := range maxPullPages {
		p, err := s.pullPage(ctx, vm, request)
		if err != nil {
			return Update{}, fmt.Errorf("pull from %s: %w", vm, err)
		}
		items, err := unpack(p.Packed)
		if err != nil {
			return Update{}, fmt.Errorf("pull from %s: %w", vm, err)
		}
		if page > 0 && (int64(p.After) != u.After || int64(p.Era) != u.Era) {
			break
		}
		u.After, u.Position, u.EraStart = int64(p.After), Position{Era: int64(p.Era), Revision: int64(p.Revision)}, int64(p.EraStart)
		u.Age = time.Duration(p.AgeMs) * time.Millisecond
		u.Items = append(u.Items, items...)
		if !p.More {
			return u, nil
		}
		if len(items) == 0 {
			break
		}
		last := items[len(items)-1]
		request.FromEra, request.FromRevision, request.FromKey, request.WaitMs = int(last.Era), int(last.Revision), last.Key, 0
	}
	return Update{}, fmt.Errorf("pull from %s: %w", vm, errPages)
}

func (s *Sync) pullPage(ctx context.Context, vm string, request peer.Pull) (*peer.Pulled, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+callSlack)
	defer cancel()
	reply, err := s.o.Peers.Call(ctx, vm, &peer.Message{Pull: &request})
	if err != nil {
		return nil, err
	}
	if reply.Pulled == nil {
		return nil, errNotPulled
	}
	return reply.Pulled, nil
}

// Handle replies to the pulls of other VMs: at once if there are changes, else at the next
// change, when the wait ends, or when this VM's content becomes too old for the puller, which
// then tries another source in time.
func (s *Sync) Handle(ctx context.Context, _ string, m *peer.Message) *peer.Message {
	if m.Pull == nil {
		return nil
	}
	from := Cursor{Position{int64(m.Pull.FromEra), int64(m.Pull.FromRevision)}, m.Pull.FromKey}
	after := Position{Era: int64(m.Pull.Era), Revision: int64(m.Pull.After)}
	u, changed := s.o.Mirror.Since(after, m.Pull.Version, from)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	wait := min(ms(m.Pull.WaitMs), pullWait, ms(m.Pull.MaxAgeMs)-u.Age)
	if len(u.Items) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		u, _ = s.o.Mirror.Since(after, m.Pull.Version, from)
	}
	items, more := firstPage(u.Items)
	packed, err := s.packer.pack(items)
	if err != nil {
		s.o.Log.Warn("update not packed", "items", len(items), "err", err)
		return nil
	}
	return &peer.Message{Pulled: &peer.Pulled{
		Era: int(u.Era), EraStart: int(u.EraStart), After: int(u.After), Revision: int(u.Revision), AgeMs: int(u.Age.Milliseconds()), Packed: packed, More: more,
	}}
}

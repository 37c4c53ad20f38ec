package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

const (
	// maxPageItems and maxPageBytes bound one message of items between VMs. A page holds at
	// least one item, whatever its size.
	maxPageItems = 1000
	maxPageBytes = 256 << 10
	// maxPullPages bounds the pages of one pull.
	maxPullPages = 1000
)

var (
	errNotPulled = errors.New("the reply has no pulled items")
	errPages     = errors.New("the pages do not belong together")
)

// pull returns the changes since this VM's revision as another VM knows them, or the full
// content, once all pages of it are there. The other VM may hold the pull for up to wait.
func (s *Sync) pull(ctx context.Context, vm string, wait time.Duration) (Update, error) {
	revision, _ := s.o.Mirror.State()
	request := peer.Pull{After: int(revision), WaitMs: int(wait.Milliseconds())}
	var u Update
	for page := range maxPullPages {
		p, err := s.pullPage(ctx, vm, request)
		if err != nil {
			return Update{}, fmt.Errorf("pull from %s: %w", vm, err)
		}
		next := fromPulled(p)
		if page > 0 && next.After != u.After {
			break
		}
		u.After, u.Revision, u.Age = next.After, next.Revision, next.Age
		u.Items = append(u.Items, next.Items...)
		if !p.More {
			return u, nil
		}
		if len(next.Items) == 0 {
			break
		}
		last := next.Items[len(next.Items)-1]
		request.FromRevision, request.FromKey, request.WaitMs = int(last.Revision), last.Key, 0
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
// change, when the wait ends, or when this VM's content becomes stale, so that the puller
// tries another source in time.
func (s *Sync) Handle(ctx context.Context, _ string, m *peer.Message) *peer.Message {
	if m.Pull == nil {
		return nil
	}
	from := Cursor{Revision: int64(m.Pull.FromRevision), Key: m.Pull.FromKey}
	u, changed := s.o.Mirror.Since(int64(m.Pull.After), from)
	wait := min(time.Duration(m.Pull.WaitMs)*time.Millisecond, pullWait, staleAfter-u.Age)
	if len(u.Items) == 0 && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		u, _ = s.o.Mirror.Since(int64(m.Pull.After), from)
	}
	return &peer.Message{Pulled: firstPage(u)}
}

// firstPage returns the first page of an update.
func firstPage(u Update) *peer.Pulled {
	p := &peer.Pulled{
		After: int(u.After), Revision: int(u.Revision), AgeMs: int(u.Age.Milliseconds()),
		Items: make([]peer.Published, 0, min(len(u.Items), maxPageItems)),
	}
	size := 0
	for _, it := range u.Items {
		size += len(it.Key) + len(it.Value)
		if len(p.Items) == maxPageItems || len(p.Items) > 0 && size > maxPageBytes {
			p.More = true
			break
		}
		p.Items = append(p.Items, peer.Published{
			Key: it.Key, Revision: int(it.Revision), Value: string(it.Value), Removed: it.Removed,
		})
	}
	return p
}

func fromPulled(p *peer.Pulled) Update {
	u := Update{
		After: int64(p.After), Revision: int64(p.Revision), Age: time.Duration(p.AgeMs) * time.Millisecond,
		Items: make([]Item, 0, len(p.Items)),
	}
	for _, it := range p.Items {
		u.Items = append(u.Items, Item{
			Key: it.Key, Revision: int64(it.Revision), Value: []byte(it.Value), Removed: it.Removed,
		})
	}
	return u
}

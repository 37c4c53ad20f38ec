package coverage

import (
	"cmp"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Top returns the best documents of snapshot id, at most limit, best first and by id
// where scores are equal. A document found twice counts once, with its best score.
func (m *Merge) Top(id snapshot.ID, limit int) []caller.Document {
	s := m.find(id)
	if s == nil || limit <= 0 {
		return []caller.Document{}
	}
	all := s.all()
	slices.SortFunc(all, func(a, b *upstream.Document) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.Id, b.Id)
	})
	return firstUnique(all, limit)
}

func (s *set) all() []*upstream.Document {
	n := 0
	for _, p := range s.parts {
		n += len(p.Documents)
	}
	all := make([]*upstream.Document, 0, n)
	for _, p := range s.parts {
		for i := range p.Documents {
			all = append(all, &p.Documents[i])
		}
	}
	return all
}

func firstUnique(sorted []*upstream.Document, limit int) []caller.Document {
	size := min(limit, len(sorted))
	top := make([]caller.Document, 0, size)
	taken := make(map[string]struct{}, size)
	for _, d := range sorted {
		if len(top) == limit {
			break
		}
		if _, twice := taken[d.Id]; twice {
			continue
		}
		taken[d.Id] = struct{}{}
		top = append(top, caller.Document{Id: d.Id, Score: d.Score, Body: d.Body})
	}
	return top
}

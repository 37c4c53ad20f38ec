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
	h, n := s.lists()
	size := min(limit, n)
	top := make([]caller.Document, 0, size)
	taken := make(map[string]struct{}, size)
	for len(h) > 0 && len(top) < limit {
		d := &h[0][0]
		if _, twice := taken[d.Id]; !twice {
			taken[d.Id] = struct{}{}
			top = append(top, caller.Document{Id: d.Id, Score: d.Score, Body: d.Body})
		}
		h = h.pop()
	}
	return top
}

// lists returns a heap of each part's documents, best first, and how many there are.
func (s *set) lists() (h lists, n int) {
	h = make(lists, 0, len(s.parts))
	for _, p := range s.parts {
		docs := p.Documents
		if len(docs) == 0 {
			continue
		}
		if !slices.IsSortedFunc(docs, compareDocuments) {
			docs = slices.SortedFunc(slices.Values(docs), compareDocuments)
		}
		h = append(h, docs)
		n += len(docs)
	}
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
	return h, n
}

// lists is a heap of non-empty lists of documents; the best first document is on top.
type lists [][]upstream.Document

// pop drops the best document.
func (h lists) pop() lists {
	if h[0] = h[0][1:]; len(h[0]) == 0 {
		last := len(h) - 1
		h[0] = h[last]
		h = h[:last]
	}
	h.sink(0)
	return h
}

// sink moves the list at i down to its place.
func (h lists) sink(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if compareDocuments(h[c][0], h[least][0]) < 0 {
				least = c
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// compareDocuments orders documents best first, by id where scores are equal.
func compareDocuments(a, b upstream.Document) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Id, b.Id)
}

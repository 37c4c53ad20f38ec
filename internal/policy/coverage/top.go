package coverage

import (
	"cmp"
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/policy/snapshot"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// Top returns at most limit documents of snapshot id, by descending score and then by id.
// A document that is in several parts is returned once, with its best score.
func (m *Merge) Top(id snapshot.ID, limit int) []caller.Document {
	s := m.find(id)
	if s == nil || limit <= 0 {
		return []caller.Document{}
	}
	h, n := s.documentHeap()
	size := min(limit, n)
	top := make([]caller.Document, 0, size)
	seen := make(map[string]struct{}, size)
	for len(h) > 0 && len(top) < limit {
		d := &h[0][0]
		if _, duplicate := seen[d.Id]; !duplicate {
			seen[d.Id] = struct{}{}
			top = append(top, caller.Document{Id: d.Id, Score: d.Score, Body: d.Body})
		}
		h = h.pop()
	}
	return top
}

// documentHeap returns a heap of the documents of all parts, and their number.
func (s *snapshotParts) documentHeap() (h docHeap, n int) {
	h = make(docHeap, 0, len(s.parts))
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
		h.siftDown(i)
	}
	return h, n
}

// docHeap is a heap of non-empty lists of documents, each sorted best first. Lists are
// ordered by their first document; the list with the best one is at the top.
type docHeap [][]upstream.Document

// pop removes the best document.
func (h docHeap) pop() docHeap {
	if h[0] = h[0][1:]; len(h[0]) == 0 {
		last := len(h) - 1
		h[0] = h[last]
		h = h[:last]
	}
	h.siftDown(0)
	return h
}

// siftDown moves the list at i down until the heap order is restored.
func (h docHeap) siftDown(i int) {
	for {
		best := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if compareDocuments(h[c][0], h[best][0]) < 0 {
				best = c
			}
		}
		if best == i {
			return
		}
		h[i], h[best] = h[best], h[i]
		i = best
	}
}

// compareDocuments orders documents by descending score and then by id.
func compareDocuments(a, b upstream.Document) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Id, b.Id)
}

package catalog

import "cmp"

// Position is a point in the store's history. Revisions rise within an era. A store that comes
// back from a copy starts a new era and gives revisions out again.
type Position struct {
	Era, Revision int64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// before reports whether p is an earlier position than q.
func (p Position) before(q Position) bool { return p.Compare(q) < 0 }

// Cursor is the position after an item in the order of position and key. The zero value is
// the position before all items.
type Cursor struct {
	Position
	Key string
}

// cursorAfter returns the position after an item.
func cursorAfter(it Item) Cursor { return Cursor{Position: it.Position, Key: it.Key} }

func (c Cursor) compare(d Cursor) int {
	return cmp.Or(c.Compare(d.Position), cmp.Compare(c.Key, d.Key))
}

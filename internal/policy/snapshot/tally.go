package snapshot

// TallySize bounds the snapshots that a Tally tells apart.
const TallySize = 8

// Tally finds the snapshots that many shards serve, in bounded space (Misra-Gries):
// an id that more than 1 in TallySize+1 of the additions name is always kept, so that
// a replica which names ever new snapshots crowds out no real one.
type Tally struct {
	ids    [TallySize]ID
	counts [TallySize]int
}

// Add counts one shard that serves id.
func (t *Tally) Add(id ID) {
	free := -1
	for i := range t.ids {
		if t.counts[i] == 0 {
			free = i
			continue
		}
		if t.ids[i] == id {
			t.counts[i]++
			return
		}
	}
	if free >= 0 {
		t.ids[free], t.counts[free] = id, 1
		return
	}
	for i := range t.counts {
		t.counts[i]--
	}
}

// IDs appends the snapshots kept to ids.
func (t *Tally) IDs(ids []ID) []ID {
	for i := range t.ids {
		if t.counts[i] > 0 {
			ids = append(ids, t.ids[i])
		}
	}
	return ids
}

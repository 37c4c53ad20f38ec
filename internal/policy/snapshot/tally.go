package snapshot

// TallySize is the number of snapshots that a Tally keeps.
const TallySize = 8

// Tally finds the snapshots that many shards serve in bounded memory (Misra-Gries): an ID
// that makes up more than 1 in TallySize+1 of the additions is always kept. So a replica
// that reports ever new snapshots does not displace those that many shards serve. The zero
// value is empty.
type Tally struct {
	ids    [TallySize]ID
	counts [TallySize]int
}

// Add counts a shard that serves id.
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

// IDs appends the kept snapshots to ids, in no particular order.
func (t *Tally) IDs(ids []ID) []ID {
	for i := range t.ids {
		if t.counts[i] > 0 {
			ids = append(ids, t.ids[i])
		}
	}
	return ids
}

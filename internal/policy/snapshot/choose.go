package snapshot

// Score says how much of a snapshot a search can get, in shards.
type Score struct {
	// Total shards of the snapshot's partition map.
	Total int
	// Have is how many parts have arrived.
	Have int
	// Likely is Have and the shards with a replica that lately served the snapshot.
	Likely int
	// Possible is Likely and the shards with a replica of which nothing is known.
	Possible int
}

// Add counts one shard that has no part yet.
func (s *Score) Add(k Knowledge) {
	switch k {
	case Holds:
		s.Likely++
		s.Possible++
	case Unknown:
		s.Possible++
	case Lacks:
	}
}

// AddPart counts one shard whose part has arrived.
func (s *Score) AddPart() {
	s.Have++
	s.Likely++
	s.Possible++
}

// Best returns the snapshot that the largest share of shards can serve: by what is
// possible, then likely, then there, then the newest. count returns false for a
// snapshot whose partition map is unknown, which is never chosen.
func Best(ids []ID, count func(ID) (Score, bool)) (ID, bool) {
	var best ID
	var top Score
	found := false
	for _, id := range ids {
		s, ok := count(id)
		if !ok || s.Total == 0 || s.Possible == 0 {
			continue
		}
		if c := compare(s, top); !found || c > 0 || c == 0 && Newer(id, best) {
			best, top, found = id, s, true
		}
	}
	return best, found
}

// compare orders scores by their shares, the totals of which may differ.
func compare(a, b Score) int {
	if c := a.Possible*b.Total - b.Possible*a.Total; c != 0 {
		return c
	}
	if c := a.Likely*b.Total - b.Likely*a.Total; c != 0 {
		return c
	}
	return a.Have*b.Total - b.Have*a.Total
}

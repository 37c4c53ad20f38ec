package snapshot

// Score counts the shards from which a search can get a snapshot.
type Score struct {
	// Total is the number of shards in the snapshot's partition map.
	Total int
	// Replied is the number of shards whose reply has arrived.
	Replied int
	// Likely is Replied plus the shards with a replica that served the snapshot lately.
	Likely int
	// Possible is Likely plus the shards with a replica of which nothing is known.
	Possible int
}

// Add counts a shard whose reply has not arrived.
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

// AddReply counts a shard whose reply has arrived.
func (s *Score) AddReply() {
	s.Replied++
	s.Likely++
	s.Possible++
}

// Best returns the snapshot with the largest share of possible shards; of equal ones, that
// with the most likely shards, then the most replies, then the newest. count returns false
// for a snapshot whose partition map is unknown, which is never chosen. Best returns false
// if no snapshot has a possible shard.
func Best(ids []ID, count func(ID) (Score, bool)) (ID, bool) {
	var best ID
	var bestScore Score
	found := false
	for _, id := range ids {
		s, ok := count(id)
		if !ok || s.Total == 0 || s.Possible == 0 {
			continue
		}
		if c := compare(s, bestScore); !found || c > 0 || c == 0 && Newer(id, best) {
			best, bestScore, found = id, s, true
		}
	}
	return best, found
}

// compare orders scores by their shares of Total, which may differ between them.
func compare(a, b Score) int {
	if c := a.Possible*b.Total - b.Possible*a.Total; c != 0 {
		return c
	}
	if c := a.Likely*b.Total - b.Likely*a.Total; c != 0 {
		return c
	}
	return a.Replied*b.Total - b.Replied*a.Total
}

package admission

// AllowsInFlight reports whether a caller may have one more request in flight. While total is
// below capacity it may; otherwise only up to its equal share of the capacity, at least 1.
// own and total count the requests in flight of this caller and of all; active is the number
// of callers that have any.
func AllowsInFlight(own, total, active, capacity int) bool {
	if total < capacity {
		return true
	}
	share := capacity / max(1, active)
	return own < max(1, share)
}

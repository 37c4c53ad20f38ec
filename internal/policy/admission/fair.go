package admission

// Fair decides whether one caller's share of the requests in flight is fair. While
// the VM is limited, a caller may use up to its equal share of the capacity and
// whatever the others leave free. Own and all count requests in flight, active the
// callers that have any, capacity the requests that may be in flight.
func Fair(own, all, active, capacity int) bool {
	if all < capacity {
		return true
	}
	share := capacity / max(1, active)
	return own < max(1, share)
}

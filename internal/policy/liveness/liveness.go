// Package liveness decides which announced VMs count as alive. A VM announces itself rarely. A
// VM that finds another one unreachable states so, and all others stop using it at once. The
// announced VM, if it is alive, refutes such a statement by announcing itself anew. The
// package is pure, so its functions may be called concurrently.
package liveness

import (
	"fmt"
	"strconv"
	"strings"
)

// Announcement is what a VM announces of itself.
type Announcement struct {
	// Number counts the announcements of one incarnation that refute a statement.
	Number int
	// Capacity is in processor cores.
	Capacity float64
	Zone     string
}

// String returns the announcement as the value of a fact.
func (a Announcement) String() string { return fmt.Sprintf("%d %g %s", a.Number, a.Capacity, a.Zone) }

// ParseAnnouncement returns the announcement in a fact's value; false if it is none.
func ParseAnnouncement(value string) (Announcement, bool) {
	f := strings.SplitN(value, " ", 3)
	if len(f) != 3 || f[2] == "" {
		return Announcement{}, false
	}
	number, err := strconv.Atoi(f[0])
	if err != nil || number < 0 {
		return Announcement{}, false
	}
	capacity, err := strconv.ParseFloat(f[1], 64)
	if err != nil || !(capacity > 0) {
		return Announcement{}, false
	}
	return Announcement{Number: number, Capacity: capacity, Zone: f[2]}, true
}

// Statement says that an incarnation of a VM was unreachable. It applies to announcements up
// to Number.
type Statement struct {
	Incarnation string
	Number      int
}

// String returns the statement as the value of a fact.
func (s Statement) String() string { return s.Incarnation + " " + strconv.Itoa(s.Number) }

// ParseStatement returns the statement in a fact's value; false if it is none.
func ParseStatement(value string) (Statement, bool) {
	incarnation, number, ok := strings.Cut(value, " ")
	n, err := strconv.Atoi(number)
	if !ok || incarnation == "" || err != nil {
		return Statement{}, false
	}
	return Statement{Incarnation: incarnation, Number: n}, true
}

// Refuted reports whether an announcement of an incarnation is newer than all statements
// about it.
func Refuted(incarnation string, a Announcement, statements []Statement) bool {
	for _, s := range statements {
		if s.Incarnation == incarnation && s.Number >= a.Number {
			return false
		}
	}
	return true
}

// Latest returns the number of an incarnation's latest announcement: number, or the highest one
// among its refutations of statements.
func Latest(incarnation string, number int, refutations []Statement) int {
	for _, r := range refutations {
		if r.Incarnation == incarnation {
			number = max(number, r.Number)
		}
	}
	return number
}

// Refute returns the number of an announcement that refutes all statements about this
// incarnation, and whether one is needed.
func Refute(incarnation string, number int, statements []Statement) (int, bool) {
	next := number
	for _, s := range statements {
		if s.Incarnation == incarnation && s.Number >= next {
			next = s.Number + 1
		}
	}
	return next, next != number
}

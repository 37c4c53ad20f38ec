package manifest

import (
	"reflect"
	"sort"
)

// ChangeKind is the way in which an entry differs between two manifests.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one entry that differs between two manifests.
type Change struct {
	Kind    ChangeKind `json:"change"`
	Subject string     `json:"subject"`
}

// Diff lists the workloads, upstreams and callers that differ between a and b, ordered
// by subject.
func Diff(a, b *Manifest) []Change {
	var out []Change
	out = append(out, diffMaps("workload ", entries(a.Workloads, withoutUpstreams), entries(b.Workloads, withoutUpstreams))...)
	out = append(out, diffMaps("upstream ", entries(a.Upstreams, identity), entries(b.Upstreams, identity))...)
	out = append(out, diffMaps("caller ", callersByName(a), callersByName(b))...)
	sort.Slice(out, func(i, j int) bool { return out[i].Subject < out[j].Subject })
	return out
}

func identity[T any](v T) any { return v }

// withoutUpstreams returns what a workload declares itself: an added or removed upstream
// is no change of its workload.
func withoutUpstreams(w *Workload) any {
	return struct{ Workload, Maps any }{w.Workload, w.Maps}
}

func entries[T any](from map[string]T, entry func(T) any) map[string]any {
	out := make(map[string]any, len(from))
	for k, v := range from {
		out[k] = entry(v)
	}
	return out
}

func callersByName(m *Manifest) map[string]any {
	out := make(map[string]any, len(m.Callers))
	for _, c := range m.Callers {
		out[string(c.Name)] = c.Caller
	}
	return out
}

func diffMaps(prefix string, a, b map[string]any) []Change {
	var out []Change
	for k, v := range a {
		w, ok := b[k]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Subject: prefix + k})
		case !reflect.DeepEqual(v, w):
			out = append(out, Change{Kind: Changed, Subject: prefix + k})
		}
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, Change{Kind: Added, Subject: prefix + k})
		}
	}
	return out
}

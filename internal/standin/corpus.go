package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// corpusSize is the number of documents born with the first index version.
const corpusSize = 1200

// bornEach and goneEach are the documents that each later index version adds and removes.
const (
	bornEach = 10
	goneEach = 5
)

// NonceMark and CrashMark start the two words of a query that match every document:
// the nonce, which each document's body echoes, and the word that crashes an upstream.
const (
	NonceMark = "nonce:"
	CrashMark = "crash:"
)

const defaultLimit = 10

// entry is one document of a corpus, without its snapshot.
type entry struct {
	id    string
	hash  uint32
	words []string
	text  string
	born  int // first index version that holds it
	gone  int // first index version that no longer holds it; 0 for none
}

// Corpus is the synthetic documents of one workload, the same in every process.
type Corpus struct {
	workload string
	mu       sync.Mutex
	entries  []entry
	indexed  int // highest index version generated
	cache    map[slice][]entry
}

// slice is one range of one index version.
type slice struct {
	index int
	r     Range
}

// maxCached bounds the slices kept.
const maxCached = 512

// NewCorpus returns the documents of a workload.
func NewCorpus(workload string) *Corpus {
	return &Corpus{workload: workload, cache: map[slice][]entry{}}
}

// Hash places a document id in a partition map.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

var partWords = [][]string{
	{"jack", "plectrum", "soundboard", "voicing-tool", "tuning-pin", "bridge", "keylever", "damper"},
	{"pear", "spruce", "beech", "delrin", "quill", "brass", "iron", "felt"},
	{"8ft", "4ft", "16ft", "lute"},
}

var receiptWords = [][]string{
	{"sweater", "jacket", "shoes", "shirt", "scarf", "coat", "belt", "hat"},
	{"bursa", "izmit", "yalova", "gebze", "tekirdag", "edirne", "balikesir", "canakkale"},
	{"returned", "refunded", "exchanged", "kept"},
}

// Words returns the vocabulary of a workload, one list a position in the text.
func Words(workload string) [][]string {
	switch workload {
	case "iade-bakis", "stok-geri":
		return receiptWords
	}
	return partWords
}

func (c *Corpus) add(n, born int) {
	for range n {
		k := len(c.entries)
		id := fmt.Sprintf("%s-%06d", c.workload, k)
		h := xxhash.Sum64String(id)
		var words []string
		for i, list := range Words(c.workload) {
			words = append(words, list[(h>>(8*i))%uint64(len(list))])
		}
		words = append(words, fmt.Sprintf("no-%06d", k))
		c.entries = append(c.entries, entry{id: id, hash: uint32(h), words: words, text: strings.Join(words, " "), born: born})
	}
}

// grow generates the corpus up to an index version. The lock is held.
func (c *Corpus) grow(index int) {
	for c.indexed < index {
		c.indexed++
		if c.indexed == 1 {
			c.add(corpusSize, 1)
			continue
		}
		first := (c.indexed - 2) * goneEach
		for i := first; i < first+goneEach && i < len(c.entries); i++ {
			c.entries[i].gone = c.indexed
		}
		c.add(bornEach, c.indexed)
	}
}

// at returns the entries of one range of one index version. They are shared: nobody
// may change them.
func (c *Corpus) at(index int, r Range) []entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := slice{index: index, r: r}
	if out, ok := c.cache[k]; ok {
		return out
	}
	c.grow(index)
	var out []entry
	for _, e := range c.entries {
		if e.born <= index && (e.gone == 0 || e.gone > index) && e.hash >= r.First && e.hash <= r.Last {
			out = append(out, e)
		}
	}
	if len(c.cache) >= maxCached {
		clear(c.cache)
	}
	c.cache[k] = out
	return out
}

// Range is an inclusive range of document hashes.
type Range struct{ First, Last uint32 }

// Found is what ranges of one snapshot answer to a query.
type Found struct {
	Documents []upstream.Document
	Held      int
}

// Search answers a query over disjoint ranges of one snapshot, best document first.
func (c *Corpus) Search(q upstream.Query, s upstream.Snapshot, ranges ...Range) Found {
	want, nonce := splitQuery(q.Query)
	f := Found{Documents: []upstream.Document{}}
	for _, r := range ranges {
		entries := c.at(s.Index, r)
		f.Held += len(entries)
		for i := range entries {
			if matches(entries[i].words, want) {
				f.Documents = append(f.Documents, document(&entries[i], s, nonce))
			}
		}
	}
	slices.SortFunc(f.Documents, compareDocuments)
	limit := q.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	f.Documents = f.Documents[:min(limit, len(f.Documents))]
	return f
}

func compareDocuments(a, b upstream.Document) int {
	switch {
	case a.Score > b.Score:
		return -1
	case a.Score < b.Score:
		return 1
	}
	return strings.Compare(a.Id, b.Id)
}

func document(e *entry, s upstream.Snapshot, nonce string) upstream.Document {
	return upstream.Document{
		Id:    e.id,
		Score: float64(e.hash>>8) / (1 << 24),
		Body:  e.text + Mark(s, nonce),
	}
}

// Mark is the end of each document's body: the snapshot it was read from and the
// nonce of the query that asked for it.
func Mark(s upstream.Snapshot, nonce string) string {
	return fmt.Sprintf(" @%d.%d %s%s", s.Index, s.Map, NonceMark, nonce)
}

func matches(words, want []string) bool {
	for _, w := range want {
		if !slices.Contains(words, w) {
			return false
		}
	}
	return true
}

// splitQuery parts the words to match from the nonce.
func splitQuery(q string) (want []string, nonce string) {
	for _, w := range strings.Fields(q) {
		if n, ok := strings.CutPrefix(w, NonceMark); ok {
			nonce = n
			continue
		}
		if strings.HasPrefix(w, CrashMark) {
			continue
		}
		want = append(want, w)
	}
	return want, nonce
}

// marked returns the rest of the word that follows a mark in a request's text.
func marked(text, mark string) string {
	_, rest, ok := strings.Cut(text, mark)
	if !ok {
		return ""
	}
	end := strings.IndexFunc(rest, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
	if end < 0 {
		return rest
	}
	return rest[:end]
}

// Number returns the number word of the first document in a range of index version 1.
func (c *Corpus) Number(r Range) string {
	for _, e := range c.at(1, r) {
		return e.words[len(e.words)-1]
	}
	return ""
}

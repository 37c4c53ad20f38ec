package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

// corpusSize is the number of documents in the first index version.
const corpusSize = 1200

// Each later index version adds and removes some documents.
const (
	addedPerVersion   = 10
	removedPerVersion = 5
)

// NonceMark and CrashMark are the prefixes of two words of a query that are not matched. The
// body of each document echoes the nonce. The crash word crashes the upstream.
const (
	NonceMark = "nonce:"
	CrashMark = "crash:"
)

const defaultLimit = 10

// entry is one document of a corpus and the index versions that hold it.
type entry struct {
	id        string
	hash      uint32
	words     []string
	text      string
	addedIn   int // first index version that holds it
	removedIn int // first index version that no longer holds it; 0 for none
}

// Corpus holds the synthetic documents of one workload, which are the same in every process.
// One lock guards them.
type Corpus struct {
	workload string
	mu       sync.Mutex
	entries  []entry
	indexed  int // highest index version generated
	cache    map[cacheKey][]entry
}

// cacheKey names one range of one index version.
type cacheKey struct {
	index int
	r     Range
}

// maxCachedRanges bounds the cache, which is cleared when full.
const maxCachedRanges = 512

// NewCorpus returns the documents of a workload.
func NewCorpus(workload string) *Corpus {
	return &Corpus{workload: workload, cache: map[cacheKey][]entry{}}
}

// Hash returns the hash of a document id. The document is in the shard whose range contains it.
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

// Words returns the vocabulary of a workload: one list of words for each position in a text.
func Words(workload string) [][]string {
	switch workload {
	case "iade-bakis", "stok-geri":
		return receiptWords
	}
	return partWords
}

func (c *Corpus) add(n, addedIn int) {
	for range n {
		k := len(c.entries)
		id := fmt.Sprintf("%s-%06d", c.workload, k)
		h := xxhash.Sum64String(id)
		var words []string
		for i, list := range Words(c.workload) {
			words = append(words, list[(h>>(8*i))%uint64(len(list))])
		}
		words = append(words, fmt.Sprintf("no-%06d", k))
		c.entries = append(c.entries, entry{id: id, hash: uint32(h), words: words, text: strings.Join(words, " "), addedIn: addedIn})
	}
}

// generate generates the documents up to an index version. The lock is held.
func (c *Corpus) generate(index int) {
	for c.indexed < index {
		c.indexed++
		if c.indexed == 1 {
			c.add(corpusSize, 1)
			continue
		}
		first := (c.indexed - 2) * removedPerVersion
		for i := first; i < first+removedPerVersion && i < len(c.entries); i++ {
			c.entries[i].removedIn = c.indexed
		}
		c.add(addedPerVersion, c.indexed)
	}
}

// rangeEntries returns the entries of one range of one index version. The result is shared
// and must not be changed.
func (c *Corpus) rangeEntries(index int, r Range) []entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{index: index, r: r}
	if out, ok := c.cache[k]; ok {
		return out
	}
	c.generate(index)
	var out []entry
	for _, e := range c.entries {
		if e.addedIn <= index && (e.removedIn == 0 || e.removedIn > index) && e.hash >= r.First && e.hash <= r.Last {
			out = append(out, e)
		}
	}
	if len(c.cache) >= maxCachedRanges {
		clear(c.cache)
	}
	c.cache[k] = out
	return out
}

// Range is an inclusive range of document hashes.
type Range struct{ First, Last uint32 }

// SearchResult is the best documents for a query and the number of documents searched.
type SearchResult struct {
	Documents     []upstream.Document
	DocumentsHeld int
}

// Search runs a query over disjoint ranges of one snapshot. Documents come best first.
func (c *Corpus) Search(q upstream.Query, s upstream.Snapshot, ranges ...Range) SearchResult {
	want, nonce := splitQuery(q.Query)
	f := SearchResult{Documents: []upstream.Document{}}
	for _, r := range ranges {
		entries := c.rangeEntries(s.Index, r)
		f.DocumentsHeld += len(entries)
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
		Body:  e.text + BodySuffix(s, nonce),
	}
}

// BodySuffix returns the end of each document's body: the snapshot that it was read from and the
// nonce of the query.
func BodySuffix(s upstream.Snapshot, nonce string) string {
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

// splitQuery returns the words to match and the nonce of a query, without its crash word.
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

// markedWord returns what follows a mark in a request's text, up to the first character that
// is no lower-case letter, digit or hyphen.
func markedWord(text, mark string) string {
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

// Number returns the word "no-NNNNNN" of the first document in a range of index version 1.
func (c *Corpus) Number(r Range) string {
	for _, e := range c.rangeEntries(1, r) {
		return e.words[len(e.words)-1]
	}
	return ""
}

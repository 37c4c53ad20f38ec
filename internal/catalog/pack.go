package catalog

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	peer "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

const (
	// maxPageItems and maxPageBytes, before compression, bound one message of items between
	// VMs. A page holds at least one item, whatever its size.
	maxPageItems = 1000
	maxPageBytes = 256 << 10
	// maxUnpackedBytes bounds what a received page may unpack to: a page with an item of the
	// largest size that the platform publishes.
	maxUnpackedBytes = 4 << 20
	// maxPackedPages is the number of packed pages kept. All VMs that follow this one ask for
	// the same few.
	maxPackedPages = 8
)

var errUnpackedSize = errors.New("the page is too large")

// firstPage returns the items of the first page, and whether others follow.
func firstPage(items []Item) (page []Item, more bool) {
	size := 0
	for i, it := range items {
		size += len(it.Key) + len(it.Value)
		if i == maxPageItems || i > 0 && size > maxPageBytes {
			return items[:i], true
		}
	}
	return items, false
}

// pageKey identifies a page of one mirror: items are ordered, and a changed item moves to
// the end.
type pageKey struct {
	first, last Cursor
	count       int
}

// packer encodes and compresses pages, and keeps the last ones. It is safe for concurrent use.
type packer struct {
	mu    sync.Mutex // guards the fields below
	pages []packedPage
}

// flateWriters keeps a writer, which takes 1.2 MB, only between two collections: pages are packed in
// bursts, when upstreams change.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("catalog: " + err.Error())
	}
	return w
}}

type packedPage struct {
	key  pageKey
	data string
}

// pack returns a page in the form of peer.Pulled.
func (p *packer) pack(items []Item) (string, error) {
	if len(items) == 0 {
		return "", nil
	}
	key := pageKey{first: cursorAfter(items[0]), last: cursorAfter(items[len(items)-1]), count: len(items)}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, page := range p.pages {
		if page.key == key {
			return page.data, nil
		}
	}
	data, err := compress(items)
	if err != nil {
		return "", err
	}
	if len(p.pages) == maxPackedPages {
		p.pages = p.pages[1:]
	}
	p.pages = append(p.pages, packedPage{key, data})
	return data, nil
}

// compress encodes and compresses items.
func compress(items []Item) (string, error) {
	published := make([]peer.Published, len(items))
	for i, it := range items {
		published[i] = peer.Published{Key: it.Key, Era: int(it.Era), Revision: int(it.Revision), Value: string(it.Value), Removed: it.Removed}
	}
	encoded, err := cbor.Marshal(published)
	if err != nil {
		return "", fmt.Errorf("encode %d items: %w", len(items), err)
	}
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(encoded); err != nil {
		return "", fmt.Errorf("compress %d bytes: %w", len(encoded), err)
	}
	if err := w.Close(); err != nil {
		return "", fmt.Errorf("compress %d bytes: %w", len(encoded), err)
	}
	return out.String(), nil
}

var unpackMode = mustUnpackMode()

func mustUnpackMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: 1024, MaxMapPairs: 16, UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic("catalog: " + err.Error())
	}
	return m
}

// unpack returns the items of a packed page.
func unpack(packed string) ([]Item, error) {
	if packed == "" {
		return nil, nil
	}
	r := flate.NewReader(strings.NewReader(packed))
	encoded, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress %d bytes: %w", len(packed), err)
	}
	if len(encoded) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errUnpackedSize, maxUnpackedBytes)
	}
	var published []peer.Published
	if err := unpackMode.Unmarshal(encoded, &published); err != nil {
		return nil, fmt.Errorf("decode %d bytes: %w", len(encoded), err)
	}
	items := make([]Item, len(published))
	for i, it := range published {
		items[i] = Item{Key: it.Key, Position: Position{Era: int64(it.Era), Revision: int64(it.Revision)}, Value: []byte(it.Value), Removed: it.Removed}
	}
	return items, nil
}

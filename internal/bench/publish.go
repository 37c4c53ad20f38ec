package bench

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// exampleTime is the commit time in the examples. It is fixed, so that regenerating them
// changes nothing else.
const exampleTime = "2026-01-01T00:00:00Z"

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// Published is an encoded manifest, as the platform stores it.
type Published struct {
	Generation int
	Head       []byte
	// Parts and their digests, in the head's order.
	Parts   [][]byte
	Digests []string
}

// Publish encodes a manifest: its parts, and the head that refers to them by digest.
func Publish(parts []manifest.Part, generation int, at string) (*Published, error) {
	p := &Published{Generation: generation}
	head := manifest.Head{Generation: generation, CommittedAt: at}
	for _, part := range parts {
		body, err := encode(part)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(body)
		digest := hex.EncodeToString(sum[:])
		p.Parts = append(p.Parts, body)
		p.Digests = append(p.Digests, digest)
		head.Parts = append(head.Parts, manifest.PartRef{Digest: manifest.Digest(digest), Bytes: len(body)})
	}
	var err error
	p.Head, err = encode(head)
	return p, err
}

func encode(v any) ([]byte, error) {
	body, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	return append(bytes.TrimSpace(body), '\n'), nil
}

func timestamp() string { return time.Now().UTC().Format(time.RFC3339) }

// WriteExample writes a deployment as head.json and part-N.json into dir.
func WriteExample(name, dir string) error {
	net := klapkaNet
	if name == Kervan {
		net = kervanNet
	}
	d, err := NewDeployment(name, net)
	if err != nil {
		return err
	}
	p, err := Publish(d.Parts(), 1, exampleTime)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("write example: %w", err)
	}
	files := map[string][]byte{"head.json": p.Head}
	for i, body := range p.Parts {
		files[fmt.Sprintf("part-%d.json", i+1)] = body
	}
	for file, body := range files {
		if err := os.WriteFile(filepath.Join(dir, file), body, fileMode); err != nil {
			return fmt.Errorf("write example: %w", err)
		}
	}
	return nil
}

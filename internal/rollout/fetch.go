package rollout

import (
	"context"
	"errors"
	"fmt"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	"github.com/sardinespindle/sardinespindle/internal/policy/generation"
	"github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// maxFurtherPeers bounds the peers asked for one text after the first one.
const maxFurtherPeers = 3

// fetchHead gets the text of a head by its digest: from peers, else from the platform.
func (k *Keeper) fetchHead(ctx context.Context, h generation.Head, from string) ([]byte, error) {
	if text, ok := k.fetchFromPeers(ctx, h.Digest, from); ok {
		return text, nil
	}
	v, err := k.o.Source.Get(ctx, platform.HeadKey)
	if err != nil {
		return nil, fmt.Errorf("head %.12s: not found at peers, platform not read: %w", h.Digest, err)
	}
	if manifest.Digest(v.Body) != h.Digest {
		return nil, fmt.Errorf("head %.12s: not found at peers, and the platform holds another head", h.Digest)
	}
	return v.Body, nil
}

// fetchParts gets the parts of a head that the builder has not cached, by digest.
func (k *Keeper) fetchParts(ctx context.Context, headText []byte, from string) (map[string][]byte, error) {
	head, err := manifest.ParseHead(headText)
	if err != nil {
		return nil, err
	}
	texts := make(map[string][]byte)
	for _, digest := range k.builder.Missing(head) {
		text, err := k.fetchPart(ctx, digest, from)
		if err != nil {
			return nil, err
		}
		texts[digest] = text
	}
	return texts, nil
}

// fetchPart asks the platform, then peers. For a head that a peer reported, it asks the peers
// first, then the platform, then the peers again.
func (k *Keeper) fetchPart(ctx context.Context, digest, from string) ([]byte, error) {
	if from != "" {
		if text, ok := k.fetchFromPeers(ctx, digest, from); ok {
			return text, nil
		}
	}
	v, err := k.o.Source.Get(ctx, platform.PartKey(digest))
	if err == nil && manifest.Digest(v.Body) == digest {
		return v.Body, nil
	}
	if text, ok := k.fetchFromPeers(ctx, digest, from); ok {
		return text, nil
	}
	return nil, errors.Join(fmt.Errorf("part %.12s: not found at the platform or at peers", digest), err)
}

// fetchFromPeers asks a few VMs for a text: first the one that reported the head, then
// the nearest.
func (k *Keeper) fetchFromPeers(ctx context.Context, digest, from string) ([]byte, bool) {
	names := make([]string, 0, maxFurtherPeers+1)
	if from != "" {
		names = append(names, from)
	}
	for _, name := range k.o.Peers.Names() {
		if name != from && len(names) <= maxFurtherPeers {
			names = append(names, name)
		}
	}
	for _, name := range names {
		if text, ok := k.fetchFromPeer(ctx, name, digest); ok {
			return text, true
		}
	}
	return nil, false
}

func (k *Keeper) fetchFromPeer(ctx context.Context, name, digest string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := k.o.Peers.Call(ctx, name, &peer.Message{Part: &peer.PartRequest{Digest: digest}})
	if err != nil || reply.PartReply == nil || !reply.PartReply.Found {
		return nil, false
	}
	text := []byte(reply.PartReply.Body)
	return text, manifest.Digest(text) == digest
}

// Handle replies to a peer's request for the text of a head or part. It returns nil for
// any other message.
func (k *Keeper) Handle(_ context.Context, _ string, m *peer.Message) *peer.Message {
	if m.Part == nil {
		return nil
	}
	k.mu.Lock()
	text, ok := k.texts[m.Part.Digest]
	k.mu.Unlock()
	return &peer.Message{PartReply: &peer.PartReply{Found: ok, Body: string(text)}}
}

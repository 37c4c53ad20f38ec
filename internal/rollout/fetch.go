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

// maxPeersAsked bounds the peers asked for one text before the platform is.
const maxPeersAsked = 3

// fetchHead gets the text of a head by its digest, from peers or the platform.
func (k *Keeper) fetchHead(ctx context.Context, h generation.Head, from string) ([]byte, error) {
	if text, ok := k.askPeers(ctx, h.Digest, from); ok {
		return text, nil
	}
	v, err := k.o.Source.Get(ctx, platform.HeadKey)
	if err != nil {
		return nil, fmt.Errorf("head %.12s at no peer: %w", h.Digest, err)
	}
	if manifest.Digest(v.Body) != h.Digest {
		return nil, fmt.Errorf("head %.12s neither at peers nor at the platform", h.Digest)
	}
	return v.Body, nil
}

// fetchParts gets the parts of a head that the builder lacks.
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

func (k *Keeper) fetchPart(ctx context.Context, digest, from string) ([]byte, error) {
	if from != "" {
		if text, ok := k.askPeers(ctx, digest, from); ok {
			return text, nil
		}
	}
	v, err := k.o.Source.Get(ctx, platform.PartKey(digest))
	if err == nil && manifest.Digest(v.Body) == digest {
		return v.Body, nil
	}
	if text, ok := k.askPeers(ctx, digest, from); ok {
		return text, nil
	}
	return nil, errors.Join(fmt.Errorf("part %.12s neither at the platform nor at peers", digest), err)
}

// askPeers asks a few VMs for a text, the one that told of it first.
func (k *Keeper) askPeers(ctx context.Context, digest, from string) ([]byte, bool) {
	names := make([]string, 0, maxPeersAsked+1)
	if from != "" {
		names = append(names, from)
	}
	for _, name := range k.o.Peers.Names() {
		if name != from && len(names) <= maxPeersAsked {
			names = append(names, name)
		}
	}
	for _, name := range names {
		if text, ok := k.askPeer(ctx, name, digest); ok {
			return text, true
		}
	}
	return nil, false
}

func (k *Keeper) askPeer(ctx context.Context, name, digest string) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := k.o.Peers.Call(ctx, name, &peer.Message{Part: &peer.PartRequest{Digest: digest}})
	if err != nil || reply.PartReply == nil || !reply.PartReply.Found {
		return nil, false
	}
	text := []byte(reply.PartReply.Body)
	return text, manifest.Digest(text) == digest
}

// Handle answers a peer that asks for a text; nil where the message is another.
func (k *Keeper) Handle(_ context.Context, _ string, m *peer.Message) *peer.Message {
	if m.Part == nil {
		return nil
	}
	k.mu.Lock()
	text, ok := k.texts[m.Part.Digest]
	k.mu.Unlock()
	return &peer.Message{PartReply: &peer.PartReply{Found: ok, Body: string(text)}}
}

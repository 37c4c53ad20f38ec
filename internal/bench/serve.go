package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// DefaultLingerMs is how long the daemons of the bench accept requests after SIGTERM.
const DefaultLingerMs = 2000

// ServeUpstreams serves the upstreams that a file of manifest parts declares, and a
// control interface, until ctx ends.
func ServeUpstreams(ctx context.Context, file, control string, seed uint64) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("upstreams: %w", err)
	}
	var parts []manifest.Part
	if err := json.Unmarshal(body, &parts); err != nil {
		return fmt.Errorf("upstreams: %w", err)
	}
	f := standin.NewFleet(parts, seed)
	if err := f.Start(ctx); err != nil {
		return err
	}
	return errors.Join(serve(ctx, control, f.Control()), f.Close())
}

// ServePlatform serves the manifest in dir and the VM list in the file vms until ctx ends.
func ServePlatform(ctx context.Context, dir, vms, address string) error {
	p := standin.NewPlatform()
	files, err := filepath.Glob(filepath.Join(dir, "part-*.json"))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for _, file := range files {
		body, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		sum := sha256.Sum256(body)
		p.Set("manifest/parts/"+hex.EncodeToString(sum[:]), body)
	}
	for key, file := range map[string]string{"manifest/head": filepath.Join(dir, "head.json"), "vms": vms} {
		body, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		p.Set(key, body)
	}
	return serve(ctx, address, p.Handler(""))
}

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

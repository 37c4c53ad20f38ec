package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/schema/gen/platform"
	"github.com/sardinespindle/sardinespindle/schema/gen/settings"
)

// VM is one daemon and its addresses.
type VM struct {
	Name, Zone   string
	Callers      string
	Peers        string
	Admin        string
	settingsFile string
	proc         *process
}

// prepareVMs sets up the VMs, the links between them, and the platform as each sees it.
func (c *Cluster) prepareVMs(ctx context.Context) error {
	for i := range c.Options.VMs {
		c.VMs = append(c.VMs, &VM{
			Name:    fmt.Sprintf("vm-%02d", i+1),
			Zone:    c.Deployment.Zones[i%len(c.Deployment.Zones)],
			Callers: c.address(0, i+1, callerPort),
			Peers:   c.address(0, i+1, peerPort),
			Admin:   c.address(0, i+1, adminPort),
		})
	}
	for i, vm := range c.VMs {
		if err := c.link(ctx, i); err != nil {
			return err
		}
		if err := c.servePlatform(ctx, i); err != nil {
			return err
		}
		if err := c.writeSettings(i, vm); err != nil {
			return err
		}
	}
	c.PublishVMs()
	return nil
}

// link creates the relays from one VM to every other.
func (c *Cluster) link(ctx context.Context, i int) error {
	row := make([]*relay.Relay, len(c.VMs))
	c.links = append(c.links, row)
	for j, vm := range c.VMs {
		if i == j {
			continue
		}
		r, err := relay.New(ctx, c.address(linkNet+i, j+1, peerPort), vm.Peers, c.ip(linkNet+j, i+1))
		if err != nil {
			return err
		}
		row[j] = r
	}
	return nil
}

func (c *Cluster) servePlatform(ctx context.Context, i int) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", c.address(1, i+1, platformPort))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	s := &http.Server{Handler: c.Platform.Handler(c.VMs[i].Name), ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

func (c *Cluster) writeSettings(i int, vm *VM) error {
	s := settings.Settings{
		Name: vm.Name,
		Zone: vm.Zone,
		Listen: settings.Listen{
			Callers: settings.Address(vm.Callers),
			Peers:   settings.Address(vm.Peers),
			Admin:   settings.Address(vm.Admin),
		},
		Platform: settings.Platform{
			Addresses:    []settings.Address{settings.Address(c.address(1, i+1, platformPort))},
			WatchSeconds: 30,
		},
		Log:  &settings.Log{Level: settings.LogLevelInfo, Format: settings.LogFormatLogfmt},
		Stop: &settings.Stop{LingerMs: c.LingerMs},
	}
	if c.Policy != "" || len(c.Disable) > 0 {
		e := &settings.Experiment{Policy: settings.ExperimentPolicyCurrent}
		if c.Policy != "" {
			e.Policy = settings.ExperimentPolicy(c.Policy)
		}
		for _, m := range c.Disable {
			e.Disable = append(e.Disable, settings.ExperimentDisableElem(m))
		}
		s.Experiment = e
	}
	body, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	vm.settingsFile = filepath.Join(c.Dir, vm.Name+".toml")
	if err := os.WriteFile(vm.settingsFile, body, fileMode); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// PublishVMs publishes the VM list. Each VM gets the addresses of its own links.
func (c *Cluster) PublishVMs(leaving ...*VM) {
	for i, recipient := range c.VMs {
		var list platform.VMList
		for j, vm := range c.VMs {
			v := platform.VM{Name: vm.Name, Zone: vm.Zone, PeerAddress: vm.Peers, State: platform.VMStateLive}
			if i != j {
				v.PeerAddress = c.address(linkNet+i, j+1, peerPort)
			}
			for _, l := range leaving {
				if l == vm {
					v.State = platform.VMStateLeaving
				}
			}
			list.Vms = append(list.Vms, v)
		}
		body, err := json.Marshal(list)
		if err != nil {
			panic(fmt.Errorf("encode VM list: %w", err))
		}
		c.Platform.SetFor(recipient.Name, "vms", body)
	}
}

// StartVM starts a VM's daemon.
func (c *Cluster) StartVM(vm *VM) error {
	var err error
	vm.proc, err = start(c.Dir, vm.Name, filepath.Join(c.BinDir, "sardinespindle"), "--settings", vm.settingsFile)
	return err
}

// WaitReady waits until every VM is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, vm := range c.VMs {
		if err := c.waitVM(ctx, vm); err != nil {
			return err
		}
		if !vm.proc.alive() {
			return fmt.Errorf("cluster: %s exited before it was ready (logs in %s): %w", vm.Name, c.Dir, vm.proc.exitError())
		}
	}
	return nil
}

func (c *Cluster) waitVM(ctx context.Context, vm *VM) error {
	return c.wait(ctx, vm.Name, func() bool {
		return !vm.proc.alive() || c.get(ctx, "http://"+vm.Admin+"/readyz", nil) == nil
	})
}

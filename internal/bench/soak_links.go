package bench

import (
	"context"
	"fmt"
	"net"

	"github.com/sardinespindle/sardinespindle/internal/relay"
)

func (s *soak) startRelay(ctx context.Context, address, target string) (*relay.Relay, error) {
	from, _, err := net.SplitHostPort(target)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	return s.startRelayFrom(ctx, address, target, from)
}

// startRelayFrom starts a relay that dials target from a source IP address.
func (s *soak) startRelayFrom(ctx context.Context, address, target, from string) (*relay.Relay, error) {
	r, err := relay.New(ctx, address, target, from)
	if err == nil {
		s.closers = append(s.closers, r.Close)
	}
	return r, err
}

// addServerLinks starts the links from VM i to the servers.
func (s *soak) addServerLinks(ctx context.Context, vm *soakVM, i int) error {
	for n, sv := range s.servers {
		l, err := s.startRelayFrom(ctx, s.serverAddress(relayNet, n, upstreamPort+i+1), sv.address, "")
		if err != nil {
			return err
		}
		vm.serverLinks = append(vm.serverLinks, l)
	}
	return nil
}

// addPeerLinks starts the links from VM i to the others.
func (s *soak) addPeerLinks(ctx context.Context, vm *soakVM, i int) error {
	vm.peerLinks = make([]*relay.Relay, s.opts.VMs)
	for n := range vm.peerLinks {
		if n == i {
			continue
		}
		var err error
		if vm.peerLinks[n], err = s.startRelayFrom(ctx, s.address(0, n+1, peerLinkPort+i), s.address(0, n+1, peerPort), vm.name); err != nil {
			return err
		}
	}
	return nil
}

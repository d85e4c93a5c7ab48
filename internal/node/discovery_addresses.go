package node

import (
	"sync"

	"swiftdeal/internal/config"
)

// discoveryAddresses holds the addresses of discovery in force: those that the process started with, or a later reload's. It is
// safe for concurrent use.
type discoveryAddresses struct {
	mu      sync.Mutex
	inForce config.DiscoveryAddresses
}

// current returns the addresses in force.
func (a *discoveryAddresses) current() config.DiscoveryAddresses {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inForce
}

// reload puts the discovery key of a reloaded file in force, and returns the resulting addresses.
func (a *discoveryAddresses) reload(file string) config.DiscoveryAddresses {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inForce = a.inForce.Reload(file)
	return a.inForce
}

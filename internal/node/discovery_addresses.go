package node

import (
	"slices"
	"sync"

	"swiftdeal/internal/config"
)

// discoveryAddresses holds the addresses of discovery in force: those that the process started with, or a later reload's. It is
// safe for concurrent use.
type discoveryAddresses struct {
	mu       sync.Mutex
	inForce  config.DiscoveryAddresses
	reloaded bool // by this process
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
	a.inForce, a.reloaded = a.inForce.Reload(file), true
	return a.inForce
}

// follow puts in force what a reload has put in force at another process of the node, and reports whether the addresses have
// changed. What this process has reloaded since it replaced a predecessor is newer than what the predecessor tells.
func (a *discoveryAddresses) follow(other config.DiscoveryAddresses, from linkedProcess) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !other.Reloaded || from == fromPredecessor && a.reloaded {
		return false
	}
	before := a.inForce
	a.inForce = before.Reload(other.File)
	return !slices.Equal(a.inForce.List(), before.List())
}

package dispatch

import (
	"testing"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// When the address of discovery changes, the new one is watched at once, however long the old one has failed before.
func TestDiscoveryAddressChanges(t *testing.T) {
	d, h := startDispatcher(t)
	for range 9 {
		d.HandleListEvent(balance.FailedUpdate, config.EndpointList{})
	}
	d.SetDiscoveryAddresses([]string{"there"})
	h.expect(t, "move there")
	h.expect(t, "watch")
	d.Submit(admittedRequest("a"))
	h.expect(t, "attempt a0 p") // the workers known before are kept
}

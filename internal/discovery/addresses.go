package discovery

import (
	"slices"
)

// connectTimeoutDivisor divides the limit for connecting while there are further addresses to try, so that the answer of the next
// one comes within the time in which a node must have heard from discovery.
const connectTimeoutDivisor = 2

// addressList holds the addresses at which discovery may be. It is guarded by Client.mu.
type addressList struct {
	configured []string // in order of preference
	preferred  string   // the one that answered last, or the first one; it is called first
}

func newAddressList(configured []string) *addressList {
	l := &addressList{}
	l.replace(configured)
	return l
}

// replace sets the addresses. It returns false if they are the same as before, or if the first one is the preferred one already:
// calls in progress then continue.
func (l *addressList) replace(configured []string) (moved bool) {
	if slices.Equal(configured, l.configured) {
		return false
	}
	l.configured = slices.Clone(configured)
	first := ""
	if len(configured) > 0 {
		first = configured[0]
	}
	moved = first != l.preferred
	l.preferred = first
	return moved
}

// prefer records that an address has answered, and reports whether another one was preferred before.
func (l *addressList) prefer(address string) (changed bool) {
	if address == l.preferred || !l.contains(address) {
		return false
	}
	l.preferred = address
	return true
}

// contains reports whether an address is one of the configured ones.
func (l *addressList) contains(address string) bool { return slices.Contains(l.configured, address) }

// order returns the addresses in the order in which a call tries them.
func (l *addressList) order() []string {
	order := []string{l.preferred}
	for _, address := range l.configured {
		if address != l.preferred {
			order = append(order, address)
		}
	}
	return order
}

// tryAddresses makes a call to one address after the other until one answers. It returns the error of the last one that was
// called.
func (c *Client) tryAddresses(made *call, addresses []string, read readAnswer) (err error) {
	for i, address := range addresses {
		made.address = address
		connectTimeout := c.limits.DiscoveryTimeout
		if i < len(addresses)-1 {
			connectTimeout /= connectTimeoutDivisor
		}
		err = c.exchange(made, connectTimeout, read)
		if err == nil || made.ctx.Err() != nil || c.hasAnswered(made) {
			return err
		}
	}
	return err
}

// hasAnswered reports whether discovery has answered a call.
func (c *Client) hasAnswered(made *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return made.answered
}

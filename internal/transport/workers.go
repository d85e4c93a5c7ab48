package transport

import (
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// workerDirectory holds the workers of the endpoint list. It is guarded by the pool's lock.
type workerDirectory struct {
	endpoints    map[string]config.Endpoint // by worker id
	outOfService outOfServiceTimes
}

func newWorkerDirectory() workerDirectory {
	return workerDirectory{endpoints: map[string]config.Endpoint{}, outOfService: newOutOfServiceTimes()}
}

// update applies a full endpoint list or an incremental change.
func (d *workerDirectory) update(list config.EndpointList, now time.Time) {
	wereInService := d.inServiceBefore(list)
	if list.Full {
		clear(d.endpoints)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.Status == balance.Removed {
			delete(d.endpoints, endpoint.ID)
		} else {
			d.endpoints[endpoint.ID] = endpoint
		}
	}
	d.recordOutOfService(wereInService, list.Endpoints, now)
}

// inServiceBefore returns the ids of the workers in service that an update may change.
func (d *workerDirectory) inServiceBefore(list config.EndpointList) (ids []string) {
	if !list.Full {
		for _, endpoint := range list.Endpoints {
			if d.isInService(endpoint.ID) {
				ids = append(ids, endpoint.ID)
			}
		}
		return ids
	}
	for id := range d.endpoints {
		if d.isInService(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordOutOfService records which of the workers that were in service no longer are, and forgets the times of those that a change
// brings back.
func (d *workerDirectory) recordOutOfService(wereInService []string, changed []config.Endpoint, now time.Time) {
	for _, id := range wereInService {
		if !d.isInService(id) {
			d.outOfService.record(id, now, len(d.endpoints))
		}
	}
	for _, endpoint := range changed {
		if d.isInService(endpoint.ID) {
			d.outOfService.forget(endpoint.ID)
		}
	}
}

// isInService reports whether a worker accepts new jobs.
func (d *workerDirectory) isInService(id string) bool { return d.endpoints[id].Status == balance.Ready }

// isCurrent reports whether a connection leads to the worker process that the endpoint list describes, not to an
// earlier process of the worker or another address.
func (d *workerDirectory) isCurrent(c *conn) bool {
	return d.hasAddress(c) && d.endpoints[c.worker].StartedAt <= c.workerStart
}

// hasAddress reports whether a connection leads to the worker's current address.
func (d *workerDirectory) hasAddress(c *conn) bool {
	return c.address != "" && c.address == d.endpoints[c.worker].Address
}

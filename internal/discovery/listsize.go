package discovery

import (
	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// entryOverheadBytes is the length of an entry in discovery's JSON beyond its texts.
const entryOverheadBytes = 96

// listSize keeps track of how long the endpoint list has become by the messages of discovery. Each message has a limit, but
// changes may add workers without end.
type listSize struct {
	maxBytes int
	bytes    int            // of all entries
	entries  map[string]int // size of each listed worker's entry, by worker id
}

func newListSize(maxBytes int) *listSize {
	return &listSize{maxBytes: maxBytes, entries: map[string]int{}}
}

// apply applies a message. It returns the message without the workers that do not fit into the list any more, and their number.
// Changes of listed workers always fit, and so do all entries of a full list, whose message has a limit of its own.
func (s *listSize) apply(message config.EndpointList) (fitting config.EndpointList, dropped int) {
	if message.Full {
		s.bytes = 0
		clear(s.entries)
	}
	fitting = message
	fitting.Endpoints = make([]config.Endpoint, 0, len(message.Endpoints))
	for _, endpoint := range message.Endpoints {
		size := entrySize(endpoint)
		_, listed := s.entries[endpoint.ID]
		removed := endpoint.Status == balance.Removed
		if !message.Full && !listed && !removed && s.bytes+size > s.maxBytes {
			dropped++
			continue
		}
		s.remove(endpoint.ID)
		if !removed {
			s.bytes += size
			s.entries[endpoint.ID] = size
		}
		fitting.Endpoints = append(fitting.Endpoints, endpoint)
	}
	return fitting, dropped
}

// remove removes the entry of a worker if there is one.
func (s *listSize) remove(id string) {
	s.bytes -= s.entries[id]
	delete(s.entries, id)
}

// entrySize returns about how long an entry is in discovery's JSON.
func entrySize(e config.Endpoint) int {
	return entryOverheadBytes + len(e.ID) + len(e.Address) + len(e.Zone) + len(e.Kind) + len(e.Cell)
}

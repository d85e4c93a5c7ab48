package gossip

import (
	"sync/atomic"

	"swiftdeal/internal/membership/codec"
)

// undecodedKind is the index in Traffic of datagrams that could not be decoded or have an unknown kind.
const undecodedKind codec.Kind = 0

// TrafficCount counts datagrams and their bytes.
type TrafficCount struct {
	Datagrams int64 `json:"n"`
	Bytes     int64 `json:"b"`
}

// Traffic counts what a service has sent and received since its start. The arrays are indexed by codec.Kind; index 0 counts
// datagrams that could not be decoded or have an unknown kind.
type Traffic struct {
	Sent     [codec.NumKinds]TrafficCount `json:"Sent"`
	Received [codec.NumKinds]TrafficCount `json:"Received"`
}

// KindName returns the metric label value for an index of Traffic.
func KindName(kind int) string {
	if codec.Kind(kind) == undecodedKind {
		return "unread"
	}
	return codec.Kind(kind).String()
}

// Traffic returns the current counts.
func (s *Service) Traffic() (t Traffic) {
	if s != nil {
		t.Sent = s.sent.counts()
		t.Received = s.received.counts()
	}
	return t
}

// trafficCounter counts datagrams and bytes by kind. It is safe for concurrent use.
type trafficCounter struct {
	datagrams [codec.NumKinds]atomic.Int64
	bytes     [codec.NumKinds]atomic.Int64
}

func (t *trafficCounter) add(kind codec.Kind, bytes int) {
	if int(kind) >= codec.NumKinds {
		kind = undecodedKind
	}
	t.datagrams[kind].Add(1)
	t.bytes[kind].Add(int64(bytes))
}

func (t *trafficCounter) counts() (counts [codec.NumKinds]TrafficCount) {
	for kind := range counts {
		counts[kind] = TrafficCount{t.datagrams[kind].Load(), t.bytes[kind].Load()}
	}
	return counts
}

// sumCounts returns the sum over all kinds.
func sumCounts(counts [codec.NumKinds]TrafficCount) (sum TrafficCount) {
	for _, c := range counts {
		sum.Datagrams += c.Datagrams
		sum.Bytes += c.Bytes
	}
	return sum
}

package gossip

import (
	"time"

	"swiftdeal/internal/control"
	"swiftdeal/internal/membership"
	"swiftdeal/internal/membership/codec"
)

// Sizes holds the sizes of a service's tables and queues.
type Sizes struct {
	Members       [codec.Left + 1]int // number of members by status, including this node
	Broadcasts    int                 // queued claims and records
	Probes        int                 // pending probes of this node
	RelayedProbes int                 // pending probes on behalf of other members
	Displaced     bool                // another process uses this node's name, so this process takes no part in the fleet
}

// Sizes returns the sizes of the service's tables and queues; ok is false while the service is not running. It costs less
// than View.
func (s *Service) Sizes() (sizes Sizes, ok bool) {
	if s == nil {
		return sizes, false
	}
	ok = s.runOnOwner(func() {
		sizes.Members, sizes.Displaced = s.core.CountByStatus()
		core := s.core.Sizes()
		sizes.Broadcasts = core.Broadcasts
		sizes.Probes = core.Probes
		sizes.RelayedProbes = core.RelayedProbes
	})
	return sizes, ok
}

// Metrics returns the fleet's metrics; none while the service is not running.
func (s *Service) Metrics() []control.Family {
	view, ok := s.View()
	if !ok {
		return nil
	}
	healthy := int64(0)
	if view.Healthy() {
		healthy = 1
	}
	traffic := s.Traffic()
	sent, received := sumCounts(traffic.Sent), sumCounts(traffic.Received)
	sinceChange := (view.Now - view.ChangedAt).Milliseconds()
	families := []control.Family{
		membersByStatus(&view),
		control.Scalar("gw_fleet_whole", "1 while nothing in the view needs an operator.", true, healthy),
		control.Scalar("gw_fleet_health", "0: this node trusts itself; up to 8: it doubts itself.", true, int64(view.LocalHealth)),
		control.Scalar("gw_fleet_suspicions", "Members suspected.", false, view.Counters.Suspicions),
		control.Scalar("gw_fleet_refutations", "Times that this node has refuted its own death.", false, view.Counters.Refutations),
		control.Scalar("gw_fleet_deaths", "Members held for dead.", false, view.Counters.Deaths),
		control.Scalar("gw_fleet_datagrams_sent", "Datagrams sent.", false, sent.Datagrams),
		control.Scalar("gw_fleet_datagrams_received", "Datagrams received.", false, received.Datagrams),
		control.Scalar("gw_fleet_bytes_sent", "Bytes sent in datagrams.", false, sent.Bytes),
		control.Scalar("gw_fleet_bytes_received", "Bytes received in datagrams.", false, received.Bytes),
		control.Scalar("gw_fleet_oldest_fact_ms", "Age of the oldest fact on a worker that a member tells.", true,
			oldestObservation(&view).Milliseconds()),
		control.Scalar("gw_fleet_changed_ms", "Time since the view last changed.", true, sinceChange),
		s.drops.metrics(),
	}
	return append(families, traffic.metrics()...)
}

// membersByStatus returns the metric of the number of members by status.
func membersByStatus(view *membership.View) control.Family {
	var count [codec.Left + 1]int64
	for i := range view.Members {
		count[view.Members[i].Status]++
	}
	family := control.Family{
		Name:  "gw_fleet_members",
		Help:  "Members of the fleet as this node sees them.",
		Gauge: true,
		Label: "status",
	}
	for status, members := range count {
		family.Samples = append(family.Samples, control.Sample{LabelValue: codec.Status(status).String(), Value: members})
	}
	return family
}

// oldestObservation returns the age of the oldest observation in a view; 0 if there is none.
func oldestObservation(v *membership.View) (oldest time.Duration) {
	for i := range v.Members {
		m := &v.Members[i]
		for _, o := range m.Observations {
			oldest = max(oldest, v.Now-m.RecordUpdatedAt+time.Duration(o.AgeMs)*time.Millisecond)
		}
	}
	return oldest
}

// metrics returns the metric of dropped datagrams by reason.
func (d *dropCounter) metrics() control.Family {
	f := control.Family{Name: "gw_fleet_datagrams_dropped", Help: "Datagrams dropped, by reason.", Label: "reason"}
	for reason, name := range dropReasons {
		f.Samples = append(f.Samples, control.Sample{LabelValue: name, Value: d.counts[reason].Load()})
	}
	return f
}

// metrics returns the traffic metrics by message kind.
func (t *Traffic) metrics() []control.Family {
	datagrams := func(c TrafficCount) int64 { return c.Datagrams }
	bytes := func(c TrafficCount) int64 { return c.Bytes }
	return []control.Family{
		byKind("gw_fleet_kind_datagrams_sent", "Datagrams sent, by kind.", &t.Sent, datagrams),
		byKind("gw_fleet_kind_datagrams_received", "Datagrams received, by kind.", &t.Received, datagrams),
		byKind("gw_fleet_kind_bytes_sent", "Bytes sent in datagrams, by kind.", &t.Sent, bytes),
		byKind("gw_fleet_kind_bytes_received", "Bytes received in datagrams, by kind.", &t.Received, bytes),
	}
}

// byKind returns a metric with one sample for each message kind.
func byKind(name, help string, counts *[codec.NumKinds]TrafficCount, value func(TrafficCount) int64) control.Family {
	f := control.Family{Name: name, Help: help, Label: "kind"}
	for kind, c := range counts {
		f.Samples = append(f.Samples, control.Sample{LabelValue: KindName(kind), Value: value(c)})
	}
	return f
}

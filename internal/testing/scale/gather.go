package scale

import (
	"fmt"

	"swiftdeal/internal/membership/codec"
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/scale/record"
)

// gather collects what was measured, by role and metric.
type gather struct {
	values    map[string]map[string][]float64
	unit      map[string]string
	members   map[string]int // by role
	processes map[string]int
}

func newGather() *gather {
	return &gather{
		values: map[string]map[string][]float64{}, unit: map[string]string{},
		members: map[string]int{}, processes: map[string]int{},
	}
}

func (g *gather) add(role, metric, unit string, v float64) {
	if g.values[role] == nil {
		g.values[role] = map[string][]float64{}
	}
	g.values[role][metric] = append(g.values[role][metric], v)
	g.unit[metric] = unit
}

// point words what two snapshots differ by.
func (f *cluster) point(a, b *snapshot, held []Reply, changes []change) record.Point {
	g := newGather()
	f.gatherChildren(g, a, b, held)
	for i := range b.nodes {
		g.addNode(&a.nodes[i], &b.nodes[i])
	}
	f.gatherDiscovery(g, &a.discovery, &b.discovery)
	g.addFakes("worker", f.plan.Workers, &a.workers, &b.workers)
	f.gatherTool(g, a, b)
	for _, c := range changes {
		c.add(g)
	}
	point := record.Point{Plan: f.plan.values(), Seconds: b.time.Sub(a.time).Seconds(), Roles: map[string]record.Role{}}
	for role, metrics := range g.values {
		r := record.Role{Members: g.members[role], Processes: g.processes[role], Values: map[string]record.Value{}}
		for m, list := range metrics {
			r.Values[m] = record.Over(g.unit[m], list)
		}
		point.Roles[role] = r
	}
	return point
}

// gatherChildren adds the light nodes, by process.
func (f *cluster) gatherChildren(g *gather, a, b *snapshot, held []Reply) {
	for k := range b.children {
		x, y := &a.children[k], &b.children[k]
		span, role, n := y.At-x.At, f.plan.role(f.members[k][0]), float64(len(f.members[k]))
		g.members[role] += len(f.members[k])
		g.processes[role]++
		g.add(role, "cpu_core", "core", (y.CPU-x.CPU)/span/n)
		g.add(role, "rss_bytes", "B", float64(y.RSS)/n)
		g.add(role, "heap_bytes", "B", float64(held[k].Heap)/n)
		g.add(role, "stack_bytes", "B", float64(held[k].Stacks)/n)
		g.add(role, "cut_msgs_s", "1/s", float64(y.Dropped-x.Dropped)/span/n)
		g.add(role, "files", "descriptors", float64(y.Files)/n)
		for i := range y.Nodes {
			if y.Nodes[i].Up && x.Nodes[i].Up && y.Nodes[i].Starts == x.Nodes[i].Starts {
				traffic(g, role, span, x.Nodes[i].Traffic, y.Nodes[i].Traffic)
				s := y.Nodes[i].State
				g.add(role, "entries:members", "entries", float64(sum(s.Members[:])))
				g.add(role, "entries:workers", "entries", float64(s.Workers))
				g.add(role, "entries:classes", "entries", float64(s.Classes))
				g.add(role, "entries:news", "entries", float64(s.PendingUpdates))
				g.add(role, "entries:probes", "entries", float64(s.Probes))
			}
		}
	}
}

// addNode adds a process of the program.
func (g *gather) addNode(x, y *nodeReport) {
	const role = "real"
	span := y.time.Sub(x.time).Seconds()
	g.members[role]++
	g.processes[role]++
	g.add(role, "cpu_core", "core", (y.cpu-x.cpu)/span)
	g.add(role, "rss_bytes", "B", float64(y.rss))
	traffic(g, role, span, metered(x.metrics), metered(y.metrics))
	members := 0.0
	for _, status := range []string{"alive", "suspect", "dead", "left"} {
		members += y.metrics[fmt.Sprintf("gw_fleet_members{status=%q}", status)]
	}
	g.add(role, "entries:members", "entries", members)
	g.add(role, "entries:workers", "entries", y.metrics["gw_workers_known"])
	g.add(role, "running", "jobs", y.metrics["gw_in_flight"])
}

// addFakes adds the process that plays so many of a role.
func (g *gather) addFakes(role string, members int, x, y *Reply) {
	span, n := y.At-x.At, float64(members)
	g.members[role], g.processes[role] = members, 1
	g.add(role, "cpu_core", "core", (y.CPU-x.CPU)/span/n)
	g.add(role, "rss_bytes", "B", float64(y.RSS)/n)
	g.add(role, "calls_s", "1/s", float64(y.Calls-x.Calls)/span/n)
}

// gatherDiscovery adds discovery, and what it has sent.
func (f *cluster) gatherDiscovery(g *gather, x, y *Reply) {
	const role = "discovery"
	g.addFakes(role, 1, x, y)
	span, members := y.At-x.At, float64(f.plan.Members)
	g.add(role, "sent_bytes_s", "B/s", float64(y.Bytes-x.Bytes)/span)
	g.add(role, "sent_bytes_s:member", "B/s", float64(y.Bytes-x.Bytes)/span/members)
	g.add(role, "list_bytes", "B", float64(len(fake.ListMessage(1, true, f.plan.entries(f.addresses)))))
	g.add(role, "start_bytes:member", "B", float64(x.Bytes)/members)
}

// gatherTool adds the tool itself, with its clients.
func (f *cluster) gatherTool(g *gather, a, b *snapshot) {
	const role = "tool"
	span := b.time.Sub(a.time).Seconds()
	g.members[role], g.processes[role] = 1, 1
	g.add(role, "cpu_core", "core", (b.tool-a.tool)/span)
	g.add(role, "rss_bytes:all", "B", float64(f.peak.Load()))
	g.add(role, "starts_s", "1/s", float64(b.asked[0]-a.asked[0])/span)
	g.add(role, "served_s", "1/s", float64(b.asked[1]-a.asked[1])/span)
	g.add(role, "lost_s", "1/s", float64(b.asked[2]-a.asked[2])/span)
	g.add(role, "config_bytes", "B", float64(len(f.plan.config(f.addresses, f.plan.Members-1, 0))))
}

// traffic adds what a node has sent and received in a span, in all and by kind.
func traffic(g *gather, role string, span float64, a, b gossip.Traffic) {
	for _, d := range []struct {
		name string
		x, y [codec.NumKinds]gossip.TrafficCount
	}{{"sent", a.Sent, b.Sent}, {"received", a.Received, b.Received}} {
		var n, bytes float64
		for k := range d.x {
			dn, db := float64(d.y[k].Datagrams-d.x[k].Datagrams)/span, float64(d.y[k].Bytes-d.x[k].Bytes)/span
			n, bytes = n+dn, bytes+db
			g.add(role, d.name+"_msgs_s:"+gossip.KindName(k), "1/s", dn)
			g.add(role, d.name+"_bytes_s:"+gossip.KindName(k), "B/s", db)
		}
		g.add(role, d.name+"_msgs_s", "1/s", n)
		g.add(role, d.name+"_bytes_s", "B/s", bytes)
	}
}

// metered reads a real node's traffic from its figures.
func metered(m map[string]float64) (t gossip.Traffic) {
	for k := range t.Sent {
		of := func(name string) int64 {
			return int64(m[fmt.Sprintf("gw_fleet_kind_%s{kind=%q}", name, gossip.KindName(k))])
		}
		t.Sent[k] = gossip.TrafficCount{Datagrams: of("datagrams_sent"), Bytes: of("bytes_sent")}
		t.Received[k] = gossip.TrafficCount{Datagrams: of("datagrams_received"), Bytes: of("bytes_received")}
	}
	return t
}

// one sets a metric that has one value.
func one(p *record.Point, role, metric, unit string, v float64) {
	r, ok := p.Roles[role]
	if !ok {
		r = record.Role{Members: 1, Processes: 1, Values: map[string]record.Value{}}
	}
	r.Values[metric] = record.Over(unit, []float64{v})
	p.Roles[role] = r
}

func sum(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

// Package scale measures what a fleet costs at size: light nodes (package hollow), real processes of the program, workers and a
// discovery, all on loopback of one machine, in processes of their own that this package starts and ends.
package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"swiftdeal/internal/testing/fake"
	"swiftdeal/internal/testing/scale/lightnode"
)

// Plan is what one point of a run is made of.
type Plan struct {
	Members              int     `json:"Members"` // of the fleet: seats, real ones and hollow ones
	Replicas             int     `json:"Seats"`   // of the council: hollow, each in a process of its own; 3, 5 or 7
	Real                 int     `json:"Real"`    // processes of the program
	Workers              int     `json:"Workers"`
	Tenants              int     `json:"Tenants"` // a class of jobs each
	Regions              int     `json:"Regions"`
	Zones                int     `json:"Zones"` // of each region
	Racks                int     `json:"Racks"` // of each zone
	PeriodMs             int     `json:"PeriodMs"`
	Seconds              float64 `json:"Seconds"`    // that are measured
	PerProcess           int     `json:"PerProcess"` // light nodes in a process
	Rate                 float64 `json:"Rate"`       // jobs a second at the real nodes
	WorkMs               float64 `json:"WorkMs"`     // of a job
	ChangesPerMinute     float64 `json:"Changes"`    // of the configuration at every node, a minute
	Settings             bool    `json:"Settings"`   // changes are of the fleet's settings, not of files with SIGHUP
	ListChangesPerMinute float64 `json:"ListMin"`    // changes of discovery's list, a minute
	Fault                string  `json:"Fault"`      // "", or one of Faults
	FaultSeconds         float64 `json:"FaultS"`     // for which it lasts
	Seed                 uint64  `json:"Seed"`
}

// Defaults is the plan that sweeps start from.
func Defaults() Plan {
	return Plan{
		Members:              64,
		Replicas:             3,
		Real:                 3,
		Workers:              80,
		Tenants:              10,
		Regions:              3,
		Zones:                4,
		Racks:                2,
		PeriodMs:             1000,
		Seconds:              30,
		PerProcess:           25,
		Rate:                 20,
		WorkMs:               30,
		ListChangesPerMinute: 6,
		Seed:                 1,
	}
}

// Bounds of a plan, whatever is asked for.
const (
	mostProcesses = 200
	mostFiles     = 20_000
	mostWorkers   = 2000
	mostTenants   = 500
)

// Bytes that a plan is reckoned with before it starts, rounded up from what was measured on amd64 (docs/operators/scale.md).
const (
	processBytes = 24 << 20 // a child without any node, and a real node without a fleet
	nodeBytes    = 320 << 10
	memberBytes  = 4000 // for each member that a node holds
	workerBytes  = 1200 // for each worker that a node holds
	tenantBytes  = 3 << 10
	fakeBytes    = 160 << 10 // a worker, or a watch at discovery
)

// processes is how many a plan starts, the tool among them.
func (p *Plan) processes() int { return 3 + p.Real + p.Replicas + len(p.groups()) }

// bytes is the memory that a plan is reckoned to take.
func (p *Plan) bytes() uint64 {
	node := nodeBytes + memberBytes*p.Members + workerBytes*p.Workers + tenantBytes*p.Tenants
	return uint64(p.processes()*processBytes + p.Members*node + (p.Workers+p.Members)*fakeBytes)
}

// Check names what is wrong with a plan, or why this machine is not to run it.
func (p *Plan) Check(h Host) error {
	for _, n := range []struct {
		name        string
		value       float64
		least, most float64
	}{
		{"members", float64(p.Members), 4, 4096}, {"real", float64(p.Real), 0, 64},
		{"workers", float64(p.Workers), 1, mostWorkers}, {"tenants", float64(p.Tenants), 1, mostTenants},
		{"regions", float64(p.Regions), 1, 64}, {"zones", float64(p.Zones), 1, 64},
		{"racks", float64(p.Racks), 1, 64}, {"period-ms", float64(p.PeriodMs), 50, 60_000},
		{"seconds", p.Seconds, 0.1, 3600}, {"per-process", float64(p.PerProcess), 1, 500},
		{"rate", p.Rate, 0, 1000}, {"work-ms", p.WorkMs, 1, 600_000}, {"changes", p.ChangesPerMinute, 0, 600},
		{"list-changes", p.ListChangesPerMinute, 0, 6000}, {"fault-s", p.FaultSeconds, 0, 3600},
	} {
		if !(n.value >= n.least && n.value <= n.most) {
			return fmt.Errorf("%s: %g is out of range, %g to %g", n.name, n.value, n.least, n.most)
		}
	}
	switch {
	case p.Replicas != 3 && p.Replicas != 5 && p.Replicas != 7:
		return fmt.Errorf("seats: %d, not 3, 5 or 7", p.Replicas)
	case p.Replicas+p.Real >= p.Members:
		return fmt.Errorf(
			"members: %d leave no hollow node beside %d seats and %d real ones", p.Members, p.Replicas, p.Real,
		)
	case p.Real == 0 && p.Rate > 0:
		return fmt.Errorf("rate: %g jobs a second, and real: 0 nodes to serve them", p.Rate)
	case p.Settings && p.Real == 0:
		return errors.New("settings: asked for at a real node, and real: 0")
	case p.Fault != "" && Faults[p.Fault] == "":
		return fmt.Errorf("fault: %q is none of them", p.Fault)
	case p.Fault != "" && p.FaultSeconds == 0:
		return fmt.Errorf("fault-s: 0, and fault %q is to last", p.Fault)
	case p.Fault == "region" && p.Regions < 2:
		return fmt.Errorf("regions: %d, and fault %q needs 2 or more", p.Regions, p.Fault)
	case (p.Fault == "zone" || p.Fault == "rack") && p.Regions*p.Zones < 2:
		return fmt.Errorf("zones: %d, and fault %q needs a second one", p.Zones, p.Fault)
	}
	if n := p.processes(); n > mostProcesses {
		return fmt.Errorf(
			"per-process: %d hollow nodes in each make %d processes, %d at most", p.PerProcess, n,
			mostProcesses,
		)
	}
	if n := max(p.Members, p.Workers*(1+p.Real)) * 4; n > mostFiles {
		return fmt.Errorf(
			"members: %d with %d workers take %d descriptors in one process, %d at most", p.Members, p.Workers,
			n, mostFiles,
		)
	}
	if most := h.Memory / 2; p.bytes() > most {
		return fmt.Errorf(
			"members: %d with %d workers and %d tenants are reckoned to take %d MiB, %d at most: half of this machine's memory",
			p.Members, p.Workers, p.Tenants, p.bytes()>>20, most>>20,
		)
	}
	return nil
}

// values is the plan as a point records it.
func (p *Plan) values() map[string]float64 {
	settings := 0.0
	if p.Settings {
		settings = 1
	}
	return map[string]float64{
		"settings":         settings,
		"members":          float64(p.Members),
		"seats":            float64(p.Replicas),
		"real":             float64(p.Real),
		"workers":          float64(p.Workers),
		"tenants":          float64(p.Tenants),
		"regions":          float64(p.Regions),
		"zones":            float64(p.Zones),
		"racks":            float64(p.Racks),
		"period_ms":        float64(p.PeriodMs),
		"seconds":          p.Seconds,
		"per_process":      float64(p.PerProcess),
		"rate":             p.Rate,
		"work_ms":          p.WorkMs,
		"changes_min":      p.ChangesPerMinute,
		"list_changes_min": p.ListChangesPerMinute,
		"fault_s":          p.FaultSeconds,
		"seed":             float64(p.Seed),
		"processes":        float64(p.processes()),
	}
}

// Members are numbered: first the seats, then the real ones, then the hollow ones.
func (p *Plan) isReplica(i int) bool { return i < p.Replicas }

func (p *Plan) isReal(i int) bool { return i >= p.Replicas && i < p.Replicas+p.Real }

func (p *Plan) role(i int) string {
	switch {
	case p.isReplica(i):
		return "seat"
	case p.isReal(i):
		return "real"
	}
	return "hollow"
}

// groups are the light nodes of each process.
func (p *Plan) groups() (list [][]int) {
	for i := p.Replicas + p.Real; i < p.Members; i++ {
		if n := len(list); n == 0 || len(list[n-1]) >= p.PerProcess {
			list = append(list, nil)
		}
		list[len(list)-1] = append(list[len(list)-1], i)
	}
	return list
}

// region, zone and rack say where a member runs. No real one runs in the last region, which is the one that faults cut off: what
// drops datagrams sits in light nodes alone.
func (p *Plan) region(i int) int {
	if p.isReal(i) {
		return i % max(p.Regions-1, 1)
	}
	return i % p.Regions
}

func (p *Plan) zone(i int) int { return i / p.Regions % p.Zones }

func (p *Plan) rack(i int) int { return i / (p.Regions * p.Zones) % p.Racks }

func zoneName(region, zone int) string { return fmt.Sprintf("r%d-z%d", region, zone) }

func (p *Plan) site(i int) string { return zoneName(p.region(i), p.zone(i)) }

func (p *Plan) workerZone(w int) string { return zoneName(w%p.Regions, w/p.Regions%p.Zones) }

func memberName(i int) string { return fmt.Sprintf("n%d", i) }

func workerName(w int) string { return fmt.Sprintf("w%d", w) }

func tenantName(t int) string { return fmt.Sprintf("tenant-%03d", t) }

func (p *Plan) period() time.Duration { return time.Duration(p.PeriodMs) * time.Millisecond }

func (p *Plan) seconds() time.Duration { return time.Duration(p.Seconds * float64(time.Second)) }

func (p *Plan) faultLong() time.Duration { return time.Duration(p.FaultSeconds * float64(time.Second)) }

// entries are what discovery lists.
func (p *Plan) entries(b addressBlock) (list []fake.Entry) {
	for w := range p.Workers {
		list = append(
			list,
			fake.Entry{
				ID: workerName(w), Addr: b.worker(w), Zone: p.workerZone(w), Kind: "std", Cell: w % 3,
				State: "in_service", Weight: 1,
			},
		)
	}
	return list
}

// profiles are the classes of the settings.
func (p *Plan) profiles() (list []map[string]any) {
	for t := range p.Tenants {
		list = append(
			list,
			map[string]any{
				"name": tenantName(t), "effect": "retryable", "aimMs": 1500, "deadlineMs": 20000,
				"worth": 1 + t%5,
			},
		)
	}
	return list
}

// prices change with each revision.
func (p *Plan) prices(revision int) map[string]any {
	return map[string]any{
		"crossZone": 0.029 + float64(revision%100)/1e4, "waste": 0.04, "lateFail": 0.08, "probe": 0.002,
	}
}

// overlay words the fleet's settings: all classes, of which operators change some, and the prices.
func (p *Plan) overlay(revision int) map[string]any {
	return map[string]any{"profiles": p.profiles(), "prices": p.prices(revision)}
}

// config words a member's configuration. revision changes a price, so that one file differs from the next.
func (p *Plan) config(b addressBlock, i, revision int) []byte {
	profiles := p.profiles()
	text, err := json.Marshal(map[string]any{
		"name": memberName(i), "listen": b.member(i, clientsPort), "control": b.member(i, controlPort),
		"discovery": b.discovery(), "seed": fmt.Sprintf("%x", p.Seed+uint64(i)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 4096},
		"known":  json.RawMessage(fake.ListMessage(0, true, nil)),
		"settings": map[string]any{
			"az": p.site(i), "balancers": p.Members, "me": i, "discovery": "on_request", "stepMs": 1,
			"familyInfo": map[string]any{
				"reportX0": "free slots", "reportX1": "free memory", "tellsStart": true, "progressMs": 1000,
				"queueOrder": "fifo",
			},
			"limits": map[string]any{
				"cancelling":      true,
				"probing":         true,
				"parallelTries":   true,
				"retryAfter":      true,
				"maxRetryAfterMs": 2000,
				"connIdleMs":      60000,
				"dialTimeoutMs":   250,
				"maxAttempts":     4,
			},
			"loadReport":  map[string]any{"fields": []string{"tps", "concurrent", "x0", "x1"}, "how": "pull"},
			"obligations": map[string]any{"coldFrom": 0.13, "coldMs": 8000, "fallMultiple": 3, "overloadForMs": 3000},
			"prices":      p.prices(revision),
			"profiles":    profiles,
		},
	})
	if err != nil {
		panic(err) // it holds nothing that JSON lacks
	}
	return text
}

// fleet words a member's part in the fleet. dir is where seats keep what they have promised.
func (p *Plan) fleet(b addressBlock, i int, dir string) []byte {
	var t bytes.Buffer
	at := b.member(i, gossipPort)
	quoted := func(of func(int) string, n int) string {
		var l []string
		for j := range n {
			l = append(l, strconv.Quote(of(j)))
		}
		return strings.Join(l, ", ")
	}
	fmt.Fprintf(
		&t, "[fleet]\nname = \"scale\"\n[member]\nname = %q\nsite = %q\nlisten = %q\nadvertise = %q\n",
		memberName(i), p.site(i), at, at,
	)
	fmt.Fprintf(
		&t, "[view]\nseeds = [%s]\nallow = [\"127.%d.0.0/16\"]\nperiod_ms = %d\nmost_members = %d\n",
		quoted(func(j int) string { return b.member(j, gossipPort) }, p.Replicas), int(b), p.PeriodMs,
		max(1024, 2*p.Members),
	)
	fmt.Fprintf(&t, "[council]\nseats = [%s]\n", quoted(memberName, p.Replicas))
	if p.isReplica(i) {
		fmt.Fprintf(&t, "dir = %q\n", filepath.Join(dir, memberName(i)+".council"))
	}
	if p.Settings {
		fmt.Fprintf(&t, "[settings]\n")
	}
	fmt.Fprintf(&t, "[budget]\nnodes = %d\nnodes_site = 1\nworkers = %d\n", max(1, p.Members/20), max(1, p.Workers/20))
	return t.Bytes()
}

func (p *Plan) files(b addressBlock, i int, dir string) lightnode.Files {
	return lightnode.Files{Config: p.config(b, i, 0), Fleet: p.fleet(b, i, dir)}
}

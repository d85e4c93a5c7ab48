package chaos

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Stats summarizes a run's clients, workers, views and processes.
type Stats struct {
	Asked       int       `json:"Asked"`
	Served      int       `json:"Served"`
	Lost        int       `json:"Lost"`
	Refused     int       `json:"Refused"`
	Failed      int       `json:"Failed"`
	SentIll     int       `json:"SentIll"`
	SentCold    int       `json:"SentCold"`
	Sent        int       `json:"Sent"` // attempts to all workers; SentIll and SentCold: to failing and to cold ones
	Worth       float64   `json:"Worth"`
	WorthServed float64   `json:"WorthServed"` // priority weight times work of served jobs; Worth: of all
	Fell        int       `json:"Fell"`        // cold workers that were overloaded
	Ruled       int       `json:"Ruled"`       // violations found by the trace checker
	Passed      int64     `json:"Passed"`
	Dropped     int64     `json:"Dropped"` // datagrams between nodes that the relay dropped; Passed: delivered
	SettledMs   []float64 `json:"SettledMs"`
	Deaths      int64     `json:"Deaths"`
	Suspicions  int64     `json:"Suspicions"`
	BytesEach   float64   `json:"BytesEach"` // datagram bytes sent by each node per second, on average
	CPU         float64   `json:"CPU"`       // share of a core that each process used, on average
	RSSMB       float64   `json:"RSSMB"`     // memory of each process, on average
	Exits       int       `json:"Exits"`
	MostOut     int       `json:"MostOut"` // largest number of planned exits at once; Exits: all that began
	CouncilMs   []float64 `json:"CouncilMs"`
}

// recordUsage records the processes' use of CPU, memory and network.
func (f *Cluster) recordUsage(span time.Duration) {
	n := 0.0
	for _, node := range f.nodes {
		if node.process.running() {
			cpu, megabytes := processUsage(node.process.ID())
			f.stats.CPU += cpu / span.Seconds()
			f.stats.RSSMB += megabytes
			n++
		}
	}
	if n > 0 {
		f.stats.CPU /= n
		f.stats.RSSMB /= n
	}
	f.relay.mu.Lock()
	for i := range f.nodes {
		f.stats.BytesEach += float64(f.relay.bytes[i]) / span.Seconds() / float64(len(f.nodes))
	}
	f.stats.Passed, f.stats.Dropped = f.relay.passed, f.relay.dropped
	f.relay.mu.Unlock()
}

// clockTicks is the number of /proc's CPU clock ticks per second on Linux.
const clockTicks = 100

// processUsage returns the CPU time in seconds that a process has used, and its resident memory in MB.
func processUsage(pid int) (cpu, mb float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil || runtime.GOOS != "linux" {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0
	}
	var u, s, rss float64
	fmt.Sscan(fields[11], &u)
	fmt.Sscan(fields[12], &s)
	fmt.Sscan(fields[21], &rss)
	return (u + s) / clockTicks, rss * float64(syscall.Getpagesize()) / (1 << 20)
}

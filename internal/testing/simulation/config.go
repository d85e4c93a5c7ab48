package simulation

import (
	"encoding/json"
	"time"

	"swiftdeal/internal/config"
	"swiftdeal/internal/testing/tracecheck"
)

// classPlan is a job class of a plan, before scaling.
type classPlan struct {
	name, effect, scope                string
	latencyObjective, deadline, window float64
	stretch, priorityWeight            float64
	mean                               float64
	slots                              []float64 // shares of jobs that need 1, 2 and 4 slots
}

var classPlans = []classPlan{
	{"slot-check", "retryable", "", 250, 7500, 0, 2, 5, 550, []float64{1}},
	{"book-visit", "dedup", "all", 800, 15000, 25000, 2, 5, 1100, []float64{0.6, 0.25, 0.15}},
	{"visit-summary", "dedup", "cell", 1200, 25000, 40000, 2.5, 3, 3200, []float64{0.5, 0.3, 0.2}},
	{"send-reminder", "dedup", "zone", 1000, 25000, 40000, 2.5, 2, 2200, []float64{0.7, 0.3}},
	{"charge-card", "fragile", "", 800, 12000, 0, 2, 4, 700, []float64{1}},
}

// Times in milliseconds that apply to every plan.
const (
	connIdleMs         = 4000
	progressIntervalMs = 250
	dialTimeoutMs      = 250
	drainGraceMs       = 500
)

const maxAttempts = 4

// Slow start of a cold worker, and when rule 4 regards it as overloaded.
const (
	slowStartMinFactor = 0.13  // share of full speed right after the start
	slowStartMs        = 24000 // until full speed, times the plan's scale
	overloadMultiple   = 3     // work per window, in multiples of the present capacity
	overloadWindowMs   = 3000  // times the plan's scale
)

func (sim *Simulation) coldFor() time.Duration { return ms(slowStartMs * sim.plan.Scale) }

// profiles returns the plan's classes as they appear in a configuration file.
func (p *Plan) profiles() (list []map[string]any) {
	for _, c := range classPlans {
		list = append(list, map[string]any{
			"name":           c.name,
			"effect":         c.effect,
			"dedupScope":     c.scope,
			"aimMs":          c.latencyObjective * p.Scale,
			"deadlineMs":     c.deadline * p.Scale,
			"repeatWindowMs": c.window * p.Scale * p.Windows,
			"aimStretch":     c.stretch,
			"worth":          c.priorityWeight,
		})
	}
	return list
}

// familyInfo returns the settings of what workers report about their state and progress.
func (p *Plan) familyInfo() map[string]any {
	progressMs := 0.0
	if p.ReportsProgress {
		progressMs = progressIntervalMs
	}
	return map[string]any{
		"reportX0":   "free slots",
		"reportX1":   "free memory",
		"tellsStart": p.ReportsProgress,
		"progressMs": progressMs,
		"queueOrder": "fifo",
	}
}

// loadReport returns the settings of the load report's fields.
func (p *Plan) loadReport() map[string]any {
	fields := []string{"tps", "concurrent", "x0", "x1"}
	if p.Queue {
		fields = append(fields, "depth")
	}
	return map[string]any{"fields": fields, "how": "pull"}
}

// nodeSettings returns a node's settings as they appear in a configuration file.
func (sim *Simulation) nodeSettings(n *process) map[string]any {
	p := sim.plan
	return map[string]any{
		"az":         n.zone,
		"balancers":  p.Nodes,
		"me":         n.index,
		"discovery":  "on_request",
		"stepMs":     1,
		"familyInfo": p.familyInfo(),
		"limits": map[string]any{
			"cancelling":      true,
			"probing":         true,
			"parallelTries":   p.Hedges,
			"retryAfter":      true,
			"maxRetryAfterMs": 2000,
			"connIdleMs":      connIdleMs,
			"dialTimeoutMs":   dialTimeoutMs,
			"maxAttempts":     maxAttempts,
		},
		"loadReport": p.loadReport(),
		"obligations": map[string]any{
			"coldFrom":      slowStartMinFactor,
			"coldMs":        toMilliseconds(sim.coldFor()),
			"fallMultiple":  overloadMultiple,
			"overloadForMs": overloadWindowMs * p.Scale,
		},
		"prices":   map[string]any{"crossZone": 0.029, "waste": 0.04, "lateFail": 0.08, "probe": 0.002},
		"profiles": p.profiles(),
	}
}

// config writes a node's configuration file and loads it with the product's own loader.
func (sim *Simulation) config(n *process) config.Config {
	text, err := json.Marshal(map[string]any{
		"name":      n.name,
		"listen":    n.listen,
		"discovery": n.discovery,
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": sim.plan.MemoryMB, "sockets": sim.plan.Sockets},
		"settings":  sim.nodeSettings(n),
	})
	if err != nil {
		panic(err)
	}
	c, err := config.Load(
		func(k string) string { return map[string]string{"GW_CONFIG": "file"}[k] },
		func(string) ([]byte, error) { return text, nil },
	)
	if err != nil {
		panic(err)
	}
	return *c
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

func (sim *Simulation) rules() tracecheck.Config {
	return tracecheck.Config{
		Classes: sim.settings[0].Settings.Balance.Classes, AnswerGrace: networkSlack,
		DrainGrace: ms(drainGraceMs) + networkSlack, WindowSlack: networkSlack,
		MaxAttempts: maxAttempts, Hedges: sim.plan.Hedges, ColdFrom: slowStartMinFactor, ColdFor: sim.coldFor(),
		OverloadMultiple: overloadMultiple, OverloadWindow: ms(overloadWindowMs * sim.plan.Scale), NotifiedAfter: 6 * time.Second,
		ListedAfter: 12 * time.Second, // twice the limit in production, since discovery itself may be slow here
	}
}

package page

// Row is one figure of the page: what it is, which series of which run it comes from, what limits it, and what carries it.
type Row struct {
	Table     string   // "node", "worker", "discovery", "seat", "tool", "decision"
	What      string   // in words
	Run       string   // file under bench/scale/, without .json
	Sweep     string   // what its sizes count
	Role      string   // in the run
	Metrics   []string // summed where there are several
	Statistic string   // "median", "worst" or "mean" over the role's members
	Limit     float64  // in the run's unit; 0: none is told
	Unit      string   // that the run must have
	By        string   // the package that carries it; empty: nothing does
	Why       string   // why nothing carries it, or what is to be known of the limit
}

// Limits as the operators worded them: what a node spends for control at most. MB and KB count thousands.
const (
	coreLimit   = 0.049
	memoryLimit = 128e6
	bytesLimit  = 9e3
)

// Targets are the sizes at which figures are given, by what a run's sizes count. That of the nodes is not told.
var Targets = map[string][]float64{
	"members": {100, 335, 1000}, "nodes": {100, 335, 1000}, "settings": {100, 335, 1000},
	"files": {100, 335, 1000}, "workers": {670}, "tenants": {160}, "running": {2500}, "starts": {110},
	"zones": {8, 24}, "changes": {0.264}, // 380 a day, by the minute
	"queue": {110}, // the starts of a second of the peak
}

const (
	view         = "internal/membership, gossip"
	controlPlane = "internal/controlplane, accord"
	settings     = "internal/controlplane/configversion, council, seat"
)

// Rows are all figures of the page; one more is one line more.
var Rows = []Row{
	{
		"node", "bytes sent and received", "members", "members", "hollow",
		[]string{"sent_bytes_s", "received_bytes_s"}, "worst", bytesLimit, "B/s", view, "",
	},
	{
		"node", "bytes sent", "members", "members", "hollow", []string{"sent_bytes_s"}, "worst", bytesLimit,
		"B/s", view, "if only what it sends counts",
	},
	{"node", "messages sent", "members", "members", "hollow", []string{"sent_msgs_s"}, "worst", 0, "1/s", view, ""},
	{
		"node", "processor time, no clients", "members", "members", "hollow", []string{"cpu_core"}, "worst",
		coreLimit, "core", view, "",
	},
	{
		"node", "processor time, a process with clients", "members", "members", "real", []string{"cpu_core"},
		"worst", coreLimit, "core", "internal/node", "all of it, not control alone",
	},
	{
		"node", "state: heap", "members", "members", "hollow", []string{"heap_bytes"}, "worst", memoryLimit,
		"B", view, "",
	},
	{
		"node", "memory, a process with clients", "members", "members", "real", []string{"rss_bytes"}, "worst",
		memoryLimit, "B", "internal/node", "all of it, not control alone",
	},
	{
		"node", "state: members held", "members", "members", "hollow", []string{"entries:members"}, "worst",
		4096, "entries", view, "most_members at most",
	},
	{
		"node", "state: heap", "workers", "workers", "hollow", []string{"heap_bytes"}, "worst", memoryLimit,
		"B", "internal/config, upstream", "",
	},
	{
		"node", "memory, a process with clients", "workers", "workers", "real", []string{"rss_bytes"}, "worst",
		memoryLimit, "B", "internal/node, balance", "all of it, not control alone",
	},
	{
		"node", "processor time, a process with clients", "workers", "workers", "real", []string{"cpu_core"},
		"worst", coreLimit, "core", "internal/discovery, balance", "all of it, not control alone",
	},
	{
		"node", "state: heap", "tenants", "tenants", "hollow", []string{"heap_bytes"}, "worst", memoryLimit,
		"B", "internal/settings", "a tenant being a class",
	},
	{
		"node", "memory, a process with clients", "tenants", "tenants", "real", []string{"rss_bytes"}, "worst",
		memoryLimit, "B", "internal/settings, balance", "all of it, a tenant being a class",
	},
	{
		"node", "processor time, a process with clients", "tenants", "tenants", "real", []string{"cpu_core"},
		"worst", coreLimit, "core", "internal/settings, balance", "all of it, a tenant being a class",
	},
	{
		"node", "bytes sent and received", "zones", "zones", "hollow",
		[]string{"sent_bytes_s", "received_bytes_s"}, "worst", bytesLimit, "B/s", view, "",
	},
	{
		"node", "processor time, a process with clients", "starts", "starts", "real", []string{"cpu_core"},
		"worst", 0, "core", "internal/dispatch, send, balance", "",
	},
	{
		"node", "memory, a process with clients", "running", "running", "real", []string{"rss_bytes"}, "worst",
		0, "B", "internal/admission, send, balance", "",
	},
	{
		"node", "what it tells of its workers, once a period of a second", "decision-workers", "workers",
		"decision", []string{"ns:rooms", "ns:know"}, "worst", 49e6, "ns", "balance", "4.9% of a core",
	},
	{
		"node", "its view's own period of a second", "view-members", "members", "view", []string{"ns:period"},
		"worst", 49e6, "ns", "internal/membership", "4.9% of a core",
	},
	{
		"node", "bytes sent and received for the fleet's settings, six changes a minute", "settings",
		"settings", "hollow", []string{"sent_bytes_s:revision", "received_bytes_s:revision"}, "worst",
		bytesLimit, "B/s", settings, "23 times the target's rate",
	},
	{
		"node", "processor time, no clients, six changes a minute", "settings", "settings", "hollow",
		[]string{"cpu_core"}, "worst", coreLimit, "core", settings, "all of control",
	},
	{
		"worker", "requests, probes among them", "members", "members", "worker", []string{"calls_s"}, "mean", 0,
		"1/s", "internal/transport, balance", "",
	},
	{
		"worker", "requests, probes among them", "workers", "workers", "worker", []string{"calls_s"}, "mean", 0,
		"1/s", "internal/transport, balance", "",
	},
	{
		"worker", "requests, probes among them", "starts", "starts", "worker", []string{"calls_s"}, "mean", 0,
		"1/s", "internal/transport, balance", "",
	},
	{
		"discovery", "calls", "members", "members", "discovery", []string{"calls_s"}, "worst", 0, "1/s",
		"internal/discovery", "",
	},
	{
		"discovery", "bytes sent", "members", "members", "discovery", []string{"sent_bytes_s"}, "worst", 0,
		"B/s", "internal/discovery", "",
	},
	{
		"discovery", "bytes sent for each node", "members", "members", "discovery",
		[]string{"sent_bytes_s:member"}, "worst", 0, "B/s", "internal/discovery", "",
	},
	{
		"discovery", "calls", "workers", "workers", "discovery", []string{"calls_s"}, "worst", 0, "1/s",
		"internal/discovery", "",
	},
	{
		"discovery", "bytes sent", "workers", "workers", "discovery", []string{"sent_bytes_s"}, "worst", 0,
		"B/s", "internal/discovery", "",
	},
	{
		"discovery", "bytes sent for each node", "workers", "workers", "discovery",
		[]string{"sent_bytes_s:member"}, "worst", 0, "B/s", "internal/discovery", "",
	},
	{
		"discovery", "one whole list", "workers", "workers", "discovery", []string{"list_bytes"}, "worst",
		1 << 20, "B", "internal/discovery", "config: ListBytes",
	},
	{
		"seat", "bytes sent and received", "members", "members", "seat",
		[]string{"sent_bytes_s", "received_bytes_s"}, "worst", 0, "B/s", controlPlane, "",
	},
	{
		"seat", "messages sent", "members", "members", "seat", []string{"sent_msgs_s"}, "worst", 0, "1/s",
		controlPlane, "",
	},
	{
		"seat", "processor time", "members", "members", "seat", []string{"cpu_core"}, "worst", 0, "core",
		controlPlane, "",
	},
	{"seat", "state: heap", "members", "members", "seat", []string{"heap_bytes"}, "worst", 0, "B", controlPlane, ""},
	{"seat", "memory", "members", "members", "seat", []string{"rss_bytes"}, "worst", 0, "B", controlPlane, ""},
	{
		"seat", "bytes sent and received", "zones", "zones", "seat",
		[]string{"sent_bytes_s", "received_bytes_s"}, "worst", 0, "B/s", controlPlane, "",
	},
	{
		"tool", "one view of all after a start of all", "members", "members", "tool", []string{"one_view_s"},
		"worst", 0, "s", view, "",
	},
	{
		"tool", "a change of the fleet's settings, in force at the last node: time", "settings", "settings",
		"tool", []string{"change_s"}, "worst", 8, "s", settings, "",
	},
	{
		"tool", "a change at all nodes: time", "changes", "changes", "tool", []string{"change_s"}, "worst", 8,
		"s", "internal/node", "a file for each node and SIGHUP, by hand",
	},
	{
		"tool", "a change at all nodes: files", "changes", "changes", "tool", []string{"change_files"}, "worst",
		0, "files", "internal/node", "",
	},
	{
		"tool", "a change at all nodes: bytes", "changes", "changes", "tool", []string{"change_bytes"}, "worst",
		0, "B", "internal/node", "",
	},
	{
		"tool", "the configuration of one node", "tenants", "tenants", "tool", []string{"config_bytes"},
		"worst", 0, "B", "internal/config", "",
	},
	{
		"decision", "one decision", "decision-workers", "workers", "decision", []string{"ns:decide"}, "median",
		0, "ns", "balance", "",
	},
	{
		"decision", "one decision", "decision-running", "running", "decision", []string{"ns:decide"}, "median",
		0, "ns", "balance", "",
	},
	{
		"decision", "one decision, a tenant being a class", "decision-tenants", "tenants", "decision",
		[]string{"ns:decide"}, "median", 0, "ns", "balance", "",
	},
	{
		"decision", "one note of a worker while requests are held that fit nowhere", "decision-queue", "queue",
		"decision", []string{"ns:note"}, "median", 35e6, "ns", "balance",
		"at one of 100 nodes, 28 events a second",
	},
	{
		"decision", "room by class, a tenant being a class", "decision-tenants", "tenants", "decision",
		[]string{"ns:rooms"}, "median", 0, "ns", "balance", "",
	},
	{
		"decision", "new settings checked, a tenant being a class", "decision-tenants", "tenants", "decision",
		[]string{"ns:whole"}, "median", 0, "ns", "internal/settings", "",
	},
	{
		"decision", "a second of the peak, one of N nodes", "decision-second", "nodes", "decision",
		[]string{"ns:module"}, "median", 0, "ns", "balance", "",
	},
}

// Gap is a word of the target that nothing carries, or a part of it.
type Gap struct {
	What, Why string
}

// Gaps stand at the head of the ranking: they fail at any size.
var Gaps = []Gap{
	{
		"quotas of 160 tenants",
		"no request says whose it is and no setting names a tenant: there is no share within a node, nor across the fleet",
	},
	{
		"gang scheduling, up to 64 tasks",
		"a request goes to one worker (`balance`): it may take several of that worker's slots, never several workers at once, all or none",
	},
	{
		"a priority class whose tasks start within 1.1 s",
		"held requests go by the time left to their class's aim (`balance`); no class goes before another, " +
			"nothing that runs gives way, and a late start is not counted by class",
	},
	{"3 regions", "`internal/controlplane` knows sites, of one level: no budget, seat rule or timing is for a region"},
	{
		"a rack or switch as a failure domain",
		"neither the view's records nor discovery's list name one: budgets cannot keep its members apart",
	},
	{
		"machines set aside for control",
		"a seat of the council is a node that serves clients too (`internal/node`): there is no process for control alone",
	},
	{
		"jobs that outlive a node, a client's connection or an hour",
		"a request lives with its client's connection and ends with it, and a deadline is an hour at most " +
			"(`internal/ingress`): nothing keeps it or starts it again",
	},
}

// Fault is a line of the operators' list of failures, with the run that shows it.
type Fault struct {
	What, Run, By string
}

// Faults of the operators' list.
var Faults = []Fault{
	{
		"an ordinary day: 3 machines fail, 47 are restarted or replaced", "faults-day",
		"`internal/membership`, `permit`, `rollout`, `internal/handover`, `balance`",
	},
	{"a rack or switch, every month or two", "faults-rack", "`internal/membership`, `balance`; nothing knows of racks"},
	{
		"a zone, once or twice a year", "faults-zone",
		"`internal/membership`, `balance`, `permit` (nothing planned meanwhile)",
	},
	{
		"regions lose each other for an hour", "faults-region",
		"`internal/membership` (both parts find one another), `accord` (the part with a majority decides)",
	},
}

package config

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

// Limits holds the sizes, counts and timeouts of the network code. It is computed whenever a configuration is loaded,
// reloaded or merged with the fleet's settings, and passed by value.
type Limits struct {
	Cores       int   // threads that execute Go code at once (GOMAXPROCS)
	MemoryBytes int64 // soft memory limit of the Go runtime; above it garbage is collected more often

	// Client connections.
	ClientConns      int           // connections that are served
	OverflowConns    int           `check:"SpareConns"` // connections beyond ClientConns, accepted only to reject their requests
	OpenRequests     int           // concurrent requests
	HeldBytes        int           // of requests beyond them that wait until what their clients have sent has been read
	HeaderBytes      int           // size of a message's header, from clients, workers and discovery
	HeaderFields     int           // header fields of a message
	HeadReadSlack    int           `check:"HeadSlack"` // bytes that the server may read beyond a header
	BodyBytes        int64         // size of a request's body
	BodyMemoryBytes  int           // for large bodies that are being read
	NewConnGrace     time.Duration `check:"SilentFor"`   // a new connection is not evicted for this long, even if others wait
	HeadTimeout      time.Duration `check:"HeadWait"`    // for a request's header, from the connection's start or the header's first byte
	BodyTimeout      time.Duration `check:"BodyWait"`    // for a request's body, from the end of its header
	IdleTimeout      time.Duration `check:"IdleWait"`    // a client connection idle between requests for this long is closed
	WriteTimeout     time.Duration `check:"WriteWait"`   // for writing an answer to a client
	LingerTimeout    time.Duration `check:"Linger"`      // for reading what a client still sends after the last answer on its connection
	MaxClientTimeout time.Duration `check:"MaxPatience"` // upper bound of a request's deadline
	// What clients send behind an open request, on all connections together.
	ReadAheadBytes          int           // kept in memory, beyond 16 KiB of each connection
	ReadAheadBytesPerSecond int           // read, where a line of a head counts for 32 more
	PipelinedPerSecond      int           // requests served that came behind another one
	AnswerMargin            time.Duration // a request without an answer is answered this long before its deadline
	RejectedRetryAfter      time.Duration `check:"RefusedFor"` // Retry-After of a request rejected for lack of capacity

	// Workers.
	WorkerConns        int           `check:"PeerConns"` // connections to all workers together
	DialTimeout        time.Duration `check:"DialWait"`  // for establishing a connection
	HealthCheckTimeout time.Duration `check:"ProbeWait"` // for the answer to a health check
	WorkerIdleTimeout  time.Duration `check:"ConnIdle"`  // a connection idle for this long is closed
	ResponseEndTimeout time.Duration `check:"TailWait"`  // for the end of an answer's body after its last line
	LineBytes          int           // size of one line of an answer
	LongLines          int           // answers that may hold a line above 64 KiB in memory at once
	LongLineTimeout    time.Duration // for the rest of a line above 64 KiB
	ReportBytes        int64         // size of a load report
	// Lines of an answer before the final one: progress, or none at all.
	UnpacedAnswerBytes   int // of each answer, read without a delay; above ReplayableResponseBytes
	AnswerBytesPerSecond int // of all answers together, beyond UnpacedAnswerBytes of each

	// Discovery.
	DiscoveryTimeout    time.Duration `check:"ListWait"`    // for the answer to a call
	FirstEventTimeout   time.Duration `check:"ListFirst"`   // for the first line of a watch, from the start of the call
	WatchSilenceTimeout time.Duration `check:"ListSilence"` // a watch that receives no line for this long has failed
	EndpointListBytes   int           `check:"ListBytes"`   // size of one line, or of a whole list
	// Messages and heartbeats of a watch, those over 4 KiB counted for each 4 KiB.
	ListUpdatesPerSecond int
	ListUpdateBurst      int
	ReadyTimeout         time.Duration `check:"ReadyWait"` // for an endpoint list, before clients are accepted without one

	// Draining, counted from SIGTERM.
	DrainAcceptPeriod    time.Duration `check:"DrainAccept"` // new client connections are accepted for this long
	DrainIdleTimeout     time.Duration `check:"DrainIdle"`   // after DrainAcceptPeriod a client connection idle for this long is closed
	DrainGrace           time.Duration `check:"DrainEarly"`  // requests that arrive within this time keep their deadline
	DrainAnswerTimeout   time.Duration `check:"DrainLate"`   // requests that arrive after DrainGrace are answered by this time
	DrainTimeout         time.Duration `check:"DrainTotal"`  // the process exits by this time
	DrainLateIdleTimeout time.Duration `check:"DrainLast"`   // from DrainAnswerTimeout on, a client connection idle for this long is closed

	// Draining at an operator's request, counted from the call.
	RequestedDrainGrace       time.Duration `check:"AwayAfter"` // from then on no new clients are expected: idle connections are closed
	RequestedDrainIdleTimeout time.Duration `check:"AwayIdle"`  // idle for this long: one just used may have a request on its way
	RequestedDrainRejectAfter time.Duration `check:"AwayAll"`   // from then on all idle ones are closed and new requests are rejected

	// Calls at the control address.
	ControlConns             int           // concurrent connections
	ControlHeaderBytes       int           `check:"ControlBytes"` // size of a call's header
	ControlReadTimeout       time.Duration `check:"ControlRead"`  // for reading a call
	ControlWriteTimeout      time.Duration `check:"ControlWrite"` // for writing the answer
	ControlBodyBytes         int64         `check:"ControlBody"`  // size of a call's body
	SettingsBodyBytes        int64         `check:"SettingsBody"` // size of a call's body that carries settings for the fleet
	ControlPlaneCallTimeout  time.Duration `check:"CouncilCall"`  // for the control plane, before the caller is told to check again later
	ControlPlaneReadyTimeout time.Duration `check:"CouncilWait"`  // for learning which workers are drained, before clients are accepted

	// Handover between two processes of a node.
	HandoverMessageTimeout  time.Duration `check:"HandWait"`   // for receiving or sending a message
	ReplayableResponseBytes int           `check:"SeenBytes"`  // of a partly received worker's answer, kept so that it can be read again
	DetachTimeout           time.Duration `check:"DetachWait"` // for detaching an attempt from its connection
	MigrationRetryInterval  time.Duration `check:"MoveAgain"`  // interval between tries to migrate a request
	GiveUpMargin            time.Duration `check:"GiveUp"`     // a replaced process fails its open requests this long before it must exit
	BindTimeout             time.Duration `check:"BindWait"`   // for a listening address that another process still holds
	TakeoverListTimeout     time.Duration `check:"EnterWait"`  // for an endpoint list, before a successor takes over without one

	MetricsInterval       time.Duration `check:"ViewEvery"` // interval at which metrics are collected from the decision module
	AccountingLogInterval time.Duration `check:"BookEvery"` // interval between accounting lines in the log
}

// String formats the limits as `swiftdeal check` prints them. The check tag of a field is its name there if it differs from
// the Go name.
func (l Limits) String() string {
	value := reflect.ValueOf(l)
	words := make([]string, value.NumField())
	for i := range words {
		field := value.Type().Field(i)
		words[i] = fmt.Sprintf("%s:%v", cmp.Or(field.Tag.Get("check"), field.Name), value.Field(i))
	}
	return "{" + strings.Join(words, " ") + "}"
}

// Half returns the limits for each of the two processes that share a node's resources during a handover.
func (l Limits) Half() Limits {
	l.MemoryBytes /= 2
	l.ClientConns = max(l.ClientConns/2, 1)
	l.OverflowConns = max(l.OverflowConns/2, 1)
	l.WorkerConns = max(l.WorkerConns/2, 1)
	l.LongLines = max(l.LongLines/2, 1)
	l.OpenRequests = max(l.OpenRequests/2, 1)
	l.HeldBytes /= 2
	l.ReadAheadBytes /= 2
	l.BodyMemoryBytes /= 2
	return l
}

// HandoverMessageTimeout is the time for receiving or sending a message of a handover.
const HandoverMessageTimeout = time.Second

// Defaults and bounds of the resources in the file.
const (
	defaultCores    = 1
	maxCores        = 1024 // exclusive bound
	defaultMemoryMB = 192
	minMemoryMB     = 32
	maxMemoryMB     = 1 << 20
	defaultSockets  = 1024
	maxSockets      = 1 << 20

	// reservedDescriptors is the number of file descriptors reserved for the standard streams, the listeners, calls at the
	// control address, discovery and files.
	reservedDescriptors = 48

	// Shares of the descriptors that remain. Workers get half of them.
	clientConnsPercent   = 45
	overflowConnsPercent = 5
)

// Sizes of what clients' connections take; see allocateResources.
const (
	clientConnBytes       = 48 << 10  // that a connection takes, with a head and the beginning of a body
	bodyMemoryShare       = 4         // one part of so many
	heldMemoryShare       = 16        // one part of so many
	pipelinedPerCore      = 2000      // a second: a small share of a core
	readAheadMemoryShare  = 16        // one part of so many
	readAheadBytesPerCore = 256 << 20 // a second: a small share of a core, and what many clients leave behind within 0.1 s
)

// longLineCopies is how often the text of a long line is in memory at the most.
const longLineCopies = 4

// Sizes of AnswerBytesPerSecond; see setAnswerPace.
const (
	answerBytesPerCore = 1 << 20 // a second
	progressLineBytes  = 512     // what one line of progress counts for at the most
)

// listUpdatesPerCore is ListUpdatesPerSecond for each core.
const listUpdatesPerCore = 500

// Defaults for values that the settings do not give.
const (
	defaultDialTimeout       = 250 * time.Millisecond
	defaultWorkerIdleTimeout = 30 * time.Second
)

// Bounds of a drain's timeouts; see setDrainTimeouts.
const (
	maxDrainedDeadline   = 3 * time.Second        // a SIGKILL waits for no longer deadline
	killAllowance        = 700 * time.Millisecond // after the deadline a SIGKILL may come
	drainAnswerAllowance = 500 * time.Millisecond // after the deadline; below killAllowance
	drainCloseAllowance  = 150 * time.Millisecond // after that, for connections that are still used; also below it
	maxDrainAcceptPeriod = time.Second
	maxDrainIdleTimeout  = 2 * time.Second
)

// fixedLimits returns the limits that do not depend on the configuration.
func fixedLimits() Limits {
	return Limits{
		HeaderBytes:        16 << 10,
		HeaderFields:       100,
		HeadReadSlack:      16 << 10,
		BodyBytes:          64 << 10,
		NewConnGrace:       100 * time.Millisecond,
		HeadTimeout:        1500 * time.Millisecond,
		BodyTimeout:        time.Second,
		IdleTimeout:        5 * time.Minute,
		WriteTimeout:       5 * time.Second,
		LingerTimeout:      500 * time.Millisecond,
		MaxClientTimeout:   time.Hour,
		AnswerMargin:       5 * time.Millisecond,
		RejectedRetryAfter: 250 * time.Millisecond,

		HealthCheckTimeout: 200 * time.Millisecond,
		ResponseEndTimeout: time.Second,
		LineBytes:          512 << 10,
		LongLineTimeout:    5 * time.Second,
		UnpacedAnswerBytes: 16 << 10,
		ReportBytes:        4 << 10,

		DiscoveryTimeout:    3 * time.Second,
		FirstEventTimeout:   4 * time.Second,
		WatchSilenceTimeout: 3 * time.Second,
		EndpointListBytes:   1 << 20,
		ListUpdateBurst:     4096, // a change of every worker of a large fleet
		ReadyTimeout:        6 * time.Second,

		DrainLateIdleTimeout:      50 * time.Millisecond,
		RequestedDrainGrace:       500 * time.Millisecond,
		RequestedDrainIdleTimeout: 200 * time.Millisecond,
		RequestedDrainRejectAfter: 1500 * time.Millisecond,

		ControlConns:             16,
		ControlHeaderBytes:       4 << 10,
		ControlReadTimeout:       5 * time.Second,
		ControlWriteTimeout:      time.Second,
		ControlBodyBytes:         64 << 10,
		SettingsBodyBytes:        1<<20 + 64<<10,
		ControlPlaneCallTimeout:  4 * time.Second,
		ControlPlaneReadyTimeout: 2 * time.Second,

		HandoverMessageTimeout:  HandoverMessageTimeout,
		ReplayableResponseBytes: 4 << 10,
		DetachTimeout:           20 * time.Millisecond,
		MigrationRetryInterval:  20 * time.Millisecond,
		GiveUpMargin:            200 * time.Millisecond,
		BindTimeout:             15 * time.Second,
		TakeoverListTimeout:     3 * time.Second,

		MetricsInterval:       100 * time.Millisecond,
		AccountingLogInterval: time.Minute,
	}
}

// deriveLimits computes the Limits from the platform's resources and the settings. Errors are of type *settings.KeyError.
func (p platformLimits) deriveLimits(s settings.Settings) (Limits, error) {
	platform := p.withDefaults()
	if err := platform.check(); err != nil {
		return Limits{}, err
	}
	if s.ConnIdleTimeout < 0 {
		return Limits{}, keyError("settings.limits.connIdleMs", settings.ErrNegative)
	}
	if s.MaxOpenRequests < 0 {
		return Limits{}, keyError("settings.limits.maxOpen", settings.ErrNegative)
	}
	l := fixedLimits()
	l.allocateResources(platform, s.MaxOpenRequests)
	l.DialTimeout = cmp.Or(s.Balance.DialTimeout, defaultDialTimeout)
	// 10 % below the idle time that the settings give, because each end measures it with its own clock.
	l.WorkerIdleTimeout = cmp.Or(s.ConnIdleTimeout*9/10, defaultWorkerIdleTimeout)
	l.setAnswerPace(s.Balance.ProgressInterval)
	l.setDrainTimeouts(s.Balance.Classes)
	return l, nil
}

// setAnswerPace sets how fast lines of answers are read: so fast that they take a small share of each core, but no slower than
// twice the pace at which workers on all connections report progress by the settings. 0: they do not.
func (l *Limits) setAnswerPace(progressInterval time.Duration) {
	l.AnswerBytesPerSecond = answerBytesPerCore * l.Cores
	if progressInterval > 0 {
		reportsPerSecond := float64(l.WorkerConns) / progressInterval.Seconds()
		l.AnswerBytesPerSecond = max(l.AnswerBytesPerSecond, int(2*reportsPerSecond*progressLineBytes))
	}
}

// withDefaults returns the resources with defaults for those that the file does not give.
func (p platformLimits) withDefaults() platformLimits {
	return platformLimits{
		Cores:    cmp.Or(p.Cores, defaultCores),
		MemoryMB: cmp.Or(p.MemoryMB, defaultMemoryMB),
		Sockets:  cmp.Or(p.Sockets, defaultSockets),
	}
}

// check checks that the resources are within their bounds.
func (p platformLimits) check() error {
	if !(p.Cores > 0 && p.Cores < maxCores) {
		return keyError("limits.cores", fmt.Errorf("%v is out of range, above 0 and below %d", p.Cores, maxCores))
	}
	if err := checkRange("limits.memory_mb", p.MemoryMB, minMemoryMB, maxMemoryMB); err != nil {
		return err
	}
	return checkRange("limits.sockets", int64(p.Sockets), 2*reservedDescriptors, maxSockets)
}

// allocateResources divides the platform's resources among client connections, worker connections and open requests.
// maxOpenRequests is the settings' bound on open requests; 0: none.
func (l *Limits) allocateResources(p platformLimits, maxOpenRequests int) {
	l.Cores = int(math.Ceil(p.Cores))
	l.ListUpdatesPerSecond = listUpdatesPerCore * l.Cores
	l.MemoryBytes = p.MemoryMB << 20 * 3 / 4
	l.ReadAheadBytes = int(l.MemoryBytes / readAheadMemoryShare)
	l.ReadAheadBytesPerSecond = readAheadBytesPerCore * l.Cores
	l.PipelinedPerSecond = pipelinedPerCore * l.Cores
	usable := p.Sockets - reservedDescriptors
	l.ClientConns = usable * clientConnsPercent / 100
	l.OverflowConns = usable * overflowConnsPercent / 100
	if most := int(l.MemoryBytes / 2 / clientConnBytes); l.ClientConns > most { // all connections together may take half of the memory
		l.OverflowConns = max(1, l.OverflowConns*most/l.ClientConns)
		l.ClientConns = most
	}
	l.BodyMemoryBytes = int(l.MemoryBytes / bodyMemoryShare)
	l.HeldBytes = int(l.MemoryBytes / heldMemoryShare)
	l.WorkerConns = usable / 2
	// Each request is counted as 2*BodyBytes, for its body and its result, although a result may be larger (up to LineBytes).
	// All requests together may take a third of the memory.
	l.OpenRequests = min(l.ClientConns, int(l.MemoryBytes/3/(2*l.BodyBytes)))
	// A long line takes up to four times its size: the buffers that it has grown through, its result, and the answer to the client.
	l.LongLines = max(1, int(l.MemoryBytes/3/int64(longLineCopies*l.LineBytes)))
	if maxOpenRequests > 0 {
		l.OpenRequests = min(l.OpenRequests, maxOpenRequests)
	}
}

// setDrainTimeouts sets the timeouts of a drain such that late requests are answered between SIGTERM and SIGKILL. The SIGKILL
// may come 0.7 s after the longest deadline or, if that deadline is longer than 3 s, 3.7 s after SIGTERM. Requests that arrive
// later than 0.7 s after SIGTERM must be answered before it, and by then no connection may be open on which a client could still
// send. DrainTimeout may be later than the SIGKILL, because earlier requests keep their deadlines. It is always later than
// DrainAnswerTimeout: what clients send until their connections are closed is read, and refused.
func (l *Limits) setDrainTimeouts(classes []balance.Class) {
	var longest time.Duration // longest deadline of all classes; no client waits longer
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	l.DrainAnswerTimeout = min(longest, maxDrainedDeadline) + drainAnswerAllowance
	l.DrainGrace = killAllowance
	if longest < maxDrainedDeadline { // a request that keeps its deadline is answered by DrainAnswerTimeout
		l.DrainGrace = drainAnswerAllowance
	}
	l.DrainAcceptPeriod = min(maxDrainAcceptPeriod, l.DrainAnswerTimeout*2/3)
	l.DrainIdleTimeout = min(maxDrainIdleTimeout, l.DrainAnswerTimeout-l.DrainAcceptPeriod)
	l.DrainTimeout = max(longest+l.DrainAcceptPeriod, l.DrainAnswerTimeout+drainCloseAllowance)
}

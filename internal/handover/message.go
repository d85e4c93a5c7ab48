// Package handover lets a process of the node replace another one on the same machine while clients are being served. The two
// communicate over a Link, on which the old process passes its listening socket, the learned state of its balancer, its clients'
// connections as they become idle, and open requests. Handoff decides which process accepts clients; the rest transfers
// messages. docs/design/replacement.md describes the order of the messages and the handling of failures.
package handover

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
)

// Version is the version of the protocol. There is no handover between processes of different versions.
const Version = 1

// MaxConfigFileBytes limits ConfigFile, so that a message has room for the endpoint list beside it.
const MaxConfigFileBytes = 1 << 20

// FileHash identifies the text of a configuration file.
func FileHash(text []byte) string { return strconv.FormatUint(xxhash.Sum64(text), hashBase) }

const hashBase = 16

// Kind is the kind of a message, as it is sent over the link.
type Kind string

// Kinds of message, in the order in which they are sent.
const (
	// KindHello: the new process asks for a handover; Version and Listen are set.
	KindHello Kind = "hello"
	// KindWelcome: the old process passes its listening socket; Version and Group are set.
	KindWelcome Kind = "welcome"
	// KindRefused: the old process refuses the handover, for Reason. Sent by the new process after the handover, it means that
	// the new process has been replaced in turn, and that the old one must not accept clients again.
	KindRefused Kind = "refused"
	// KindTakeOver: the new process accepts clients from now on.
	KindTakeOver Kind = "take"
	// KindState: the old process has stopped accepting clients; BalancerState, Settings and Clocks are set.
	KindState Kind = "taken"
	// KindConnection: the old process passes a client's idle connection.
	KindConnection Kind = "client"
	// KindUpdate: a process forwards what it has received from outside since the handover began; Discovery is set if it has
	// changed, DrainedWorkers and Drain if they have, and Group, with Source, if the endpoint list of the old process has. It is sent
	// after KindState, in both directions, to processes that have set Updates.
	KindUpdate Kind = "update"
	// KindRequest: the old process passes an open request, with the connection of its client and, if an attempt is in flight,
	// the connection to the attempt's worker; Request and Clocks are set.
	KindRequest Kind = "job"
)

// known reports whether the kind is one of this version.
func (k Kind) known() bool {
	switch k {
	case KindHello, KindWelcome, KindRefused, KindTakeOver, KindState, KindConnection, KindUpdate, KindRequest:
		return true
	}
	return false
}

// Message is a message on a link. A listening socket or connections may be passed with it. Its JSON names are fixed, since the
// process at the other end of the link may be of another build.
type Message struct {
	Kind    Kind                 `json:"Kind"`
	Version int                  `json:"Version,omitempty"`
	Listen  string               `json:"Listen,omitempty"` // the address at which clients are accepted
	Reason  string               `json:"Reason,omitempty"` // of a refusal
	Group   *config.EndpointList `json:"Group,omitempty"`  // the old process's endpoint list; in KindUpdate its changes

	BalancerState *balance.LearnedState `json:"Know,omitempty"` // the learned state of the old process's balancer
	Request       *OpenRequest          `json:"Work,omitempty"`
	Settings      []byte                `json:"Settings,omitempty"` // the version of the fleet's settings in force

	// Clocks is the reference for all times of the message; nil: the sender is of a version that sends wall clock times.
	Clocks *Clocks `json:"Clocks,omitempty"`

	UsedIDs []UsedID `json:"Used,omitempty"` // with the state: requests with these IDs would repeat jobs

	// Updates is set in KindHello and KindWelcome: the sender understands KindUpdate. Versions that do not set it end the link
	// at a message of a kind that they do not know.
	Updates bool `json:"Updates,omitempty"`
	// Discovery holds the sender's addresses of discovery; nil: the sender is of a version that does not send them.
	Discovery *config.DiscoveryAddresses `json:"Discovery,omitempty"`
	// DrainedWorkers are the workers that the fleet's control plane has drained, with KindWelcome, and with KindUpdate if they
	// have changed. To processes that have not set Updates they are draining in Group.
	DrainedWorkers *[]string `json:"DrainedWorkers,omitempty"`
	// Drain says whether an operator has asked for a drain of the node, with KindWelcome, and with KindUpdate if that has changed.
	Drain *OperatorDrain `json:"Drain,omitempty"`
	// ConfigFile is the text of the configuration file in force, with KindWelcome, if it has at most MaxConfigFileBytes.
	ConfigFile []byte `json:"ConfigFile,omitempty"`
	// RejectedFile is the FileHash of the file that was rejected at the last reload, with KindWelcome; empty if none was.
	RejectedFile string `json:"RejectedFile,omitempty"`
	// Source is the address of discovery that sent the changes in Group.
	Source string `json:"Source,omitempty"`
}

// OperatorDrain says whether an operator has asked for a drain of the node, which lasts until the operator ends it.
type OperatorDrain struct {
	Requested bool          `json:"Requested"`
	For       time.Duration `json:"For"` // how long ago
}

// UsedID is the ID of a request of the old process that is open, or has ended and may have run.
type UsedID struct {
	ID   string        `json:"ID"`
	Age  time.Duration `json:"Age"`            // since it may have begun to run, or came
	Open bool          `json:"Open,omitempty"` // it has not ended, and may be passed on
}

// OpenRequest is an open request as it is passed to another process.
type OpenRequest struct {
	ClassName string              `json:"ClassName"`
	Method    string              `json:"Method"`
	Target    string              `json:"Target"`
	Host      string              `json:"Host"`
	Class     balance.Class       `json:"Class"` // the class as it was when the request was admitted
	Header    map[string][]string `json:"Header"`
	Body      []byte              `json:"Body"`

	// By the wall clock, for versions that do not know the monotonic times below.
	ArrivedWall  time.Time `json:"Arrived"`
	DeadlineWall time.Time `json:"Deadline"`
	// By the machine's monotonic clock; 0: not known.
	ArrivedMonotonic  time.Duration `json:"ArrivedAt"`
	DeadlineMonotonic time.Duration `json:"DeadlineAt"`

	State            balance.RequestState `json:"State"` // its times are those of the sender's balancer
	CloseAfterAnswer bool                 `json:"Last"`  // the client's connection is closed after the answer
	ReadAhead        []byte               `json:"Ahead"` // bytes read from the client after the end of the request
	Attempt          int                  `json:"Try"`   // the number of the attempt in flight, which is passed along
	WorkerID         string               `json:"Peer"`  // the worker of that attempt; empty if none is in flight
	PartialResponse  []byte               `json:"Seen"`  // bytes received from the worker so far
}

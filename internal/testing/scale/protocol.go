package scale

import (
	"swiftdeal/internal/membership/gossip"
	"swiftdeal/internal/testing/scale/lightnode"
)

// Command is what the tool tells one of its processes, a line of JSON on its standard input.
type Command struct {
	Action  string  `json:"Do"`   // begin, start, report, held, cut, end, reload, force
	Role    string  `json:"Role"` // of begin: hollow, discovery or worker
	Plan    *Plan   `json:"Plan"`
	Block   int     `json:"Block"`
	Dir     string  `json:"Dir"`
	Members []int   `json:"Members"` // of begin: which are this process's; of start, end, reload: which are meant, all if there are none
	Gap     float64 `json:"Gap"`     // of start: seconds between two nodes
	Region  int     `json:"Region"`  // of cut: which is cut off from the others; -1: none
	Abrupt  bool    `json:"Crash"`   // of end: without a word
	Number  int     `json:"Number"`  // of reload: which revision
}

// Reply answers a Command, a line of JSON on standard output.
type Reply struct {
	Error    string       `json:"Err,omitempty"`
	At       float64      `json:"At"`     // seconds on the process's own clock, which only goes forward
	CPU      float64      `json:"CPU"`    // seconds of a core, by the operating system
	RSS      uint64       `json:"RSS"`    // bytes
	Heap     uint64       `json:"Heap"`   // in use after a collection, above what the process had before it did anything
	Stacks   uint64       `json:"Stacks"` // of goroutines
	Files    int          `json:"Files"`  // descriptors
	Nodes    []NodeReport `json:"Nodes,omitempty"`
	Calls    int64        `json:"Calls"`   // of discovery, since its start
	Bytes    int64        `json:"Bytes"`   // that discovery has written
	Dropped  int64        `json:"Dropped"` // datagrams that a cut has dropped
	Duration float64      `json:"Took"`    // of reload: seconds
	Read     int          `json:"Read"`    // of reload: bytes of configuration that were read
	InForce  []InForce    `json:"Force,omitempty"`
}

// NodeReport is what one light node says.
type NodeReport struct {
	Member  int             `json:"Member"`
	Starts  int             `json:"Starts"` // of it, so far
	Up      bool            `json:"Up"`
	State   lightnode.State `json:"State"`
	Traffic gossip.Traffic  `json:"Traffic"`
}

// InForce is since when a light node has a revision of the fleet's settings in force.
type InForce struct {
	Member  int    `json:"Member"`
	Version uint64 `json:"No"`
	At      int64  `json:"At"` // Unix time in ns
}

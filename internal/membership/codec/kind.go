package codec

import "fmt"

// Kind is the number of a message type on the wire.
type Kind uint8

// Kinds of messages. They are described at the message types of the same name.
const (
	KindPing Kind = 1 + iota
	KindAck
	KindNack
	KindPingRequest
	KindGossip
	KindHello
	KindChallenge
	KindWelcome
	KindDigest
	KindDelta
	KindPull
	KindConsensus     // between control plane replicas; package consensus defines the body
	KindPollRequest   // from any member to a control plane replica
	KindPollReply     // reply to a KindPollRequest
	KindConfigVersion // between nodes that distribute the fleet's settings; package configversion defines the body
)

// NumKinds is the number of kinds, including the invalid kind 0.
const NumKinds = int(KindConfigVersion) + 1

// kindNames are label values of metrics and must not change, even where they differ from the names of the constants.
var kindNames = [NumKinds]string{
	KindPing:          "ping",
	KindAck:           "ack",
	KindNack:          "nack",
	KindPingRequest:   "ping-req",
	KindGossip:        "gossip",
	KindHello:         "hello",
	KindChallenge:     "challenge",
	KindWelcome:       "welcome",
	KindDigest:        "summary",
	KindDelta:         "tell",
	KindPull:          "want",
	KindConsensus:     "council",
	KindPollRequest:   "ask",
	KindPollReply:     "answer",
	KindConfigVersion: "revision",
}

// String returns the name of the kind that metrics use as label value.
func (k Kind) String() string {
	if k == 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

// maxStartedMs bounds the Unix time of a worker's start, in milliseconds, so that it fits into a time.Duration, which holds
// about 292 years.
const maxStartedMs = 1 << 43

// ErrUnknownState means that a worker's state is not one of the known states.
var ErrUnknownState = errors.New("unknown")

// Endpoint is one entry of the endpoint list: a worker and the address at which this node reaches it. Its JSON form is the
// one used in a handover.
type Endpoint struct {
	balance.Worker
	Address string `json:"Addr"`
}

// EndpointList is a list of workers: the full list, or only the entries that changed. Its JSON form is the one used in a
// handover; ParseEndpointList reads the form that discovery sends.
type EndpointList struct {
	Version   int64         `json:"Version"`
	Full      bool          `json:"Full"`
	Endpoints []Endpoint    `json:"Peers"`
	SilentFor time.Duration `json:"-"` // time from when discovery was last heard until this message; 0: unknown
	Source    string        `json:"-"` // the address of discovery that sent it; empty: unknown
}

// Merge returns the list that results from a message of discovery: the message's entries if it is a full list, otherwise
// this list with the changed entries replaced. Removed workers are left out. The result shares no memory with either list.
func (l EndpointList) Merge(message EndpointList) EndpointList {
	merged := EndpointList{Version: message.Version, Full: true, Endpoints: []Endpoint{}, Source: message.Source}
	changed := map[string]bool{}
	for _, e := range message.Endpoints {
		changed[e.ID] = true
	}
	for _, e := range l.Endpoints {
		if !message.Full && !changed[e.ID] {
			merged.Endpoints = append(merged.Endpoints, e)
		}
	}
	for _, e := range message.Endpoints {
		if e.Status != balance.Removed {
			merged.Endpoints = append(merged.Endpoints, e)
		}
	}
	return merged
}

// ChangesSince returns the entries that differ from those of an earlier full list, as a message of discovery would have them.
func (l EndpointList) ChangesSince(earlier EndpointList) EndpointList {
	changes := EndpointList{Version: l.Version, Source: l.Source}
	before := map[string]Endpoint{}
	for _, e := range earlier.Endpoints {
		before[e.ID] = e
	}
	for _, e := range l.Endpoints {
		if known, ok := before[e.ID]; !ok || known != e {
			changes.Endpoints = append(changes.Endpoints, e)
		}
		delete(before, e.ID)
	}
	for _, e := range earlier.Endpoints {
		if _, removed := before[e.ID]; removed {
			e.Status = balance.Removed
			changes.Endpoints = append(changes.Endpoints, e)
		}
	}
	return changes
}

// Validate checks the entries of a message of discovery. Errors are of type *settings.KeyError.
func (l EndpointList) Validate() error {
	seen := map[string]bool{}
	for i, e := range l.Endpoints {
		if e.ID == "" || seen[e.ID] {
			return entryError(i, "id", fmt.Errorf("%q is empty or a duplicate", e.ID))
		}
		seen[e.ID] = true
		if err := e.validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate checks an entry; index is its position in the list.
func (e Endpoint) validate(index int) error {
	if e.Status != balance.Ready && e.Status != balance.Draining && e.Status != balance.Removed {
		return entryError(index, "state", ErrUnknownState)
	}
	if key := e.longText(); key != "" {
		return entryError(index, key, errTextTooLong)
	}
	if e.Status != balance.Removed {
		if err := checkAddress(e.Address); err != nil {
			return entryError(index, "addr", err)
		}
	}
	if !(e.Weight >= 0) { // also catches NaN
		return entryError(index, "weight", settings.ErrNegative)
	}
	if e.StartedAt < 0 || e.StartedAt > maxStartedMs*time.Millisecond {
		return entryError(index, "started_ms", errStartOutOfRange)
	}
	return nil
}

// maxTextBytes limits each text of an entry: what is remembered of workers that have left the list is limited by their number.
const maxTextBytes = 256

// longText returns the key of a text that is longer than maxTextBytes, by its name in discovery's JSON; empty: none.
func (e Endpoint) longText() (key string) {
	for _, text := range [...]struct{ key, value string }{
		{"id", e.ID}, {"addr", e.Address}, {"zone", e.Zone}, {"kind", e.Kind}, {"cell", e.Cell},
	} {
		if len(text.value) > maxTextBytes {
			return text.key
		}
	}
	return ""
}

var (
	errStartOutOfRange = errors.New("out of range")
	errTextTooLong     = fmt.Errorf("longer than %d bytes", maxTextBytes)
)

// entryError returns an error about a key of an entry, by the name that the key has in discovery's JSON.
func entryError(index int, key string, err error) error {
	return keyError(fmt.Sprintf("servers[%d].%s", index, key), err)
}

// Workers returns the entries in the form that package balance takes.
func (l EndpointList) Workers() []balance.Worker {
	workers := make([]balance.Worker, len(l.Endpoints))
	for i, e := range l.Endpoints {
		workers[i] = e.Worker
		workers[i].MaxStartAge = l.SilentFor
	}
	return workers
}

var stateByName = map[string]balance.WorkerStatus{
	"in_service": balance.Ready, "terminating": balance.Draining, "terminated": balance.Removed,
}

// listMessage is the JSON form of a message of discovery.
type listMessage struct {
	Version *int64        `json:"version"`
	Full    bool          `json:"full"`
	Servers listedEntries `json:"servers"`
}

// listedEntries are the entries of a message. They are decoded one at a time, up to the first invalid one: a message of many
// short entries would take many times the memory of its text, but valid entries are not that short.
type listedEntries []Endpoint

// UnmarshalJSON implements json.Unmarshaler.
func (l *listedEntries) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	switch start, err := decoder.Token(); {
	case err != nil:
		return err
	case start == nil: // null
		return nil
	case start != json.Delim('['):
		return keyError("servers", ErrNotList)
	}
	for i := 0; decoder.More(); i++ {
		var entry listedEntry
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		endpoint, err := entry.endpoint(i)
		if err != nil {
			return err
		}
		*l = append(*l, endpoint)
	}
	return nil
}

// listedEntry is the JSON form of one entry in a message of discovery.
type listedEntry struct {
	ID        string          `json:"id"`
	Address   string          `json:"addr"`
	Zone      string          `json:"zone"`
	Kind      string          `json:"kind"`
	State     string          `json:"state"`
	Cell      json.RawMessage `json:"cell"`
	Weight    float64         `json:"weight"`
	StartedMs float64         `json:"started_ms"`
}

// endpoint returns the endpoint that an entry describes; index is its position in the message.
func (e *listedEntry) endpoint(index int) (Endpoint, error) {
	status, ok := stateByName[e.State]
	if !ok {
		return Endpoint{}, entryError(index, "state", fmt.Errorf("%q is %w", e.State, ErrUnknownState))
	}
	if e.StartedMs < 0 || e.StartedMs > maxStartedMs { // checked before the conversion to a duration, which could overflow
		return Endpoint{}, entryError(index, "started_ms", errStartOutOfRange)
	}
	endpoint := Endpoint{Address: e.Address, Worker: balance.Worker{
		ID: e.ID, Zone: e.Zone, Cell: string(e.Cell), Kind: e.Kind, Weight: e.Weight,
		StartedAt: time.Duration(e.StartedMs * float64(time.Millisecond)), Status: status,
	}}
	return endpoint, endpoint.validate(index)
}

// ParseEndpointList parses a message of discovery. One invalid entry rejects the whole message, because a partial list would
// be taken for the full one.
func ParseEndpointList(text []byte) (EndpointList, error) {
	m := listMessage{Servers: listedEntries{}}
	if err := json.Unmarshal(text, &m); err != nil {
		return EndpointList{}, err
	}
	if m.Version == nil {
		return EndpointList{}, keyError("version", settings.ErrMissing)
	}
	list := EndpointList{Version: *m.Version, Full: m.Full, Endpoints: m.Servers}
	if err := list.Validate(); err != nil {
		return EndpointList{}, err
	}
	return list, nil
}

package disruption

import "slices"

// HistoryEntry is an event in the history that is shown to operators.
type HistoryEntry struct {
	Index       uint64 `cbor:"1,keyasint" json:"index"` // of the command in the log
	AtMs        int64  `cbor:"2,keyasint,omitempty" json:"at_ms"`
	Event       string `cbor:"3,keyasint" json:"what"`
	Subject     string `cbor:"4,keyasint,omitempty" json:"of"`
	RequestedBy string `cbor:"5,keyasint,omitempty" json:"by,omitempty"`
	Reason      string `cbor:"6,keyasint,omitempty" json:"why,omitempty"`
}

const (
	maxHistoryEntries = 128
	maxReasonBytes    = 200
)

// RecordHistory appends an entry and drops the oldest one if the history is full. The texts are part of the replicated state:
// replicas that run different versions of the program must record the same text.
func (s *State) RecordHistory(index uint64, atMs int64, event, subject, requestedBy, reason string) {
	if len(s.History) >= maxHistoryEntries {
		s.History = slices.Delete(s.History, 0, 1)
	}
	s.History = append(s.History, HistoryEntry{
		Index: index, AtMs: atMs, Event: event, Subject: subject, RequestedBy: requestedBy,
		Reason: reason[:min(len(reason), maxReasonBytes)],
	})
}
